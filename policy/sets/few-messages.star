# few-messages: wasted messages first (Ghanta).
#
# A job starts on the home's own target and waits there as long as the queue is
# shorter than half a round of its slots. The rest goes to others: to those that
# surely have free slots, then into the queues of gates that are sure to have
# room. Slots are asked for only when the home's queue is several rounds long.

SLOW = 3.0
STALE = 2
PATIENT = 0.5
LONG = 3

def place(job, targets):
    limit = SLOW * median([t.pace for t in targets])
    good = [t for t in targets if t.pace <= limit]
    order = sorted(good, key = lambda t: (not t.self, -t.free * t.tie))
    take = {}
    left = job.tasks
    for t in order:
        n = max(0, min(left, t.free if t.self else t.free - STALE))
        take[t.index] = n
        left -= n
    if order:
        over = left
        if order[0].self:
            over = min(left, job.home_waiting + left - int(PATIENT * order[0].slots))
        for t in by_queue(order):
            if over > 0 and t.queued == 0 and t.room > 0:
                take[t.index] += 1
                over -= 1
                left -= 1
    return plan(
        start = [(t.index, take[t.index]) for t in order if take[t.index] > 0],
        wait = waits(job, order, left) if left > 0 else [],
    )

def by_queue(order):
    return sorted([t for t in order if not t.self], key = lambda t: (t.queued - t.free, t.tie))

def waits(job, order, left):
    if not order or not order[0].self:
        return [t.index for t in order]
    rounds = (job.home_waiting + left) // max(1, order[0].slots)
    others = by_queue(order)[:rounds] if rounds >= LONG else []
    return [order[0].index] + [t.index for t in others]
