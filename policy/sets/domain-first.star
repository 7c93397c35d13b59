# domain-first: the home's failure domain takes all it has free before any task
# crosses to another; what is left waits within the domain unless it has none.

def place(job, targets):
    near = [t for t in targets if t.domain == job.domain]
    far = [t for t in targets if t.domain != job.domain]
    starts = []
    left = job.tasks
    for t in near + sorted(far, key = lambda t: -t.free):
        n = min(left, t.free)
        if n > 0:
            starts.append((t.index, n))
            left -= n
    return plan(start = starts, wait = [t.index for t in (near or far)] if left > 0 else [])
