# few-messages: wasted messages first (Ghanta).
#
# A job starts on the home's own target and waits there as long as the home's
# queue is shorter than two rounds of its slots. The rest starts on targets that
# surely have free slots: what is known of them is a little old, so three are left
# alone. Others are asked for a slot only when the home's queue is long.

SLOW = 3.0
STALE = 3
PATIENT = 2.0

def place(job, targets):
    limit = SLOW * median([t.pace for t in targets])
    good = [t for t in targets if t.pace <= limit]
    order = sorted(good, key = lambda t: (not t.self, -t.free * t.tie))
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
    rounds = (job.home_waiting + left) / max(1, order[0].slots)
    if rounds <= PATIENT:
        return [order[0].index]
    others = sorted(order[1:], key = lambda t: (t.waiting, t.tie))
    return [order[0].index] + [t.index for t in others[:int(rounds)]]
