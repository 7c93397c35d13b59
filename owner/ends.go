package owner

import (
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// onState takes in what a gate says of a run.
func (o *Owner) onState(now Time, v *gateView, s gate.RunState) {
	j := o.jobs[s.Name.Job]
	if j == nil {
		o.onForeign(v, s)
		return
	}
	t := j.find(s.Name.TaskName)
	if t == nil {
		v.judge(s.Name, gate.VerdictForeign)
		return
	}
	if j.phase == jobAdopting {
		j.found = append(j.found, foundRun{gate: v.name, state: s})
		return
	}
	if s.Name.Run != t.run || (t.gate != v.name && t.phase != taskWaiting) {
		o.onSuperseded(v, t, s)
		return
	}
	o.onCurrent(now, v, t, s)
}

// onForeign answers for a run of a job that is not live here.
func (o *Owner) onForeign(v *gateView, s gate.RunState) {
	e := o.ended[s.Name.Job]
	given := o.dropped[s.Name.Job]
	dropped := given != nil
	if dropped {
		given.onState(s)
	}
	switch {
	case s.End == gate.EndRejected || s.End == gate.EndLost:
	case dropped && s.End == 0:
		v.stop(s.Name)
	case dropped || (e != nil && e.bestEffort && s.End != 0):
		v.judge(s.Name, gate.VerdictNote)
	case e == nil || e.runs == nil:
		v.judge(s.Name, gate.VerdictForeign)
		if s.End != 0 {
			o.foreign[s.Name.Job] = append(o.foreign[s.Name.Job], endRef{gate: v.name, name: s.Name})
		}
	case s.End != 0 && (e.state != job.StateCompleted || e.runs[s.Name.TaskName] == s.Name.Run):
		v.judge(s.Name, gate.VerdictNote)
	default:
		v.judge(s.Name, gate.VerdictDiscard)
	}
}

// onSuperseded answers for a run that is not the newest of its task.
func (o *Owner) onSuperseded(v *gateView, t *task, s gate.RunState) {
	switch {
	case s.End == gate.EndRejected || s.End == gate.EndLost:
	case t.job.record.BestEffort && s.End != 0:
		v.judge(s.Name, gate.VerdictNote)
	case s.End == gate.EndFailed && t.mayCount(s.Name.Run):
		o.countFailure(v, t, s.Name)
	default:
		o.stats.Discarded++
		o.log.Info("Discarded a run.", "job", s.Name.Job, "task", t.index, "run", s.Name.Run, "newest", t.run, "gate", v.name, "end", s.End)
		v.judge(s.Name, gate.VerdictDiscard)
	}
}

// mayCount says whether the failure of a run that was replaced can count: not if
// the newest run would then have started after the last attempt.
func (t *task) mayCount(run int) bool {
	earlier := 1
	for _, failed := range t.job.record.Failed[t.index] {
		if failed != t.run && failed != run {
			earlier++
		}
	}
	return earlier < t.job.record.Queue.Attempts
}

// countFailure counts the failure of a run that was replaced already: it has
// used up an attempt all the same.
func (o *Owner) countFailure(v *gateView, t *task, name job.RunName) {
	t.job.record.AddFailure(t.index, name.Run)
	o.keepEnd(v, t.job, name)
	o.touch(o.options.Now(), t.job)
}

// onCurrent takes in the state of the newest run of a task.
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
	}
	if t.phase == taskWaiting {
		o.waiting.remove(t)
	}
	if s.End != gate.EndRejected {
		j.tried = true
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
		o.onBrokenOff(now, v, t, s)
	}
}

// onAlive takes in that the newest run of a task is queued or runs.
func (o *Owner) onAlive(now Time, v *gateView, t *task, s gate.RunState) {
	if t.phase == taskWaiting {
		// It was held to be over and has not been replaced.
		o.waiting.remove(t)
		t.gate = v.name
		t.since = now
	}
	t.phase = taskPlaced
	if s.Running {
		t.phase = taskRunning
		t.job.begun = true
	}
	v.claim(s.Name, t)
	if t.job.final != "" {
		v.stop(s.Name)
	}
	if s.Reason == gate.ReasonBehind {
		o.moveOn(v, t, s.Name)
	}
}

