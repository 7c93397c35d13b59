package owner

import (
	"time"

	"rackspur/job"
)

// Bounds of admission.
const (
	// offerShare is the part of its objective that a job may wait while nothing of
	// it was placed; then it is refused, while its caller can still go elsewhere.
	// 0.16 to 0.24 were measured alike, 0.36 and more as worse in overload.
	offerShare = 0.2
	// finishShare is the part of a job's tasks that may be left for it to go on
	// before others although it is late: most of its work would be lost.
	finishShare = 0.25
	// admitSlack is added to the slack of a new job when the backlog is judged.
	admitSlack = 20 * time.Millisecond
	// linkGrace is how long jobs are let in while no gate is open.
	linkGrace = time.Second
	// priorityStep is by how much later the jobs of a queue count as due than
	// those of the queue with the next higher priority: about the slack of a short
	// job. 200 ms was measured as no better.
	priorityStep = 100 * time.Millisecond
)

// admits says whether a new job can start in time, or what a policy says of it.
func (o *Owner) admits(now Time, j *liveJob) bool {
	capacity, room := o.roomFor(j)
	if capacity == 0 && o.allEvacuated(j.record.Queue.Service) {
		// Waiting would not help: that is the operator's word, not a restart.
		return false
	}
	if capacity == 0 {
		// Gates are back within moments after a restart of this daemon or theirs.
		return now-o.capacityAt < linkGrace
	}
	o.capacityAt = now
	if o.options.Policy != nil {
		return o.admitsByPolicy(now, j, capacity)
	}
	if room >= j.need() {
		return true
	}
	return now+o.expectedWait(j, capacity) <= min(j.startBy, j.offerBy())+admitSlack
}

// expectedWait is how long the work that waits ahead of a job takes on its part
// of the capacity, in thousandths of a core.
func (o *Owner) expectedWait(j *liveJob, capacity int) time.Duration {
	return time.Duration(o.workAhead(j) / float64(capacity) * o.sharers() * float64(time.Second))
}

// roomFor returns the capacity of the gates that a job may use and the room
// that is free on them, in thousandths of a core.
func (o *Owner) roomFor(j *liveJob) (capacity, room int) {
	for _, v := range o.usableGates() {
		if v.report.Service != j.record.Queue.Service {
			continue
		}
		capacity += v.report.Capacity.CPU
		room += max(0, v.free().CPU)
	}
	return capacity, room
}

// need returns what all tasks of the job take together, in thousandths of a core.
func (j *liveJob) need() int {
	total := 0
	for i := range j.record.Steps {
		total += j.record.Steps[i].Count * j.record.Steps[i].Need.CPU
	}
	return total
}

// workAhead returns the work of this owner's waiting tasks that come before a
// job's, in thousandths of core-seconds.
func (o *Owner) workAhead(j *liveJob) float64 {
	ahead := 0.0
	for _, t := range o.waiting.items {
		if !j.before(t.job) {
			ahead += float64(t.step.Need.CPU) * float64(t.step.EstimateMS) / 1000
		}
	}
	return ahead
}

// before says whether a job's tasks are to start before another's: those that
// can still be in time first, of these the ones that have begun, so that what
// was done for them is not lost, then the more urgent.
func (j *liveJob) before(other *liveJob) bool {
	if j.late != other.late {
		return !j.late
	}
	if j.placed != other.placed {
		return j.placed
	}
	return j.urgency < other.urgency
}

// setUrgency sets the times by which a job's tasks are ordered.
func (j *liveJob) setUrgency() {
	j.startBy = j.objective - j.chain()
	j.urgency = j.startBy + time.Duration(j.record.Queue.Priority)*priorityStep
}

// SetEntries takes in how many owners share the executors.
func (o *Owner) SetEntries(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries = max(1, n)
}

// admitsSubmission says whether a job that is kept is let in.
func (o *Owner) admitsSubmission(now Time, s *job.Submission) bool {
	j := newLiveJob(job.Record{Submission: *s}, now)
	j.setUrgency()
	return o.admits(now, j)
}
