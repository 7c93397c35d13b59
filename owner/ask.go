package owner

import (
	"context"

	"rackspur/job"
)

// State returns the state of a job that this owner knows; ok is false if it
// does not, or is not sure.
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

// AwaitEnd returns the state of a job as State does, and waits for its end as
// long as the context allows if its last tasks are about to be.
func (o *Owner) AwaitEnd(ctx context.Context, id job.ID) (job.State, bool) {
	o.mu.Lock()
	j := o.jobs[id]
	if j == nil || j.phase == jobInserting {
		defer o.mu.Unlock()
		return o.stateOf(id)
	}
	wait := make(chan struct{})
	j.waiters = append(j.waiters, wait)
	o.mu.Unlock()
	select {
	case <-wait:
	case <-ctx.Done():
	}
	return o.State(id)
}

// Cancel cancels a job and calls done with whether its end is durable; known is
// false if the job is not this owner's.
func (o *Owner) Cancel(id job.ID, done func(ok bool)) (known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended[id] != nil {
		done(true)
		return true
	}
	j := o.jobs[id]
	now := o.options.Now()
	if j == nil || j.phase == jobInserting || !o.active(now) {
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

// Pending counts the jobs of a queue none of whose tasks has begun.
func (o *Owner) Pending(queue string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, j := range o.jobs {
		if j.record.Queue.Name == queue && j.phase != jobInserting && !j.begun {
			n++
		}
	}
	return n
}
