# guard-slow: as default, but a target loses its free slots as it gets slower:
# one at 1.5 times the median pace takes two thirds of them, one past twice the
# median none.

STOP = 2.0

def place(job, targets):
    usual = median([t.pace for t in targets])
    order = sorted(targets, key = lambda t: (t.pace > 1.2 * usual, not t.self, -t.free))
    starts = []
    waits = []
    left = job.tasks
    for t in order:
        slowness = t.pace / usual if usual > 0 else 1.0
        if slowness > STOP:
            continue
        waits.append(t.index)
        n = min(left, int(t.free / max(1.0, slowness)))
        if n > 0:
            starts.append((t.index, n))
            left -= n
    return plan(start = starts, wait = waits if left > 0 else [])
