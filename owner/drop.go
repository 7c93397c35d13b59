package owner

import (
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// withdrawPatience is how long the answer to a job that is given up may wait for
// the gates' word whether runs of it have started.
const withdrawPatience = 60 * time.Millisecond

// droppedJob is a job that was not kept and was given up.
type droppedJob struct {
	at Time
	// unsure are runs that were sent to gates and of which it is not known yet
	// whether they have started.
	unsure map[job.RunName]bool
	// callers wait for that; nil once they have their answer.
	callers []caller
}

// drop gives up a job that is not kept: it ends without a result, and its runs are
// withdrawn. If none of them is known to have started, the answer waits for the gates'
// word, so that a job that has not run is told apart from one that may have.
func (o *Owner) drop(j *liveJob) {
	now := o.options.Now()
	delete(o.jobs, j.record.ID)
	o.stats.Dropped++
	o.tellDropped(now, j)
	o.withdrawTasks(j)
	d := o.rememberDropped(now, j)
	j.tellWaiters()
	switch {
	case j.tried:
		d.answer(BestEffortResult{})
	case len(d.unsure) == 0:
		d.answer(BestEffortResult{Refused: true})
	default:
		o.unanswered++
	}
}

// withdrawTasks takes a job's tasks out of the queue and has its runs stopped.
func (o *Owner) withdrawTasks(j *liveJob) {
	for _, t := range j.tasks {
		o.waiting.remove(t)
	}
	o.stopAll(j)
}

// rememberDropped keeps the callers of a job that is given up until they have their
// answer. Those of an earlier time that the job was given up here are answered now.
func (o *Owner) rememberDropped(now Time, j *liveJob) *droppedJob {
	d := &droppedJob{at: now, unsure: j.openRuns(), callers: j.callers}
	j.callers = nil
	if earlier := o.dropped[j.record.ID]; earlier != nil {
		earlier.answer(BestEffortResult{})
	}
	o.dropped[j.record.ID] = d
	return d
}

// dropLive drops a job unless that was done already.
func (o *Owner) dropLive(j *liveJob) {
	if o.jobs[j.record.ID] == j {
		o.drop(j)
	}
}

// openRuns returns the runs that gates have not told the end of.
func (j *liveJob) openRuns() map[job.RunName]bool {
	runs := map[job.RunName]bool{}
	for _, t := range j.tasks {
		if t.phase == taskPlaced || t.phase == taskRunning {
			runs[t.runName()] = true
		}
	}
	return runs
}

// onState takes in what a gate says of a run of a job that was given up.
func (d *droppedJob) onState(s gate.RunState) {
	if !d.unsure[s.Name] || s.End == 0 {
		return
	}
	delete(d.unsure, s.Name)
	switch {
	case s.End != gate.EndRejected:
		d.answer(BestEffortResult{})
	case len(d.unsure) == 0:
		d.answer(BestEffortResult{Refused: true})
	}
}

// answer tells the callers, once.
func (d *droppedJob) answer(r BestEffortResult) {
	for _, c := range d.callers {
		c.result(r)
	}
	d.callers = nil
}

// reviewDropped answers for given up jobs whose gates have not told in time, and
// forgets old ones.
func (o *Owner) reviewDropped(now Time) {
	o.unanswered = 0
	for id, d := range o.dropped {
		if now-d.at > withdrawPatience {
			d.answer(BestEffortResult{})
		}
		if now-d.at > rememberEnded {
			delete(o.dropped, id)
		}
		if len(d.callers) > 0 {
			o.unanswered++
		}
	}
}
