# random: each task waits at a target drawn at random. A baseline.

def place(job, targets):
    count = {}
    for _ in range(job.tasks if targets else 0):
        i = random(len(targets))
        count[i] = count.get(i, 0) + 1
    return plan(start = [(i, n) for i, n in count.items()], wait = [i for i in count])
