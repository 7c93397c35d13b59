package owner

import "time"

// checkWaiting updates which jobs with waiting tasks are late; late jobs are moved
// behind the others. A best-effort job of which no task was placed in time is refused.
func (o *Owner) checkWaiting(now Time) {
	var changed, refused []*liveJob
	seen := map[*liveJob]bool{}
	for _, t := range o.waiting.items {
		j := t.job
		if seen[j] {
			continue
		}
		seen[j] = true
		switch {
		case j.record.BestEffort && !j.placed && now > j.refuseAt():
			refused = append(refused, j)
		case j.late != j.isLate(now):
			changed = append(changed, j)
		}
	}
	for _, j := range refused {
		o.loseShare(now, j)
		o.logRefused(o.figuresOf(now, j), string(dropNotPlaced))
		o.drop(j, dropNotPlaced)
	}
	for _, j := range changed {
		o.reorder(j, func() { j.late = j.isLate(now) })
	}
}

// isLate reports whether a job can't be in time any more and has so many tasks left
// that others go first.
func (j *liveJob) isLate(now Time) bool {
	return now > j.startBy && float64(j.left) > nearlyDoneShare*float64(len(j.tasks))
}

// refuseAt returns when a best-effort job is refused if none of its tasks was placed.
func (j *liveJob) refuseAt() Time {
	return j.arrived + time.Duration(unplacedShare*float64(j.objective-j.arrived))
}

// reorder applies a change that affects the queue position of a job's waiting tasks.
func (o *Owner) reorder(j *liveJob, change func()) {
	var waiting []*task
	for _, t := range j.tasks {
		if t.position >= 0 {
			waiting = append(waiting, t)
			o.waiting.remove(t)
		}
	}
	change()
	for _, t := range waiting {
		o.waiting.push(t)
	}
}

// dropExpired drops each best-effort job whose deadline has passed, and each very late
// one that still has waiting tasks.
func (o *Owner) dropExpired(now Time) {
	for _, j := range o.jobs {
		if !j.record.BestEffort || j.phase != jobLive {
			continue
		}
		switch {
		case now >= j.deadline:
			o.settleShare(now, j)
			o.drop(j, dropDeadline)
		case now >= j.veryLateAt && j.hasWaiting():
			o.settleShare(now, j)
			o.drop(j, dropVeryLate)
		}
	}
}

// hasWaiting reports whether tasks of the job wait for a gate.
func (j *liveJob) hasWaiting() bool {
	for _, t := range j.tasks {
		if t.position >= 0 {
			return true
		}
	}
	return false
}
