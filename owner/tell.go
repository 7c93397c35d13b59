package owner

import (
	"time"

	"rackspur/job"
)

// gates returns the gates that have tasks of the job, for a log line.
func (j *liveJob) gates() string {
	gates := ""
	for _, t := range j.tasks {
		if t.phase != taskDone && t.gate != "" {
			gates += t.gate + " "
		}
	}
	return gates
}

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
	o.log.Info("Job given up.", "job", j.record.ID, "queue", j.record.Queue.Name, "ageMS", (now - j.arrived).Milliseconds(),
		"tasks", len(j.tasks), "left", j.left, "on", j.gates(), "callers", len(j.callers), "overdueMS", (now - j.objective).Milliseconds())
}

// Bounds of the lines about jobs that take long.
const (
	// longAfter is the age from which a job that is not kept is told of: most take less
	// than a second, and callers that have lost their answer come back after 1.3 s.
	longAfter = time.Second
	// mostLong is how many such lines are written at one look, which comes once a second.
	mostLong = 20
)

// tellLong writes a line for each job that is not kept and takes long, once. It tells
// which owner answers for the job and where its tasks are, should it be taken in again.
func (o *Owner) tellLong(now Time) {
	told := 0
	for _, j := range o.jobs {
		if j.longTold || !j.record.BestEffort || now-j.arrived < longAfter {
			continue
		}
		if told++; told > mostLong {
			return
		}
		j.longTold = true
		o.log.Info("Job takes long.", "job", j.record.ID, "owner", o.options.Incarnation, "queue", j.record.Queue.Name,
			"ageMS", (now - j.arrived).Milliseconds(), "tasks", len(j.tasks), "left", j.left, "on", j.gates())
	}
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
