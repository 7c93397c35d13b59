package owner

import (
	"time"

	"rackspur/job"
	"rackspur/speed"
)

// Parameters of admission.
const (
	// unplacedShare is the share of its objective that a best-effort job may wait with
	// no task placed. It is then refused, while its caller can still submit it
	// elsewhere. Shares from 0.16 to 0.24 gave the same results; from 0.36 on they were
	// worse in overload.
	unplacedShare = 0.2
	// nearlyDoneShare is the largest share of a late job's tasks that may be left for
	// the job to keep its place in the queue: most of the work done would be lost
	// otherwise.
	nearlyDoneShare = 0.25
	// admitSlack is added to the slack of a new job when its expected wait is checked.
	admitSlack = 20 * time.Millisecond
	// linkGrace is how long jobs are admitted while no gate is open.
	linkGrace = time.Second
	// priorityStep is how much later a job counts as due for each step down in
	// priority: about the slack of a short job. 200 ms gave no better results.
	priorityStep = 100 * time.Millisecond
)

// admits reports whether a new job can start in time, or what the policy decides.
func (o *Owner) admits(f *figures) bool {
	now, j := f.now, f.job
	capacity, room := f.capacity()
	if capacity == 0 && o.allEvacuated(j.record.Queue.Service) {
		// An evacuation lasts until an operator ends it, so waiting would not help.
		return false
	}
	if capacity == 0 {
		// Gates link again shortly after this process or theirs has restarted.
		return now-o.lastOpen < linkGrace
	}
	o.lastOpen = now
	if o.options.Policy != nil {
		return o.admitsByPolicy(f)
	}
	if room >= j.need() {
		return true
	}
	return o.startsBy(now, f.wait(), min(j.startBy, j.refuseAt())+admitSlack)
}

// figures are the figures that the admission or the refusal of a job at one moment is based
// on. Each is computed when it is first needed and kept, because a refusal needs it several
// times: for the decision, the delay that the caller is told and the log line.
type figures struct {
	owner  *Owner
	now    Time
	job    *liveJob
	usable []*gateView

	capacityKnown, waitKnown bool
	total, room              int
	estimate                 waitEstimate
}

func (o *Owner) figuresOf(now Time, j *liveJob) *figures {
	return &figures{owner: o, now: now, job: j}
}

// capacity returns the total and the free CPU of the gates that the job may use, in
// thousandths of a core. If tasks are placed by speed and speeds differ, the capacity is
// weighted by speed, and only room where the job is expected to end in time counts.
func (f *figures) capacity() (total, room int) {
	if !f.capacityKnown {
		f.capacityKnown = true
		f.usable = f.owner.usableGates()
		f.total, f.room = roomAt(f.now, f.usable, f.owner.compareSpeeds(f.usable, f.job.record.Queue.Service), f.job)
	}
	return f.total, f.room
}

// plainCapacity returns the same without regard to speed.
func (f *figures) plainCapacity() (total, room int) {
	f.capacity()
	return roomAt(f.now, f.usable, nil, f.job)
}

// wait returns how long the job is expected to wait. The capacity must not be 0.
func (f *figures) wait() waitEstimate {
	if !f.waitKnown {
		f.waitKnown = true
		capacity, _ := f.capacity()
		f.estimate = f.owner.estimateWait(f.now, f.job, capacity)
	}
	return f.estimate
}

// roomAt returns the total and the free CPU of the gates that a job may use, weighted by a
// comparison of their speeds unless that is nil.
func roomAt(now Time, usable []*gateView, s *speeds, j *liveJob) (capacity, room int) {
	var longest speed.Task
	if s != nil {
		longest = j.longestTask(now)
	}
	for _, v := range usable {
		if v.report.Service != j.record.Queue.Service {
			continue
		}
		capacity += s.capacity(v)
		room += s.room(v, longest)
	}
	return capacity, room
}

// need returns the CPU that all tasks of the job need together, in thousandths of a
// core.
func (j *liveJob) need() int {
	total := 0
	for i := range j.record.Steps {
		total += j.record.Steps[i].Count * j.record.Steps[i].Need.CPU
	}
	return total
}

// workAhead returns the work of the waiting tasks that come before a job's, in
// thousandths of core-seconds.
func (o *Owner) workAhead(j *liveJob) float64 {
	ahead := 0.0
	for _, t := range o.waiting.items {
		if !j.before(t.job) {
			ahead += float64(t.step.Need.CPU) * float64(t.step.EstimateMS) / 1000
		}
	}
	return ahead
}

// before reports whether a job's tasks start before another's: those that are not late
// come first, among them those that have tasks placed, so that work done is not lost,
// and among these the more urgent.
func (j *liveJob) before(other *liveJob) bool {
	if j.late != other.late {
		return !j.late
	}
	if j.placed != other.placed {
		return j.placed
	}
	return j.urgency < other.urgency
}

// setUrgency computes the times by which a job's tasks are ordered.
func (j *liveJob) setUrgency() {
	j.startBy = j.objective - j.criticalPath()
	j.urgency = j.startBy + time.Duration(j.record.Queue.Priority)*priorityStep - j.share.step
}

// SetOwners sets the number of owners that share the targets.
func (o *Owner) SetOwners(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owners = max(1, n)
}

// admitsSubmission reports whether a durable job is admitted.
func (o *Owner) admitsSubmission(now Time, s *job.Submission) bool {
	j := newLiveJob(job.Record{Submission: *s}, now)
	o.setShare(now, j)
	j.setUrgency()
	admitted := o.admits(o.figuresOf(now, j))
	if !admitted {
		o.countShareRefused(now, j)
	}
	return admitted
}
