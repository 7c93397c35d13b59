package node

import (
	"maps"
	"sync"
	"time"

	"rackspur/job"
	"rackspur/owner"
)

// maxJobsElsewhere bounds the known jobs of other owners; jobs beyond it are not recorded.
const maxJobsElsewhere = 20_000

// jobsElsewhere holds the best-effort jobs that other owners have announced.
type jobsElsewhere struct {
	mu   sync.Mutex
	jobs map[job.ID]jobOwner
	// sweepAt is when expired entries are removed next.
	sweepAt time.Time
}

// jobOwner is the owner that has had a job, and until when it may have runs of it.
type jobOwner struct {
	incarnation string
	until       time.Time
	live        bool
}

// sweepInterval is the time between two removals of expired entries.
const sweepInterval = time.Second

// add records announced jobs of an incarnation. One that has dropped a job does not replace one that
// runs it: an owner that was isolated announces its runs after another one has taken the job.
func (e *jobsElsewhere) add(now time.Time, incarnation string, jobs []owner.AnnouncedJob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs == nil {
		e.jobs = map[job.ID]jobOwner{}
	}
	if now.After(e.sweepAt) {
		e.sweepAt = now.Add(sweepInterval)
		maps.DeleteFunc(e.jobs, func(_ job.ID, o jobOwner) bool { return now.After(o.until) })
	}
	for _, j := range jobs {
		known, ok := e.jobs[j.ID]
		if !ok && len(e.jobs) >= maxJobsElsewhere {
			continue
		}
		if known.live && !j.Live && known.incarnation != incarnation && now.Before(known.until) {
			continue
		}
		e.jobs[j.ID] = jobOwner{incarnation: incarnation, until: now.Add(j.Left), live: j.Live}
	}
}

// find returns the incarnation that has announced a job.
func (e *jobsElsewhere) find(now time.Time, id job.ID) (incarnation string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.jobs[id]
	if !ok || now.After(o.until) {
		return "", false
	}
	return o.incarnation, true
}

// forget removes a job that the incarnation no longer has.
func (e *jobsElsewhere) forget(id job.ID, incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[id].incarnation == incarnation {
		delete(e.jobs, id)
	}
}
