# few-messages: wasted messages first (Ghanta).
#
# A job starts on the home's own target and waits there as long as the queue is
# shorter than two rounds of its slots. Only what is left goes to others: to
# those that have at least two more free slots than they are likely to lose, and
# to as few of them as can take it.

SLOW = 3.0
STALE = 2
PATIENT = 2.0

def place(job, targets):
    limit = SLOW * median([t.pace for t in targets])
    good = [t for t in targets if t.pace <= limit]
    order = sorted(good, key = lambda t: (not t.self, -t.free, t.tie))
    starts = []
    left = job.tasks
    for t in order:
        n = min(left, t.free if t.self else t.free - STALE)
        if n > 0:
            starts.append((t.index, n))
            left -= n
    return plan(start = starts, wait = waits(job, order, left) if left > 0 else [])

def waits(job, order, left):
    if not order or not order[0].self:
        return [t.index for t in order]
    slots = max(1, order[0].slots)
    rounds = (job.home_waiting + left) / slots
    if rounds <= PATIENT:
        return [order[0].index]
    others = sorted(order[1:], key = lambda t: (t.waiting, t.tie))
    return [order[0].index] + [t.index for t in others[:int(rounds)]]