func (o *Owner) onDone(now Time, v *gateView, t *task, s gate.RunState) {
	j := t.job
	t.phase = taskDone
	t.gate = v.name
	j.begun = true
	j.left--
	j.record.SetDone(t.index, s.Name.Run)
	o.keepEnd(v, j, s.Name)
	if j.left == 0 {
		o.finish(now, j, job.StateCompleted)
		return
	}
	o.makeReady(now, j)
	o.touch(now, j)
}

// keepEnd has an end noted once the job's record with it is written. The gate
// has noted the end of a job that is not kept by itself: the word that it has
// arrived goes with the next frame.
func (o *Owner) keepEnd(v *gateView, j *liveJob, name job.RunName) {
	if j.record.BestEffort {
		v.verdicts = append(v.verdicts, gate.Verdict{Name: name, Kind: gate.VerdictNote})
		return
	}
	j.unwritten = append(j.unwritten, endRef{gate: v.name, name: name})
}

func (o *Owner) onFailed(now Time, v *gateView, t *task, s gate.RunState) {
	j := t.job
	o.stats.EndedFailed++
	j.begun = true
	j.record.AddFailure(t.index, s.Name.Run)
	o.keepEnd(v, j, s.Name)
	t.avoidGate(v.name)
	if len(j.record.Failed[t.index]) >= j.record.Queue.Attempts {
		t.phase = taskBlocked
		o.finish(now, j, job.StateFailed)
		return
	}
	o.touch(now, j)
	o.enqueue(now, t)
}

// onBrokenOff takes in a run that is over without a result.
func (o *Owner) onBrokenOff(now Time, v *gateView, t *task, s gate.RunState) {
	switch s.End {
	case gate.EndRejected:
		o.stats.Rejected++
		t.avoidRejected(now, v, s)
		o.takeBack(t)
	case gate.EndLost:
		o.stats.Lost++
	default:
		v.judge(s.Name, gate.VerdictNote)
	}
	o.enqueue(now, t)
}

// takeBack takes in that a run has not started: its job counts as not begun again
// if that was all that was sent of it.
func (o *Owner) takeBack(t *task) {
	j := t.job
	t.phase = taskBlocked
	if j.tried || len(j.openRuns()) > 0 {
		return
	}
	o.reorder(j, func() { j.placed = false })
}

// replace makes a task wait again whose run is over or never was.
func (o *Owner) replace(now Time, t *task) {
	t.job.tried = true
	o.enqueue(now, t)
}

func (t *task) avoidGate(name string) {
	if t.avoid == nil {
		t.avoid = map[string]bool{}
	}
	t.avoid[name] = true
}

// avoidRejected keeps a task from a gate whose target turned it away, or from full queues
// after one has given it back.
func (t *task) avoidRejected(now Time, v *gateView, s gate.RunState) {
	switch s.Reason {
	case reasonTooLarge:
		t.avoidGate(v.name)
	case gate.ReasonFull:
		t.fullPause = min(max(2*t.fullPause, leastFullPause), mostFullPause)
		t.fullUntil = now + t.fullPause
	}
}

// leastFullPause and mostFullPause bound how long a task that a full gate has given back goes to
// no full gate; it doubles each time. Sent there again with each frame, a waiting task had 1471
// runs, all given back.
const (
	leastFullPause = 4 * time.Millisecond
	mostFullPause  = 64 * time.Millisecond
)

// reasonTooLarge is a gate's reason for a run that its executor can never hold.
const reasonTooLarge = "too large"

// noteWhenWritten gives the verdict on an end that is in the record, at once
// if the record is written.
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
	v.judge(name, gate.VerdictNote)
}

func (v *gateView) judge(name job.RunName, kind gate.VerdictKind) {
	v.verdicts = append(v.verdicts, gate.Verdict{Name: name, Kind: kind})
	v.poke()
}

func (v *gateView) claim(name job.RunName, t *task) {
	v.verdicts = append(v.verdicts, gate.Verdict{Name: name, Kind: gate.VerdictClaim, Need: t.step.Need, BestEffort: t.job.record.BestEffort})
}

func (v *gateView) stop(name job.RunName) {
	v.stops = append(v.stops, name)
	v.poke()
}

// note tells gates that ends are durable.
func (o *Owner) note(ends []endRef) {
	for _, e := range ends {
		if v := o.gates[e.gate]; v != nil {
			v.judge(e.name, gate.VerdictNote)
		}
	}
}
