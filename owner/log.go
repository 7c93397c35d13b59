package owner

import (
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// gateNames lists the gates of a job's tasks, for a log line.
func (j *liveJob) gateNames() string {
	gates := ""
	for _, t := range j.tasks {
		if t.phase != taskDone && t.gate != "" {
			gates += t.gate + " "
		}
	}
	return gates
}

// logRefused counts and logs a refused job, with the figures behind the decision.
func (o *Owner) logRefused(f *figures, why string) {
	o.stats.Refused++
	now, j := f.now, f.job
	capacity, room := f.plainCapacity()
	weighted, inTime := f.capacity()
	fields := []any{"job", j.record.ID, "queue", j.record.Queue.Name, "why", why, "ageMS", (now - j.arrived).Milliseconds(),
		"capacityCPU", capacity, "weightedCapacityCPU", weighted, "freeCPU", room, "inTimeFreeCPU", inTime, "needCPU", j.need(), "waitingTasks", o.waiting.len(), "slackMS", (j.startBy - now).Milliseconds(),
		"retryAfterMS", o.refusal(f).RetryAfter.Milliseconds()}
	fields = append(fields, f.waitFields()...)
	o.log.Info("Job refused.", append(fields, o.shareFields(now, j)...)...)
}

// logDropped logs that a job was dropped.
func (o *Owner) logDropped(now Time, j *liveJob, why dropReason) {
	if !j.placed {
		return
	}
	o.log.Info("Job given up.", "job", j.record.ID, "queue", j.record.Queue.Name, "why", string(why), "ageMS", (now - j.arrived).Milliseconds(),
		"tasks", len(j.tasks), "left", j.left, "on", j.gateNames(), "callers", len(j.callers), "overdueMS", (now - j.objective).Milliseconds())
}

// logAnswered logs the verdict on an end of a run of a job that has ended.
func (o *Owner) logAnswered(v *gateView, name job.RunName, state job.State, kind gate.VerdictKind) {
	o.log.Info("Answered an end of an ended job.", "job", name.Job, "step", name.Step, "index", name.Index, "run", name.Run, "gate", v.name,
		"state", state, "acknowledged", kind == gate.VerdictAcknowledge)
}

// Limits on logging slow jobs.
const (
	// slowAfter is the age from which a best-effort job counts as slow: more than most
	// jobs take, and less than the 1.3 s after which callers without an answer submit it
	// again.
	slowAfter = time.Second
	// maxSlowLines is the number of slow jobs that one call of logSlow logs at most.
	maxSlowLines = 20
)

// logSlow logs slow best-effort jobs, once each, with the owner and the gates of their
// tasks. That helps to trace a job that its caller submits again elsewhere.
func (o *Owner) logSlow(now Time) {
	logged := 0
	for _, j := range o.jobs {
		if j.slowLogged || !j.record.BestEffort || now-j.arrived < slowAfter {
			continue
		}
		if logged++; logged > maxSlowLines {
			return
		}
		j.slowLogged = true
		o.log.Info("Job is slow.", "job", j.record.ID, "owner", o.options.Incarnation, "queue", j.record.Queue.Name,
			"ageMS", (now - j.arrived).Milliseconds(), "tasks", len(j.tasks), "left", j.left, "on", j.gateNames())
	}
}

// logEnd logs that a job has failed or ended after its objective.
func (o *Owner) logEnd(now Time, j *liveJob) {
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
	if o.options.OnJobEnd != nil {
		o.options.OnJobEnd(took)
	}
}
