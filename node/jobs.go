package node

import (
	"context"
	"time"

	"rackspur/job"
	"rackspur/owner"
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

// RunBestEffort runs a best-effort job and waits for its end. The job is dropped when the
// context ends because its caller has left or its deadline has passed.
func (e *Entry) RunBestEffort(ctx context.Context, s job.Submission) owner.BestEffortResult {
	t := e.current.Load()
	if t == nil {
		return owner.BestEffortResult{Refused: true}
	}
	result := make(chan owner.BestEffortResult, 1)
	timeout := defaultCallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
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
