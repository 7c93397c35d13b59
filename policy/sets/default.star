# default: response time first (the acquiring platform).
#
# Known free slots are used at once: the home's own target first, then the
# others by their free slots times a drawn number, so that homes which see the
# same loads choose differently. What is known of another target is a little
# old, so its last slot is left to its own home. What finds no slot waits at the
# home's own target, where a slot costs no message, and at a few others unless
# the home's queue is short. Targets three times slower than the median get
# nothing.

SLOW = 3.0
STALE = 1
NEAR = 1.5
PATIENT = 0.25
FEW = 1

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
        n = min(left, t.free if t.self else t.free - STALE)
        if n > 0:
            starts.append((t.index, n))
            left -= n
    if left == 0:
        return plan(start = starts)
    return plan(start = starts, wait = waits(job, order, left), eager = True)

def rank(job, targets):
    limit = SLOW * median([t.pace for t in targets])
    good = [t for t in targets if t.pace <= limit]
    return sorted(good, key = lambda t: -weight(job, t))

def weight(job, t):
    if t.self:
        return float("inf")
    return (NEAR if t.domain == job.domain else 1.0) * t.free * t.tie

def waits(job, order, left):
    if not order or not order[0].self:
        return [t.index for t in order]
    rounds = (job.home_waiting + left) / max(1, order[0].slots)
    if rounds <= PATIENT:
        return [order[0].index]
    others = sorted(order[1:], key = lambda t: (t.waiting, t.tie))
    return [order[0].index] + [t.index for t in others[:FEW + int(rounds)]]

def retry(task):
    if task.refusals > 20:
        return give_up()
    return again(5 if task.refusals >= 3 else 0)

def drain(home):
    return move()
