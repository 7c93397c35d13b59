package owner

import (
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// onState processes the state of a run that a gate has reported.
func (o *Owner) onState(now Time, v *gateView, s gate.RunState) {
	j := o.jobs[s.Name.Job]
	if j == nil {
		o.onForeign(v, s)
		return
	}
	t := j.find(s.Name.TaskName)
	if t == nil {
		v.addVerdict(s.Name, gate.VerdictUnknown)
		return
	}
	if j.phase == jobAdopting {
		j.reported = append(j.reported, reportedRun{gate: v.name, state: s})
		return
	}
	if !t.isCurrent(v, s.Name.Run) {
		o.onSuperseded(v, t, s)
		return
	}
	o.onCurrent(now, v, t, s)
}

// isCurrent reports whether a run that a gate has reported is the newest one of its task. The gate
// is not known of runs that were given up, nor of those that the job's former owner has recorded as
// done.
func (t *task) isCurrent(v *gateView, run int) bool {
	return run == t.run && (t.gate == v.name || t.phase == taskWaiting || t.phase == taskDone)
}

// onForeign answers a gate's report on a run whose job is not live here.
func (o *Owner) onForeign(v *gateView, s gate.RunState) {
	e := o.ended[s.Name.Job]
	d := o.dropped[s.Name.Job]
	dropped := d != nil && d.mayHaveSent(s.Name)
	if dropped {
		d.onState(s)
	}
	switch {
	case s.End == gate.EndRejected || s.End == gate.EndLost:
	case dropped && s.End == 0:
		v.stop(s.Name)
	case dropped || (e != nil && e.bestEffort && s.End != 0):
		v.addVerdict(s.Name, gate.VerdictAcknowledge)
	case e == nil || e.final == nil:
		v.addVerdict(s.Name, gate.VerdictUnknown)
		o.noteForeign(v, s)
	case s.End != 0:
		o.answerEnded(v, s.Name, e.final)
	default:
		v.addVerdict(s.Name, gate.VerdictDiscard)
	}
}

// answerEnded sends the verdict on an end of a run whose job has ended.
func (o *Owner) answerEnded(v *gateView, name job.RunName, f *job.Final) {
	kind := gate.VerdictDiscard
	if f.Counts(f.TaskNumber(name.TaskName), name.Run) {
		kind = gate.VerdictAcknowledge
	} else {
		o.stats.Discarded++
	}
	v.addVerdict(name, kind)
	o.logAnswered(v, name, f.State, kind)
}

// onSuperseded answers a gate's report on a run that is not the newest of its task.
func (o *Owner) onSuperseded(v *gateView, t *task, s gate.RunState) {
	switch {
	case s.End == gate.EndLost:
		now := o.options.Now()
		o.noteLost(now, v, t, s)
		o.giveUpCrasher(now, t)
	case s.End == gate.EndRejected:
	case t.job.record.BestEffort && s.End != 0:
		v.addVerdict(s.Name, gate.VerdictAcknowledge)
	case s.End == gate.EndFailed && t.failureCounts(s.Name.Run):
		o.countFailure(v, t, s.Name)
	default:
		o.stats.Discarded++
		o.log.Info("Discarded a run.", "job", s.Name.Job, "task", t.index, "run", s.Name.Run, "newest", t.run, "gate", v.name, "end", s.End)
		v.addVerdict(s.Name, gate.VerdictDiscard)
	}
}

// failureCounts reports whether the failure of a replaced run can count. It can't if
// the newest run would then have started after the last attempt.
func (t *task) failureCounts(run int) bool {
	earlier := 1
	for _, failed := range t.job.record.Failed[t.index] {
		if failed != t.run && failed != run {
			earlier++
		}
	}
	return earlier < t.job.record.Queue.Attempts
}

// countFailure counts the failure of a run that was replaced: it has used up an
// attempt. If the task waits, that may have been the last one.
func (o *Owner) countFailure(v *gateView, t *task, name job.RunName) {
	now := o.options.Now()
	t.job.record.AddFailure(t.index, name.Run)
	o.recordEnd(v, t.job, name)
	if t.phase == taskWaiting && t.isExhausted() {
		o.fail(now, t)
		return
	}
	o.markDirty(now, t.job)
}

// isExhausted reports whether the attempts at a task are used up.
func (t *task) isExhausted() bool {
	return len(t.job.record.Failed[t.index]) >= t.job.record.Queue.Attempts
}

// fail ends the job of a task whose attempts are used up.
func (o *Owner) fail(now Time, t *task) {
	t.phase = taskBlocked
	o.finish(now, t.job, job.StateFailed)
}

// onCurrent processes the state of the newest run of a task.
func (o *Owner) onCurrent(now Time, v *gateView, t *task, s gate.RunState) {
	j := t.job
	switch {
	case t.phase == taskDone:
		if s.End != 0 {
			o.noteWhenWritten(v, j, s.Name)
		}
		return
	case s.End == 0:
		o.onAlive(now, v, t, s)
		return
	case s.End == gate.EndLost && t.phase == taskWaiting:
		// The run counts as over already; only what is known of its target is new.
		o.noteLost(now, v, t, s)
		o.giveUpCrasher(now, t)
		return
	}
	if t.phase == taskWaiting {
		o.waiting.remove(t)
	}
	if s.End != gate.EndRejected {
		j.mayHaveRun = true
	}
	if s.Checkpoint != "" {
		t.checkpoint = s.Checkpoint
	}
	switch s.End {
	case gate.EndDone:
		o.onDone(now, v, t, s)
	case gate.EndFailed:
		o.onFailed(now, v, t, s)
	default:
		o.onNoResult(now, v, t, s)
	}
}

// onAlive processes the report that the newest run of a task is queued or running.
func (o *Owner) onAlive(now Time, v *gateView, t *task, s gate.RunState) {
	if t.phase == taskWaiting {
		// The run was presumed over and has not been replaced yet.
		o.waiting.remove(t)
		t.gate = v.name
		t.since = now
	}
	t.phase = taskPlaced
	if s.Running {
		t.phase = taskRunning
		t.job.started = true
	}
	v.addClaim(s.Name, t)
	if t.job.final != "" {
		v.stop(s.Name)
	}
	switch s.Reason {
	case gate.ReasonBehind:
		o.moveRun(v, t, s.Name)
	case gate.ReasonLeaving:
		o.moveLeavingRun(now, v, t, s.Name)
	}
}

func (o *Owner) onDone(now Time, v *gateView, t *task, s gate.RunState) {
	j := t.job
	t.phase = taskDone
	t.gate = v.name
	j.started = true
	j.left--
	j.record.SetDone(t.index, s.Name.Run)
	o.noteServed(now, t)
	o.recordEnd(v, j, s.Name)
	if j.left == 0 {
		o.finish(now, j, job.StateCompleted)
		return
	}
	o.makeReady(now, j)
	o.markDirty(now, j)
}

// recordEnd has an end confirmed to its gate once the job's record is written. The ends
// of best-effort jobs are not written, so they are confirmed with the next frame.
func (o *Owner) recordEnd(v *gateView, j *liveJob, name job.RunName) {
	if j.record.BestEffort {
		v.verdicts = append(v.verdicts, gate.Verdict{Name: name, Kind: gate.VerdictAcknowledge})
		return
	}
	j.unwritten = append(j.unwritten, endRef{gate: v.name, name: name})
}

func (o *Owner) onFailed(now Time, v *gateView, t *task, s gate.RunState) {
	j := t.job
	o.stats.EndedFailed++
	j.started = true
	j.record.AddFailure(t.index, s.Name.Run)
	o.recordEnd(v, j, s.Name)
	t.avoidGate(v.name)
	if t.isExhausted() {
		o.fail(now, t)
		return
	}
	o.markDirty(now, j)
	o.enqueue(now, t)
}

// onNoResult processes the report that a run is over without a result.
func (o *Owner) onNoResult(now Time, v *gateView, t *task, s gate.RunState) {
	switch s.End {
	case gate.EndRejected:
		o.stats.Rejected++
		t.avoidRejected(now, v, s)
		o.unplace(t)
	case gate.EndLost:
		o.stats.Lost++
		o.logGivenUp(v, t, "lost")
		t.unresolve()
		o.noteLost(now, v, t, s)
		o.noteNoResult(t)
	default:
		v.addVerdict(s.Name, gate.VerdictAcknowledge)
		o.noteNoResult(t)
	}
	o.enqueue(now, t)
}

// unplace processes the report that a run has not started. If it was the only one sent,
// no task of the job counts as placed any more.
func (o *Owner) unplace(t *task) {
	j := t.job
	t.phase = taskBlocked
	if j.mayHaveRun || len(j.openRuns()) > 0 {
		return
	}
	o.reorder(j, func() { j.placed = false })
}

// requeue queues a task again whose run counts as over or was never received.
func (o *Owner) requeue(now Time, t *task) {
	t.job.mayHaveRun = true
	t.unresolve()
	if t.phase == taskRunning {
		o.noteNoResult(t)
	}
	o.enqueue(now, t)
}

func (t *task) avoidGate(name string) {
	if t.avoid == nil {
		t.avoid = map[string]bool{}
	}
	t.avoid[name] = true
}

// avoidRejected keeps a task away from a gate whose target can never hold it, or for a
// time from full queues after a gate has rejected it.
func (t *task) avoidRejected(now Time, v *gateView, s gate.RunState) {
	switch s.Reason {
	case reasonTooLarge:
		t.avoidGate(v.name)
	case gate.ReasonFull:
		t.fullPause = min(max(2*t.fullPause, minFullPause), maxFullPause)
		t.fullUntil = now + t.fullPause
	}
}

// minFullPause and maxFullPause bound how long a task that a full gate has rejected is
// sent to no full gate. The pause doubles each time. Without it a waiting task was sent
// with every frame and had 1471 runs, all rejected.
const (
	minFullPause = 4 * time.Millisecond
	maxFullPause = 64 * time.Millisecond
)

// reasonTooLarge is a gate's reason for rejecting a run that its target can never hold.
const reasonTooLarge = "too large"

// noteWhenWritten confirms an end that is in the record, unless a write of it is
// pending, which confirms it when it is done.
func (o *Owner) noteWhenWritten(v *gateView, j *liveJob, name job.RunName) {
	for _, e := range j.unwritten {
		if e.name == name {
			return
		}
	}
	for _, e := range j.inWrite {
		if e.name == name {
			return
		}
	}
	v.addVerdict(name, gate.VerdictAcknowledge)
}

func (v *gateView) addVerdict(name job.RunName, kind gate.VerdictKind) {
	v.verdicts = append(v.verdicts, gate.Verdict{Name: name, Kind: kind})
	v.notify()
}

func (v *gateView) addClaim(name job.RunName, t *task) {
	v.verdicts = append(v.verdicts, gate.Verdict{Name: name, Kind: gate.VerdictClaim, Need: t.step.Need, BestEffort: t.job.record.BestEffort})
}

func (v *gateView) stop(name job.RunName) {
	v.stops = append(v.stops, name)
	v.notify()
}

// noteDurable confirms to the gates that ends are durable.
func (o *Owner) noteDurable(ends []endRef) {
	for _, e := range ends {
		if v := o.gates[e.gate]; v != nil {
			v.addVerdict(e.name, gate.VerdictAcknowledge)
		}
	}
}
