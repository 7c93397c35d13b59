# default: response time first (the acquiring platform).
#
# Free slots are used at once, the home's own target first, then its failure
# domain, then the targets with the most free slots. What finds no free slot
# waits at the home for the first slot of any target. Targets that run tasks
# three times slower than the median get nothing new.

SLOW = 3.0

def admit(job):
    if job.slots == 0:
        return refuse("no-target", 1000)
    late = job.expected_wait_ms + job.longest_ms > job.deadline_ms
    if late or job.expected_wait_ms > job.max_wait_ms:
        return refuse("overloaded", min(5000, max(50, job.expected_wait_ms / 2)))
    return accept()

def place(job, targets):
    order = rank(job, targets)
    starts = []
    left = job.tasks
    for t in order:
        n = min(left, t.free)
        if n > 0:
            starts.append((t.index, n))
            left -= n
    return plan(start = starts, wait = [t.index for t in order] if left > 0 else [])

def rank(job, targets):
    limit = SLOW * median([t.pace for t in targets])
    good = [t for t in targets if t.pace <= limit]
    return sorted(good, key = lambda t: (not t.self, t.domain != job.domain, -t.free))

def retry(task):
    if task.refusals > 20:
        return give_up()
    return again(5 if task.refusals >= 3 else 0)

def drain(home):
    return move()
