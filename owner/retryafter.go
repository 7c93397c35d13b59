package owner

import (
	"time"

	"rackspur/job"
	"rackspur/retryafter"
)

// Refusal is what the caller of a refused job is told.
type Refusal struct {
	// RetryAfter is the time after which to return, in whole seconds.
	RetryAfter time.Duration
}

// returns holds what an owner knows of refused callers.
type returns struct {
	scheduler *retryafter.Scheduler
	refused   *retryafter.Memory
}

// newReturns returns nil if all refused callers are told to return after a second.
func (o *Owner) newReturns() *returns {
	limit := o.options.Decisions.MaxRetryAfter
	if !retryafter.Enabled(limit) {
		return nil
	}
	return &returns{scheduler: retryafter.NewScheduler(limit, o.random), refused: retryafter.NewMemory(limit)}
}

// Refusal returns what the caller of a durable job that was just refused is told; ok is false
// if the owner does not remember the refusal.
func (o *Owner) Refusal(id job.ID) (r Refusal, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.returns == nil {
		return Refusal{}, false
	}
	e, ok := o.returns.refused.Get(o.options.Now(), string(id))
	return Refusal{RetryAfter: e.Delay}, ok
}

// noteArrival gives a new job its position in the order of arrival: that of its first
// attempt if it was refused before.
func (o *Owner) noteArrival(now Time, j *liveJob) {
	if o.returns == nil {
		return
	}
	if e, ok := o.returns.refused.Take(now, string(j.record.ID)); ok {
		o.stats.Returned++
		j.firstOrder = e.Order
		j.returned = true
		return
	}
	j.firstOrder = o.order + 1
	o.order += uint64(len(j.tasks))
	o.returns.scheduler.Arrived(now, j.work())
}

// taskOrder returns the position of a task among equally urgent ones: that of the newest
// arrival, or for a job that has returned, of its first attempt.
func (o *Owner) taskOrder(t *task) uint64 {
	if t.job.returned {
		return t.job.firstOrder + uint64(t.index)
	}
	return o.order
}

// noteServed records the work of a task that is done.
func (o *Owner) noteServed(now Time, t *task) {
	if o.returns != nil {
		o.returns.scheduler.Served(now, stepWork(t.step))
	}
}

// refusal decides what the caller of a refused job is told, once for each job.
func (o *Owner) refusal(f *figures) Refusal {
	now, j := f.now, f.job
	if j.refusal.RetryAfter > 0 {
		return j.refusal
	}
	j.refusal.RetryAfter = o.chooseDelay(f)
	if o.returns != nil {
		o.returns.refused.Add(now, string(j.record.ID), retryafter.Refused{Order: j.firstOrder, Delay: j.refusal.RetryAfter})
	}
	if o.options.OnRefusal != nil {
		o.options.OnRefusal(j.refusal.RetryAfter)
	}
	return j.refusal
}

// refusedResult returns the answer to the callers of a refused best-effort job.
func (o *Owner) refusedResult(now Time, j *liveJob) BestEffortResult {
	return BestEffortResult{Refused: true, RetryAfter: o.refusal(o.figuresOf(now, j)).RetryAfter}
}

func (o *Owner) chooseDelay(f *figures) time.Duration {
	if o.returns == nil {
		return time.Second
	}
	now, j := f.now, f.job
	s, work := o.returns.scheduler, j.work()
	capacity, _ := f.capacity()
	switch {
	case capacity == 0 && o.allEvacuated(j.record.Queue.Service):
		return s.Longest(now, work)
	case capacity == 0 || o.stopped || o.storeFailed(now, j):
		return s.Unknown(now, work)
	}
	e := f.wait()
	return s.Delay(now, retryafter.Load{
		Work: work, Ahead: e.ahead, Wait: e.wait,
		Capacity: float64(capacity), Share: float64(capacity) / o.ownersPerGate(),
	})
}

// storeFailed reports whether a job is refused because of the store.
func (o *Owner) storeFailed(now Time, j *liveJob) bool {
	if j.record.BestEffort {
		return false
	}
	// A job with an insert was admitted, so only the insert can have failed.
	return j.insert != nil || !o.active(now) || o.writer.FailingFor(o.part(j.record.ID)) > storeDownAfter
}

// stepWork returns the work of one task of a step by its estimate, in core-milliseconds.
func stepWork(s *job.Step) float64 {
	return float64(s.Need.CPU) * float64(s.EstimateMS) / 1000
}
