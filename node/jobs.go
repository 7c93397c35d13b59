package node

import (
	"context"
	"math/rand/v2"
	"time"

	"rackspur/job"
	"rackspur/owner"
	"rackspur/retryafter"
)

// Submit submits a durable job and waits for the result. If the context ends first, the
// submission is withdrawn if possible.
func (e *Entry) Submit(ctx context.Context, s job.Submission) owner.SubmitResult {
	t := e.current.Load()
	if t == nil {
		return owner.SubmitRefused
	}
	t.awaitLease(ctx)
	result := make(chan owner.SubmitResult, 1)
	t.owner.Submit(s, func(r owner.SubmitResult) { result <- r })
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return t.owner.AbandonSubmit(s.ID)
	}
}

// Refusal returns what the caller of a refused request is told. With the id of a durable job
// that was just refused, that is the owner's decision; without an id, or if the owner has made
// none, nobody knows when the request would succeed.
func (e *Entry) Refusal(id job.ID) owner.Refusal {
	if t := e.current.Load(); t != nil && id != "" {
		if r, ok := t.owner.Refusal(id); ok {
			return r
		}
	}
	return owner.Refusal{RetryAfter: e.unknownRetryAfter()}
}

// unknownRetryAfter returns the delay of refusals that don't come from an owner.
func (e *Entry) unknownRetryAfter() time.Duration {
	return retryafter.Unknown(e.options.Decisions.MaxRetryAfter, rand.IntN)
}

// RunBestEffort runs a best-effort job and waits for its end. The job is dropped when the
// context ends because its caller has left or its deadline has passed. A job that another
// owner has had before is run there.
func (e *Entry) RunBestEffort(ctx context.Context, s job.Submission) owner.BestEffortResult {
	t := e.current.Load()
	if t == nil {
		return owner.BestEffortResult{Refused: true, RetryAfter: e.unknownRetryAfter()}
	}
	result := make(chan owner.BestEffortResult, 1)
	timeout := defaultCallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if r, ok := e.runElsewhere(ctx, t, s, timeout); ok {
		return r
	}
	ticket := t.owner.RunBestEffort(s, timeout, func(r owner.BestEffortResult) { result <- r })
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		t.owner.RemoveCaller(s.ID, ticket)
		return <-result
	}
}

// Incarnation implements peer.JobAnswerer.Incarnation.
func (e *Entry) Incarnation() string {
	if t := e.current.Load(); t != nil {
		return t.box.Incarnation
	}
	return ""
}

// State implements peer.JobAnswerer.State. It waits a short time for the end of the job.
func (e *Entry) State(ctx context.Context, id job.ID) (job.State, bool) {
	t := e.current.Load()
	if t == nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, finalWait)
	defer cancel()
	return t.owner.AwaitEnd(ctx, id, endWait)
}

// Cancel implements peer.JobAnswerer.Cancel.
func (e *Entry) Cancel(id job.ID, done func(ok bool)) bool {
	t := e.current.Load()
	return t != nil && t.owner.Cancel(id, done)
}
