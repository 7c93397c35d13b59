package owner

import (
	"time"

	"rackspur/job"
)

// BestEffortResult is the final answer to the caller of a best-effort job.
type BestEffortResult struct {
	// State is completed or failed; empty if the job was dropped.
	State job.State
	// Refused is set if no task of the job has run or will run.
	Refused bool
	// RetryAfter is the time after which the caller of a refused job should return, in whole
	// seconds.
	RetryAfter time.Duration
}

// caller waits for the end of a best-effort job.
type caller struct {
	ticket uint64
	result func(BestEffortResult)
}

// RunBestEffort runs a best-effort job for as long as its caller waits. It calls result
// once, possibly before it returns. The ticket identifies the caller to RemoveCaller.
func (o *Owner) RunBestEffort(s job.Submission, patience time.Duration, result func(BestEffortResult)) (ticket uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runBestEffort(s, patience, result)
}

// runBestEffort is RunBestEffort with the lock held.
func (o *Owner) runBestEffort(s job.Submission, patience time.Duration, result func(BestEffortResult)) (ticket uint64) {
	now := o.options.Now()
	o.noteContact(now)
	o.order++
	c := caller{ticket: o.order, result: result}
	if e := o.ended[s.ID]; e != nil {
		result(BestEffortResult{State: e.state})
		return c.ticket
	}
	if j := o.jobs[s.ID]; j != nil {
		if o.stopped {
			result(BestEffortResult{})
			return c.ticket
		}
		j.callers = append(j.callers, c)
		j.deadline = max(j.deadline, now+patience)
		return c.ticket
	}
	j := newLiveJob(job.Record{Submission: s, Owner: o.options.Incarnation}, now)
	o.setShare(now, j)
	j.setUrgency()
	o.noteArrival(now, j)
	f := o.figuresOf(now, j)
	earlier := o.dropped[s.ID]
	if o.stopped && earlier.hasOpenRuns() {
		result(BestEffortResult{})
		return c.ticket
	}
	if o.stopped || !earlier.hasOpenRuns() && (o.tooManyTasks(&s) || !o.admits(f)) {
		o.countShareRefused(now, j)
		o.logRefused(f, "no hope at arrival")
		result(o.refusedResult(now, j))
		return c.ticket
	}
	j.phase = jobLive
	j.deadline = now + patience
	j.callers = append(j.callers, c)
	o.addJob(j)
	if earlier != nil {
		o.resumeDropped(now, j, earlier)
	}
	o.stats.Accepted++
	o.countShareArrived(now, j)
	o.makeReady(now, j)
	o.place(now)
	return c.ticket
}

// RemoveCaller removes a caller that no longer waits and calls its result if that was not
// called yet. A best-effort job without callers is dropped.
func (o *Owner) RemoveCaller(id job.ID, ticket uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[id]
	if j == nil {
		return
	}
	for i, c := range j.callers {
		if c.ticket == ticket {
			j.callers = append(j.callers[:i], j.callers[i+1:]...)
			if len(j.callers) > 0 {
				// The job goes on for its other callers, so it may still run.
				c.result(BestEffortResult{})
				break
			}
			c.result(o.unfinishedResult(j))
			break
		}
	}
	if len(j.callers) == 0 && j.record.BestEffort {
		o.drop(j, dropCallerLeft)
	}
}

// unfinishedResult returns the answer for a job that is dropped.
func (o *Owner) unfinishedResult(j *liveJob) BestEffortResult {
	if j.placed {
		return BestEffortResult{}
	}
	return o.refusedResult(o.options.Now(), j)
}

func (j *liveJob) answerCallers(r BestEffortResult) {
	for _, c := range j.callers {
		c.result(r)
	}
	j.callers = nil
}
