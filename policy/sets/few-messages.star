# few-messages: wasted messages first (Ghanta).
#
# A job goes to as few targets as can take it at once: the home's own target
# first, then the ones with the most free slots. What finds no free slot waits
# at the home's own target and at just as many others as it needs.

SLOW = 3.0

def place(job, targets):
    limit = SLOW * median([t.pace for t in targets])
    good = [t for t in targets if t.pace <= limit]
    order = sorted(good, key = lambda t: (not t.self, -t.free))
    starts = []
    left = job.tasks
    for t in order:
        n = min(left, t.free)
        if n > 0:
            starts.append((t.index, n))
            left -= n
    if left == 0:
        return plan(start = starts)
    # One target for each round of slots that the rest fills, two at least.
    enough = max(2, left // max(1, job.slots // max(1, len(order))) + 1)
    waits = sorted(order, key = lambda t: (not t.self, t.waiting))
    return plan(start = starts, wait = [t.index for t in waits[:enough]])
