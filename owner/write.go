package owner

import (
	"maps"
	"slices"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/rowstore"
)

// markDirty marks a record as changed; it is written after progressDelay.
func (o *Owner) markDirty(now Time, j *liveJob) {
	if !j.dirty && !j.record.BestEffort {
		j.dirty = true
		j.dirtySince = now
	}
}

// writeProgress writes the records that changed at least progressDelay ago.
func (o *Owner) writeProgress(now Time) {
	for _, j := range o.jobs {
		if j.dirty && !j.writing && j.phase == jobLive && now-j.dirtySince >= progressDelay {
			o.writeRecord(j)
		}
	}
}

func (o *Owner) writeRecord(j *liveJob) {
	j.writing = true
	j.dirty = false
	j.inWrite = j.unwritten
	j.unwritten = nil
	j.givenUpInWrite = maps.Clone(j.record.GivenUp)
	j.record.Sequence++
	key := o.key(TableJobs, j.record.ID)
	o.writer.Add(o.part(j.record.ID), &rowstore.Write{
		Transaction: rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: key, Version: j.version}},
			Puts:       []rowstore.Put{{Key: key, Value: j.record.Encode()}},
		},
		Done: func(out rowstore.Outcome, err error) { o.wroteRecord(j, out, err) },
	})
}

func (o *Owner) wroteRecord(j *liveJob, out rowstore.Outcome, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j.writing = false
	if err != nil {
		o.lostJob(j, err)
		return
	}
	j.version = out.Version
	o.noteDurable(j.inWrite)
	j.inWrite = nil
	j.givenUpWritten = j.givenUpInWrite
	if j.phase == jobEnding {
		o.writeFinal(j)
		return
	}
	if len(j.givenUpWritten) > 0 {
		o.place(o.options.Now())
	}
}

// lostJob removes a job whose row another incarnation has changed.
func (o *Owner) lostJob(j *liveJob, err error) {
	o.log.Info("Lost a job to another owner.", "job", j.record.ID, "error", err.Error())
	o.withdrawShare(o.options.Now(), j)
	o.removeJob(j)
	for _, t := range j.tasks {
		o.waiting.remove(t)
	}
	j.notifyWaiters()
}

// finish ends a job in the given state. No more tasks of it start, and the end takes
// effect once it is durable.
func (o *Owner) finish(now Time, j *liveJob, state job.State) {
	if j.final != "" {
		return
	}
	o.endShare(now, j, state)
	j.final = state
	j.phase = jobEnding
	for _, t := range j.tasks {
		o.waiting.remove(t)
	}
	switch {
	case j.record.BestEffort:
		o.conclude(now, j)
	case !j.writing:
		o.writeFinal(j)
	}
}

func (o *Owner) writeFinal(j *liveJob) {
	j.writing = true
	j.inWrite = append(j.inWrite, j.unwritten...)
	j.unwritten = nil
	id := j.record.ID
	live, finished := o.key(TableJobs, id), o.key(TableFinished, id)
	final := o.finalRecord(j)
	o.writer.Add(o.part(id), &rowstore.Write{
		Transaction: rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: live, Version: j.version}, {Key: finished}},
			Puts:       []rowstore.Put{{Key: finished, Value: final.Encode()}},
			Deletes:    []rowstore.Key{live},
		},
		Done: func(_ rowstore.Outcome, err error) { o.wroteFinal(j, err) },
	})
}

// finalRecord returns what is kept of a job that ends.
func (o *Owner) finalRecord(j *liveJob) *job.Final {
	return &job.Final{
		Queue: j.record.Queue.Name, State: j.final, EndedMS: o.options.WallClock().UnixMilli(),
		Ends:  j.record.Ends,
		Steps: j.stepCounts(),
		Owner: o.options.Incarnation, Sequence: j.record.Sequence + 1,
	}
}

func (o *Owner) wroteFinal(j *liveJob, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	j.writing = false
	if err != nil {
		o.lostJob(j, err)
		return
	}
	o.conclude(now, j)
}

// conclude completes a job whose end is durable, or a best-effort job.
func (o *Owner) conclude(now Time, j *liveJob) {
	o.countEnd(now, j)
	o.ended[j.record.ID] = &endedJob{state: j.final, queue: j.record.Queue.Name, at: now, bestEffort: j.record.BestEffort, final: o.finalRecord(j)}
	o.removeJob(j)
	o.noteDurable(j.inWrite)
	o.noteDurable(j.unwritten)
	o.stopAll(j)
	for _, f := range j.reported {
		o.onForeign(o.gates[f.gate], f.state)
	}
	j.notifyWaiters()
	j.answerCallers(BestEffortResult{State: j.final})
}

// stopAll stops the runs of all tasks of a job.
func (o *Owner) stopAll(j *liveJob) {
	for _, t := range j.tasks {
		o.stopRun(t)
	}
}

// stopRun stops the run of a task whose job has ended. A start that was not handed to
// the link is withdrawn instead: a gate processes the stops of a frame before its
// starts, so the run would go on.
func (o *Owner) stopRun(t *task) {
	v := o.gates[t.gate]
	if v == nil || (t.phase != taskPlaced && t.phase != taskRunning) {
		return
	}
	if v.withdraw(t.runName()) {
		t.phase = taskBlocked
		return
	}
	v.stop(t.runName())
}

// withdraw removes a start that was not handed to the link and reports whether it did.
func (v *gateView) withdraw(name job.RunName) bool {
	if !v.holdsStart(name) {
		return false
	}
	v.starts = slices.DeleteFunc(v.starts, func(s gate.Order) bool { return s.Name == name })
	return true
}

func (o *Owner) countEnd(now Time, j *liveJob) {
	o.logEnd(now, j)
	o.observeEnd(now - j.arrived)
	switch j.final {
	case job.StateCompleted:
		o.stats.Completed++
	case job.StateFailed:
		o.stats.Failed++
	case job.StateCancelled:
		o.stats.Cancelled++
	}
	switch {
	case now > j.veryLateAt:
		o.stats.VeryLate++
	case now > j.objective:
		o.stats.Late++
	}
}
