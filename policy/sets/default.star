# default: response time first (the acquiring platform).
#
# Known free slots are used at once: the home's own target first, then the
# others by their free slots times a drawn number, so that homes which see the
# same loads choose differently. What is known of another target is a little
# old, so its last slot is left to its own home. What finds no slot waits at the
# home's own target, where a slot costs no message, as long as the home's queue
# is short; then it goes into the short queues of other gates; only then does it
# ask a few targets for a slot. Targets three times slower than the median get
# nothing.

SLOW = 3.0
STALE = 1
NEAR = 1.5
PATIENT = 0.25
QUEUE_SHARE = 4

def admit(job):
    if job.slots == 0:
        return refuse("no-target", 1000)
    late = job.expected_wait_ms + job.longest_ms > job.deadline_ms
    if late or job.expected_wait_ms > job.max_wait_ms:
        return refuse("overloaded", min(5000, max(50, job.expected_wait_ms / 2)))
    return accept()

def place(job, targets):
    order = rank(job, targets)
    take = {}
    left = job.tasks
    for t in order:
        n = max(0, min(left, t.free if t.self else t.free - STALE))
        take[t.index] = n
        left -= n
    left -= enqueue(job, order, take, left)
    return plan(
        start = [(t.index, take[t.index]) for t in order if take[t.index] > 0],
        wait = waits(job, order, left) if left > 0 else [],
    )

def rank(job, targets):
    limit = SLOW * median([t.pace for t in targets])
    good = [t for t in targets if t.pace <= limit]
    return sorted(good, key = lambda t: -weight(job, t))

def weight(job, t):
    if t.self:
        return float("inf")
    return (NEAR if t.domain == job.domain else 1.0) * t.free * t.tie

def enqueue(job, order, take, left):
    """Gives tasks that would wait too long at the home to other gates' queues."""
    if not order:
        return 0
    over = left
    if order[0].self:
        over = min(left, job.home_waiting + left - int(PATIENT * order[0].slots))
    given = 0
    for t in by_queue(order):
        if given >= over or t.room == 0 or t.queued > t.slots // QUEUE_SHARE:
            continue
        take[t.index] += 1
        given += 1
    return given

def by_queue(order):
    return sorted([t for t in order if not t.self], key = lambda t: (t.queued - t.free, t.tie))

def waits(job, order, left):
    if not order or not order[0].self:
        return [t.index for t in order]
    rounds = (job.home_waiting + left) // max(1, order[0].slots)
    return [order[0].index] + [t.index for t in by_queue(order)[:rounds]]

def retry(task):
    if task.refusals > 20:
        return give_up()
    return again(5 if task.refusals >= 3 else 0)

def drain(home):
    return move()
