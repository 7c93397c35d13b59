package owner

import (
	"time"

	"rackspur/job"
)

// BestEffortResult is the final answer to a job that is not kept.
type BestEffortResult struct {
	// State is completed or failed; empty if the job was not brought to an end.
	State job.State
	// Refused says that no task of the job has run or will run.
	Refused bool
}

// caller waits for the end of a job that is not kept.
type caller struct {
	ticket uint64
	result func(BestEffortResult)
}

// RunBestEffort runs a job that is not kept, at most as long as its caller
// waits. The result is told once, maybe before RunBestEffort returns. The ticket
// names the caller to Leave.
func (o *Owner) RunBestEffort(s job.Submission, patience time.Duration, result func(BestEffortResult)) (ticket uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	o.heardFromOutside(now)
	o.order++
	c := caller{ticket: o.order, result: result}
	if e := o.ended[s.ID]; e != nil {
		result(BestEffortResult{State: e.state})
		return c.ticket
	}
	if j := o.jobs[s.ID]; j != nil {
		j.callers = append(j.callers, c)
		return c.ticket
	}
	j := newLiveJob(job.Record{Submission: s, Owner: o.options.Incarnation}, now)
	j.setUrgency()
	if o.over || !o.admits(now, j) {
		o.tellRefused(now, j, "no hope at arrival")
		result(BestEffortResult{Refused: true})
		return c.ticket
	}
	j.phase = jobLive
	j.deadline = now + patience
	j.callers = append(j.callers, c)
	o.jobs[s.ID] = j
	o.stats.Accepted++
	o.makeReady(now, j)
	o.place(now)
	return c.ticket
}

// Leave takes in that a caller no longer waits. A job without callers is
// dropped. The caller is told its result if it was not told one yet.
func (o *Owner) Leave(id job.ID, ticket uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[id]
	if j == nil {
		return
	}
	for i, c := range j.callers {
		if c.ticket == ticket {
			j.callers = append(j.callers[:i], j.callers[i+1:]...)
			c.result(j.undone())
			break
		}
	}
	if len(j.callers) == 0 && j.record.BestEffort {
		o.drop(j)
	}
}

// undone is the answer for a job that is not brought to an end.
func (j *liveJob) undone() BestEffortResult {
	return BestEffortResult{Refused: !j.placed}
}

func (j *liveJob) tellCallers(r BestEffortResult) {
	for _, c := range j.callers {
		c.result(r)
	}
	j.callers = nil
}
