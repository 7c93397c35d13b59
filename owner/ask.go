package owner

import (
	"context"
	"time"

	"rackspur/job"
)

// State returns the state of a job; ok is false if the job is unknown here or the owner
// is not active.
func (o *Owner) State(id job.ID) (job.State, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stateOf(id)
}

func (o *Owner) stateOf(id job.ID) (job.State, bool) {
	if e := o.ended[id]; e != nil {
		return e.state, true
	}
	j := o.jobs[id]
	if j == nil || j.phase == jobInserting || !o.active(o.options.Now()) {
		return "", false
	}
	return j.state(), true
}

// Inserting reports whether a job is being inserted, so that it may or may not be accepted.
func (o *Owner) Inserting(id job.ID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[id]
	return j != nil && j.phase == jobInserting
}

// AwaitEnd waits for the end of a job and returns its state as State does. It waits up
// to patience, or until the context ends if the end of the job is being written by
// then.
func (o *Owner) AwaitEnd(ctx context.Context, id job.ID, patience time.Duration) (job.State, bool) {
	ended, ok := o.endOf(id)
	if !ok {
		return o.State(id)
	}
	first, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	await(first, ended)
	if o.ending(id) {
		await(ctx, ended)
	}
	return o.State(id)
}

// await waits for an event or the end of the context.
func await(ctx context.Context, event <-chan struct{}) {
	select {
	case <-event:
	case <-ctx.Done():
	}
}

// endOf returns a channel that is closed when a job ends; ok is false if the job has
// ended or is unknown.
func (o *Owner) endOf(id job.ID) (ended <-chan struct{}, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[id]
	if j == nil || j.phase == jobInserting {
		return nil, false
	}
	wait := make(chan struct{})
	j.waiters = append(j.waiters, wait)
	return wait, true
}

// ending reports whether the end of a job is being written.
func (o *Owner) ending(id job.ID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[id]
	return j != nil && j.phase == jobEnding
}

// Cancel cancels a job and calls done with whether its end is durable; known is false
// if the job is not this owner's. A job that is being inserted may be another owner's, so it is
// not known; it is cancelled once it is accepted here.
func (o *Owner) Cancel(id job.ID, done func(ok bool)) (known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended[id] != nil {
		done(true)
		return true
	}
	j := o.jobs[id]
	now := o.options.Now()
	switch {
	case j == nil:
		return false
	case j.record.BestEffort && o.stopped:
		return false
	case !j.record.BestEffort && !o.active(now):
		return false
	}
	if j.phase == jobInserting {
		j.cancelRequested = true
		return false
	}
	wait := make(chan struct{})
	j.waiters = append(j.waiters, wait)
	o.finish(now, j, job.StateCancelled)
	go func() {
		<-wait
		_, ok := o.State(id)
		done(ok)
	}()
	return true
}

// Pending returns the number of pending jobs of a queue; see PendingByQueue.
func (o *Owner) Pending(queue string) int { return o.PendingByQueue()[queue] }

// PendingByQueue returns, by queue, the number of accepted jobs of which no task has
// started. Best-effort jobs don't count: they are answered only once they have ended.
func (o *Owner) PendingByQueue() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	var pending map[string]int
	for _, j := range o.jobs {
		if j.record.BestEffort || j.phase == jobInserting || j.started {
			continue
		}
		if pending == nil {
			pending = map[string]int{}
		}
		pending[j.record.Queue.Name]++
	}
	return pending
}
