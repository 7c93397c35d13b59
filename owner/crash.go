package owner

import (
	"slices"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// A target that crashes takes all its runs along, and one of them may have caused it: a task that
// crashes each target that starts it would empty the fleet. Which one did it shows only when the
// suspected tasks run alone. A task is suspected from the first crash on, and its job fails once
// targets have crashed under the task alone, or too often.

const (
	// maxCrashesAlone is the number of crashes without another active run at which a task's job
	// fails.
	maxCrashesAlone = 2
	// maxCrashes is the number of all crashes at which it fails, if minCrashesSeen of them were seen;
	// one less if the task ran alone in one of them. A task may be started twice after three
	// crashes: one of these starts is spared for a crash that nobody has reported.
	maxCrashes     = 4
	minCrashesSeen = 2
	// crashesToRunAlone is the number of crashes from which a task runs without others on its target.
	crashesToRunAlone = 2
	// crashesToWait is the number of crashes from which a task waits while one of them is only
	// presumed, presumedCrashTimeout how long it waits for a report that the target has crashed.
	crashesToWait        = 3
	presumedCrashTimeout = 20 * time.Second
	// maxAloneWait is how long a task that is to run alone waits for a target without other runs.
	maxAloneWait = 2 * time.Second
	// maxAloneTime is how long its target gets no other runs from this owner.
	maxAloneTime = 5 * time.Second
)

// crashKinds has the kinds of the crashes that gates report.
var crashKinds = map[string]job.CrashKind{
	gate.ReasonSilent:             job.CrashPresumed,
	gate.ReasonCrashed:            job.CrashSeen,
	gate.ReasonCrashedUnconfirmed: job.CrashPossible,
	gate.ReasonCrashedAlone:       job.CrashAlone,
}

// crashes returns the crashes under a task.
func (t *task) crashes() []job.Crash { return t.job.record.Crashes[t.index] }

// noteLost records what a gate reports of a run that was lost: whether its target has crashed. Of a
// best-effort job only crashes that were seen are recorded; nothing more is told of its runs.
func (o *Owner) noteLost(now Time, v *gateView, t *task, s gate.RunState) {
	r, run := &t.job.record, s.Name.Run
	kind, known := crashKinds[s.Reason]
	var changed bool
	switch {
	case s.Reason == gate.ReasonAlive:
		changed = r.RemoveCrash(t.index, run)
	case !known || r.BestEffort && !kind.Seen():
		return
	default:
		changed = r.AddCrash(t.index, run, kind)
	}
	if !changed {
		return
	}
	switch {
	case kind == job.CrashPresumed:
		t.silentSince = now
	case kind.Seen():
		// The cause may also be the target's box.
		t.avoidGate(v.name)
	}
	o.log.Info("A target was lost under a task.", "job", t.name.Job, "task", t.index, "run", run, "gate", v.name,
		"target", v.report.TargetID, "why", s.Reason, "crashes", len(t.crashes()))
	o.markUrgent(now, t.job)
}

// noteNoResult records a run that has ended without a result, for whatever reason, as a possible
// crash if targets have crashed under its task before: the starts after crashes are bounded.
func (o *Owner) noteNoResult(t *task) {
	if len(t.crashes()) > 0 && !t.job.record.BestEffort {
		t.job.record.AddCrash(t.index, t.run, job.CrashPossible)
	}
}

// crashesTargets reports whether a task is taken for the cause of crashes, so that it must not
// start again.
func (t *task) crashesTargets(now Time) bool {
	r := &t.job.record
	alone := r.CountCrashes(t.index, job.CrashAlone)
	seen := alone + r.CountCrashes(t.index, job.CrashSeen)
	all := seen + r.CountCrashes(t.index, job.CrashPossible)
	if now-t.silentSince >= presumedCrashTimeout {
		all += r.CountCrashes(t.index, job.CrashPresumed)
	}
	most := maxCrashes
	if alone > 0 {
		most--
	}
	return alone >= maxCrashesAlone || all >= most && seen >= minCrashesSeen
}

// giveUpCrasher ends the durable job of a task that crashes its targets, unless the task has an active
// run. A best-effort job ends with its callers' patience.
func (o *Owner) giveUpCrasher(now Time, t *task) bool {
	if t.job.record.BestEffort || t.phase == taskPlaced || t.phase == taskRunning || t.phase == taskDone || t.job.final != "" || !t.crashesTargets(now) {
		return false
	}
	o.stats.FailedByCrashes++
	o.log.Info("Job given up: a task of it crashes its targets.", "job", t.name.Job, "task", t.index, "runs", t.crashes())
	o.waiting.remove(t)
	o.fail(now, t)
	return true
}

// awaitsCrashReport reports whether a task has to wait until it is known whether silent targets have
// crashed.
func (t *task) awaitsCrashReport(now Time) bool {
	return len(t.crashes()) >= crashesToWait && now-t.silentSince < presumedCrashTimeout &&
		t.job.record.CountCrashes(t.index, job.CrashPresumed) > 0
}

// runsAlone reports whether a task is to run without others on its target.
func (t *task) runsAlone() bool { return len(t.crashes()) >= crashesToRunAlone }

// gatesForSuspect returns the gates for a task under which targets have crashed: those without other
// runs, if there are any. wait is set if it waits for such a gate, or for the report of a crash.
func (o *Owner) gatesForSuspect(now Time, usable []*gateView, t *task) (gates []*gateView, wait bool) {
	if t.awaitsCrashReport(now) {
		return nil, true
	}
	var idle []*gateView
	for _, v := range usable {
		if v.idle() && o.eligible(v, t) {
			idle = append(idle, v)
		}
	}
	switch {
	case len(idle) > 0:
		return idle, false
	case t.runsAlone() && now-t.since < maxAloneWait:
		return nil, true
	}
	return usable, false
}

// idle reports whether a gate has no runs, as far as this owner knows.
func (v *gateView) idle() bool {
	return v.report.Free == v.report.Capacity && v.report.Queued == (job.Resources{}) && len(v.inFlight) == 0 && len(v.starts) == 0
}

// reserved reports whether the gate is to get no other tasks now.
func (v *gateView) reserved(now Time) bool {
	t := v.reservedFor
	if t == nil {
		return false
	}
	if t.gate != v.name || t.phase != taskPlaced && t.phase != taskRunning || now-t.since >= maxAloneTime {
		v.reservedFor = nil
		return false
	}
	return true
}

// withoutReserved returns the gates that are not reserved.
func withoutReserved(now Time, gates []*gateView) []*gateView {
	return slices.DeleteFunc(gates, func(v *gateView) bool { return v.reserved(now) })
}
