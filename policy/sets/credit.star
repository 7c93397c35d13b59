# credit: nothing starts without a slot that a target has reserved for the home.
# The home asks every target that the entry box proposed.

def place(job, targets):
    return plan(wait = [t.index for t in targets], eager = True)
