package owner

import (
	"rackspur/job"
)

// admits says whether there is hope for a new job: with no gate to run it, or a
// backlog that it can't get through in time, it is refused at once.
func (o *Owner) admits(_ Time, _ *job.Submission) bool {
	return true
}

// setUrgency sets the time by which a job's tasks are ordered: its objective.
func (j *liveJob) setUrgency() {
	j.urgency = j.objective
}
