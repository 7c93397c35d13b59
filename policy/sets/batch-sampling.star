# batch-sampling: late binding as published for Sparrow (Ousterhout et al.,
# SOSP 2013). A job of m tasks asks 2m targets drawn at random for a slot and
# gives its tasks to the first that have one.

PROBES = 2

def place(job, targets):
    n = min(len(targets), max(1, PROBES * job.tasks))
    return plan(wait = sample(len(targets), n), eager = True)
