package owner

import (
	"slices"

	"rackspur/gate"
	"rackspur/job"
)

// This file holds what becomes of jobs that are not kept while their owner is out of
// touch: it has stood still, or nothing reaches it. Gates stop its runs then, and callers
// that hear nothing hand their jobs in elsewhere. An owner that comes back can't tell
// which of them have, so it starts nothing more of the jobs that it had. One that was cut
// off for 2 s else ran a task for 1 s beside another owner (TestOwnerCutOff).

// reviewIsolation closes the jobs that are not kept if the owner has heard of nobody for
// longer than gates let its runs go on. It comes before all that could start a task, so
// that a process that wakes starts nothing first.
func (o *Owner) reviewIsolation(now Time) {
	if now-o.outsideHeard <= o.options.BestEffortContact {
		return
	}
	for _, j := range o.jobs {
		if j.record.BestEffort && !j.closed {
			o.closeJob(now, j)
		}
	}
}

// heardFromOutside takes in that another process has reached this one.
func (o *Owner) heardFromOutside(now Time) {
	o.reviewIsolation(now)
	o.outsideHeard = now
}

// closeJob lets a job start no more tasks. What runs of it may still end, and then its
// callers get their answer; it is given up as soon as a task would have to start.
func (o *Owner) closeJob(now Time, j *liveJob) {
	j.closed = true
	o.log.Info("Job starts nothing more; its owner was out of touch.", "job", j.record.ID, "ageMS", (now - j.arrived).Milliseconds(),
		"silentMS", (now - o.outsideHeard).Milliseconds(), "left", j.left, "on", j.gates())
	if o.mustStart(j) {
		o.drop(j)
	}
}

// mustStart says whether a job can't end without the start of a task.
func (o *Owner) mustStart(j *liveJob) bool {
	for _, t := range j.tasks {
		if t.phase == taskBlocked || t.phase == taskWaiting || o.unsent(t) {
			return true
		}
	}
	return false
}

// unsent says whether a task's start was not handed to the link yet.
func (o *Owner) unsent(t *task) bool {
	v := o.gates[t.gate]
	return v != nil && t.phase == taskPlaced && v.holdsStart(t.runName())
}

// holdsStart says whether the start of a run waits to be handed to the link.
func (v *gateView) holdsStart(name job.RunName) bool {
	return slices.ContainsFunc(v.starts, func(s gate.Order) bool { return s.Name == name })
}
