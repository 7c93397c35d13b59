package owner

import (
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// withdrawTimeout is how long the answer for a dropped job may wait for the gates to
// report whether its runs have started.
const withdrawTimeout = 60 * time.Millisecond

// droppedJob is a best-effort job that was dropped before it ended.
type droppedJob struct {
	at Time
	// open are the runs that were sent to gates and are not known to be over, with their
	// gates.
	open map[job.RunName]string
	// newest is the number of the newest run of each task that was placed.
	newest map[job.TaskName]int
	// callers wait until that is known; nil once they are answered.
	callers []caller
	// refused returns the answer if none of the runs has started; nil if no caller waits, so that
	// the job is not kept in memory.
	refused func() BestEffortResult
}

// dropReason is why a best-effort job was dropped.
type dropReason string

// Reasons for dropping a job.
const (
	dropCallerLeft dropReason = "its caller has left"
	dropDeadline   dropReason = "its deadline has passed"
	dropVeryLate   dropReason = "very late and waiting"
	dropNotPlaced  dropReason = "no task placed in time"
	dropIsolated   dropReason = "its owner was isolated"
)

// drop ends a best-effort job without a result and withdraws its runs. If none of them
// is known to have started, the answer waits for the reports of the gates, to tell a
// job that has not run from one that may have.
func (o *Owner) drop(j *liveJob, why dropReason) {
	now := o.options.Now()
	o.withdrawShare(now, j)
	o.removeJob(j)
	o.stats.Dropped++
	o.logDropped(now, j, why)
	o.withdrawTasks(j)
	d := o.rememberDropped(now, j)
	j.notifyWaiters()
	switch {
	case j.mayHaveRun:
		d.answer(BestEffortResult{})
	case len(d.open) == 0:
		d.answerRefused()
	default:
		o.unanswered++
	}
}

// withdrawTasks removes a job's tasks from the queue and stops its runs.
func (o *Owner) withdrawTasks(j *liveJob) {
	for _, t := range j.tasks {
		o.waiting.remove(t)
	}
	o.stopAll(j)
}

// rememberDropped keeps the runs of a dropped job until they are over, and its callers until they
// are answered.
func (o *Owner) rememberDropped(now Time, j *liveJob) *droppedJob {
	d := &droppedJob{at: now, open: j.openRuns(), newest: j.newestRuns(), callers: j.callers}
	if len(d.callers) > 0 {
		d.refused = func() BestEffortResult { return o.refusedResult(o.options.Now(), j) }
	}
	j.callers = nil
	o.dropped[j.record.ID] = d
	return d
}

// dropIfLive drops a job unless it was dropped already.
func (o *Owner) dropIfLive(j *liveJob, why dropReason) {
	if o.jobs[j.record.ID] == j {
		o.drop(j, why)
	}
}

// openRuns returns the runs whose end gates have not reported yet, with their gates.
func (j *liveJob) openRuns() map[job.RunName]string {
	runs := map[job.RunName]string{}
	for _, t := range j.tasks {
		if t.phase == taskPlaced || t.phase == taskRunning {
			runs[t.runName()] = t.gate
		}
	}
	return runs
}

// newestRuns returns the number of the newest run of each task that was placed.
func (j *liveJob) newestRuns() map[job.TaskName]int {
	newest := map[job.TaskName]int{}
	for _, t := range j.tasks {
		if t.run >= job.FirstRun(j.record.Generation) {
			newest[t.name] = t.run
		}
	}
	return newest
}

// mayHaveSent reports whether a run may be one that this owner has sent. A run of that name may
// also be another owner's to which the job was submitted again.
func (d *droppedJob) mayHaveSent(name job.RunName) bool {
	return name.Run <= d.newest[name.TaskName]
}

// onState processes the state of a run of a dropped job.
func (d *droppedJob) onState(s gate.RunState) {
	if s.End == 0 {
		return
	}
	d.ended(s.Name, s.End)
}

// ended records that a run is over.
func (d *droppedJob) ended(name job.RunName, end gate.EndKind) {
	if _, ok := d.open[name]; !ok {
		return
	}
	delete(d.open, name)
	switch {
	case end != gate.EndRejected:
		d.answer(BestEffortResult{})
	case len(d.open) == 0:
		d.answerRefused()
	}
}

// endDroppedRuns records that the runs of dropped jobs at a gate are over, but for those that
// remain.
func (o *Owner) endDroppedRuns(v *gateView, remains func(job.RunName) bool) {
	for _, d := range o.dropped {
		for name, at := range d.open {
			if at == v.name && !remains(name) {
				d.ended(name, gate.EndLost)
			}
		}
	}
}

// answer answers the callers, once.
func (d *droppedJob) answer(r BestEffortResult) {
	for _, c := range d.callers {
		c.result(r)
	}
	d.callers = nil
	d.refused = nil
}

// answerRefused answers the callers that no task has run or will run.
func (d *droppedJob) answerRefused() {
	if len(d.callers) > 0 {
		d.answer(d.refused())
	}
}

// expireDropped answers the callers of dropped jobs whose gates have not reported in
// time, and forgets old jobs.
func (o *Owner) expireDropped(now Time) {
	o.unanswered = 0
	for id, d := range o.dropped {
		if now-d.at > withdrawTimeout {
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
