package owner

import (
	"rackspur/job"
)

// moveLeavingRun stops a run that can't end before its target leaves, once for each task. The task
// starts on another gate once the run has ended. The gate is not avoided and doesn't count as
// slow: it starts nothing until another incarnation of its target is there.
func (o *Owner) moveLeavingRun(now Time, v *gateView, t *task, name job.RunName) {
	switch {
	case t.leavingRun == name.Run:
		// The gate reports the run again over a new link, over which the stop was not sent.
		v.stop(name)
		return
	case t.leavingRun != 0, !o.mayStartAgain(now, t), !o.hasOtherGate(v, t):
		return
	}
	t.leavingRun = name.Run
	o.stats.MovedLeaving++
	v.stop(name)
	o.log.Info("Run can't end before its target leaves and is moved.", "job", name.Job, "task", t.index, "run", name.Run, "gate", v.name, "timeLeftMS", v.report.Leaving.Milliseconds())
}

// mayStartAgain reports whether another run of a task may be started once the newest one was
// stopped.
func (o *Owner) mayStartAgain(now Time, t *task) bool {
	if t.job.final != "" || t.job.closed {
		return false
	}
	return t.job.record.BestEffort || o.active(now)
}

// hasOtherGate reports whether a usable gate other than the run's can hold a task. It need not
// have room now, since the run would be lost where it is, and may be one that the task avoids; see
// clearAvoided.
func (o *Owner) hasOtherGate(v *gateView, t *task) bool {
	for _, other := range o.usableGates() {
		if other != v && t.fits(other) {
			return true
		}
	}
	return false
}
