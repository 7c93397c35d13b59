package owner

import (
	"slices"

	"rackspur/gate"
	"rackspur/job"
)

// Handling of best-effort jobs while their owner is isolated: its process is suspended,
// or nothing reaches it. Gates then stop its runs, and callers without an answer submit
// their jobs elsewhere. An owner that comes back can't tell which jobs were submitted
// elsewhere, so it starts no more tasks of the jobs it had. Otherwise two owners would
// run the same task at the same time (TestOwnerCutOff).

// checkIsolation closes the best-effort jobs if the owner has had no contact for longer
// than gates let its runs go on. It must be called before anything that could start a
// task, so that a process that resumes after a suspension starts none of theirs.
func (o *Owner) checkIsolation(now Time) {
	if now-o.lastContact <= o.options.BestEffortContactTimeout {
		return
	}
	for _, j := range o.jobs {
		if j.record.BestEffort && !j.closed {
			o.closeJob(now, j)
		}
	}
}

// noteContact records that another process has reached this one.
func (o *Owner) noteContact(now Time) {
	o.checkIsolation(now)
	o.lastContact = now
}

// closeJob prevents a job from starting more tasks. Its runs may still end, and its
// callers are answered then; the job is dropped as soon as it would have to start a
// task.
func (o *Owner) closeJob(now Time, j *liveJob) {
	j.closed = true
	o.log.Info("Job starts no more tasks: its owner was isolated.", "job", j.record.ID, "ageMS", (now - j.arrived).Milliseconds(),
		"silentMS", (now - o.lastContact).Milliseconds(), "left", j.left, "on", j.gateNames())
	if o.mustStart(j) {
		o.drop(j, dropIsolated)
	}
}

// mustStart reports whether a job can't end without starting another task.
func (o *Owner) mustStart(j *liveJob) bool {
	for _, t := range j.tasks {
		if t.phase == taskBlocked || t.phase == taskWaiting || o.unsent(t) {
			return true
		}
	}
	return false
}

// unsent reports whether a task's start was not yet handed to the link.
func (o *Owner) unsent(t *task) bool {
	v := o.gates[t.gate]
	return v != nil && t.phase == taskPlaced && v.holdsStart(t.runName())
}

// holdsStart reports whether the start of a run waits to be handed to the link.
func (v *gateView) holdsStart(name job.RunName) bool {
	return slices.ContainsFunc(v.starts, func(s gate.Order) bool { return s.Name == name })
}
