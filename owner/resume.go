package owner

// A best-effort job may be dropped, because its caller has left, and be submitted again while runs
// of it are being stopped. Starting its tasks elsewhere at once would make two runs of a task
// active at the same time (TestSubmittedAgainWhileRunsStop).

// hasOpenRuns reports whether runs of the job may be active. It may be called on nil.
func (d *droppedJob) hasOpenRuns() bool { return d != nil && len(d.open) > 0 }

// resumeDropped makes a job that was dropped earlier go on from there: a task whose run may be active
// counts as placed until the run is over, and new runs are numbered above the earlier ones.
func (o *Owner) resumeDropped(now Time, j *liveJob, earlier *droppedJob) {
	earlier.answer(BestEffortResult{})
	delete(o.dropped, j.record.ID)
	for _, t := range j.tasks {
		t.run = max(t.run, earlier.newest[t.name])
	}
	for name, at := range earlier.open {
		t := j.find(name.TaskName)
		if t == nil || t.run != name.Run {
			continue
		}
		t.phase = taskPlaced
		t.gate = at
		t.since = now
		j.placed, j.mayHaveRun = true, true
		o.stats.Resumed++
	}
	o.logResumed(now, j, earlier)
}

// logResumed logs that a dropped job was submitted again.
func (o *Owner) logResumed(now Time, j *liveJob, earlier *droppedJob) {
	o.log.Info("Dropped job was submitted again.", "job", j.record.ID, "owner", o.options.Incarnation, "queue", j.record.Queue.Name,
		"droppedMS", (now - earlier.at).Milliseconds(), "runsNotOver", len(earlier.open), "on", j.gateNames())
}
