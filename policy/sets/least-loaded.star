# least-loaded: tasks go to the targets with the most free slots by their last
# report, whatever their place; the rest waits at those with the shortest queues.

def place(job, targets):
    order = sorted(targets, key = lambda t: (-t.free, t.waiting))
    starts = []
    left = job.tasks
    for t in order:
        n = min(left, max(0, t.free))
        if n > 0:
            starts.append((t.index, n))
            left -= n
    shortest = sorted(targets, key = lambda t: t.waiting)
    return plan(start = starts, wait = [t.index for t in shortest[:4]] if left > 0 else [])
