package owner

import (
	"time"

	"rackspur/job"
)

// announceAfter is the age from which a best-effort job is announced to the other owners. Most
// jobs end sooner, and callers without an answer come back after 0.9 s or more.
const announceAfter = 400 * time.Millisecond

// AnnouncedJob is a best-effort job that this owner has had for some time.
type AnnouncedJob struct {
	ID job.ID
	// Left is for how long the owner may still have runs of the job.
	Left time.Duration
	// Live is set unless the owner has dropped the job and only its runs may be active.
	Live bool
}

// JobsToAnnounce returns the best-effort jobs that other owners should know of: a caller whose
// connection has broken without this owner's knowledge may submit its job to one of them.
func (o *Owner) JobsToAnnounce() []AnnouncedJob {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	var jobs []AnnouncedJob
	for id, j := range o.jobs {
		if j.record.BestEffort && now-j.arrived >= announceAfter {
			jobs = append(jobs, AnnouncedJob{ID: id, Left: max(0, j.deadline-now) + o.overAfter(), Live: true})
		}
	}
	for id, d := range o.dropped {
		if d.hasOpenRuns() {
			jobs = append(jobs, AnnouncedJob{ID: id, Left: o.overAfter()})
		}
	}
	return jobs
}

// KnowsBestEffort reports whether this owner runs a job or remembers its end.
func (o *Owner) KnowsBestEffort(id job.ID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended[id] != nil || o.jobs[id] != nil
}

// ResumeBestEffort is RunBestEffort for a job that was submitted to another owner. known is false,
// and result is not called, if this owner neither has the job nor may have runs of it.
func (o *Owner) ResumeBestEffort(s job.Submission, patience time.Duration, result func(BestEffortResult)) (ticket uint64, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended[s.ID] == nil && o.jobs[s.ID] == nil && !o.dropped[s.ID].hasOpenRuns() {
		return 0, false
	}
	return o.runBestEffort(s, patience, result), true
}
