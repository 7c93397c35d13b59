package owner

import (
	"time"

	"rackspur/job"
)

// tellRefused writes the line of a job that is refused, with what decided it.
func (o *Owner) tellRefused(now Time, j *liveJob, why string) {
	o.stats.Refused++
	capacity, room := o.roomFor(j)
	o.log.Info("Job refused.", "job", j.record.ID, "queue", j.record.Queue.Name, "why", why, "ageMS", (now - j.arrived).Milliseconds(),
		"capacityCPU", capacity, "freeCPU", room, "needCPU", j.need(), "waitingTasks", o.waiting.len(), "slackMS", (j.startBy - now).Milliseconds())
}

// tellDropped writes the line of a job that is given up.
func (o *Owner) tellDropped(now Time, j *liveJob) {
	if !j.placed {
		return
	}
	gates := ""
	for _, t := range j.tasks {
		if t.phase != taskDone && t.gate != "" {
			gates += t.gate + " "
		}
	}
	o.log.Info("Job given up.", "job", j.record.ID, "queue", j.record.Queue.Name, "ageMS", (now - j.arrived).Milliseconds(),
		"tasks", len(j.tasks), "left", j.left, "on", gates, "callers", len(j.callers), "overdueMS", (now - j.objective).Milliseconds())
}

// tellEnd writes the line of a job that failed, or ended after its objective.
func (o *Owner) tellEnd(now Time, j *liveJob) {
	switch {
	case j.final == job.StateFailed:
		o.log.Info("Job failed.", "job", j.record.ID, "queue", j.record.Queue.Name, "ageMS", (now - j.arrived).Milliseconds(),
			"failedRuns", j.record.Failed, "attempts", j.record.Queue.Attempts)
	case now > j.objective:
		o.log.V(1).Info("Job late.", "job", j.record.ID, "queue", j.record.Queue.Name, "ageMS", (now - j.arrived).Milliseconds(),
			"objectiveMS", (j.objective - j.arrived).Milliseconds())
	}
}

func (o *Owner) observeEnd(took time.Duration) {
	if o.options.Ended != nil {
		o.options.Ended(took)
	}
}
