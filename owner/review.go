package owner

import "time"

// This file holds what becomes of jobs while their tasks wait.

// reviewWaiting looks at the jobs with waiting tasks: one that can't be in time
// any more goes behind those that can. One that is not kept and of which nothing
// was placed is refused before it has waited long.
func (o *Owner) reviewWaiting(now Time) {
	var changed, refused []*liveJob
	seen := map[*liveJob]bool{}
	for _, t := range o.waiting.items {
		j := t.job
		if seen[j] {
			continue
		}
		seen[j] = true
		switch {
		case j.record.BestEffort && !j.placed && now > j.offerBy():
			refused = append(refused, j)
		case j.late != j.isLate(now):
			changed = append(changed, j)
		}
	}
	for _, j := range refused {
		o.tellRefused(now, j, "waited untried")
		o.drop(j)
	}
	for _, j := range changed {
		o.reorder(j, func() { j.late = j.isLate(now) })
	}
}

// isLate says whether a job can't be in time any more, and has so much left that
// others go first.
func (j *liveJob) isLate(now Time) bool {
	return now > j.startBy && float64(j.left) > finishShare*float64(len(j.tasks))
}

// offerBy is when a job of which nothing was placed is refused.
func (j *liveJob) offerBy() Time {
	return j.arrived + time.Duration(offerShare*float64(j.objective-j.arrived))
}

// reorder changes what the place of a job's waiting tasks in the queue goes by.
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

// giveUpHopeless gives its final answer at once to each job that is not kept
// and can't end before its caller leaves, or has lost its worth while tasks of
// it wait.
func (o *Owner) giveUpHopeless(now Time) {
	for _, j := range o.jobs {
		if !j.record.BestEffort || j.phase != jobLive {
			continue
		}
		if now >= j.deadline || (now >= j.lateBy && j.waits()) {
			o.drop(j)
		}
	}
}

// waits says whether tasks of the job wait for a gate.
func (j *liveJob) waits() bool {
	for _, t := range j.tasks {
		if t.position >= 0 {
			return true
		}
	}
	return false
}
