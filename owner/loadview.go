package owner

import (
	"time"

	"rackspur/loadview"
)

// The shared view of the waiting work: each frame to a gate carries this owner's part of the
// waiting work there (waitingFor), each frame of a gate what its other owners have reported
// (loadView). Admission control adds the others' work to its own to estimate how long a job
// waits (estimateWait). See docs/design/load-view.md.

// waitingMaxAge is how long the sums over the waiting tasks are used: a tick. Frames go out
// to many gates at the same moment, and summing up for each would cost too much.
const waitingMaxAge = 10 * time.Millisecond

// ownWaiting is the owner's waiting work as it is reported to gates.
type ownWaiting struct {
	// at is when the sums were computed; known is set once they were.
	at    Time
	known bool
	// total is the sum over all services, in core-milliseconds.
	total int
	// fields has, for each service, OwnerFrame.Waiting of a frame to one of its gates.
	fields map[string][]int
}

// waitingFor returns OwnerFrame.Waiting for the next frame to a gate. It is never empty in the
// first frame of a link, which tells the gate that the owner takes part.
func (o *Owner) waitingFor(v *gateView) []int {
	if !o.options.Decisions.SharedLoad {
		return nil
	}
	field := o.ownWork(o.options.Now()).fields[v.report.Service]
	if len(field) == 0 && v.sequence == 1 {
		return loadview.Announcement()
	}
	return field
}

// ownWork returns the sums over the waiting tasks, at most waitingMaxAge old.
func (o *Owner) ownWork(now Time) *ownWaiting {
	w := &o.ownWaiting
	if o.waiting.len() == 0 {
		*w = ownWaiting{}
		return w
	}
	if w.known && now-w.at < waitingMaxAge {
		return w
	}
	*w = ownWaiting{at: now, known: true, fields: map[string][]int{}}
	backlogs := map[string]*loadview.Backlog{}
	for _, t := range o.waiting.items {
		if t.job.late {
			continue
		}
		service := t.job.record.Queue.Service
		b := backlogs[service]
		if b == nil {
			b = &loadview.Backlog{}
			backlogs[service] = b
		}
		b.Add(t.job.loadBucket(now), t.step.Need.CPU, t.step.EstimateMS)
	}
	for service, b := range backlogs {
		w.fields[service] = b.PerGate(o.linkedGates(service)).Encode()
		w.total += b.PerGate(1).Total()
	}
	return w
}

// linkedGates returns the number of linked gates of a service.
func (o *Owner) linkedGates(service string) int {
	n := 0
	for _, v := range o.activeGates {
		if v.linked && v.report.Service == service {
			n++
		}
	}
	return n
}

// loadBucket returns the bucket that a job's waiting tasks are reported in. It follows the
// order of before: jobs that have tasks placed come first, late ones last.
func (j *liveJob) loadBucket(now Time) int {
	switch {
	case j.late:
		return loadview.Buckets - 1
	case j.placed:
		return 0
	}
	return loadview.BucketOf(j.urgency - now)
}

// loadView returns what the linked gates of a service have reported of other owners.
func (o *Owner) loadView(now Time, service string) *loadview.View {
	view := &loadview.View{}
	for _, v := range o.activeGates {
		if v.linked && v.report.Service == service {
			view.Add(loadview.Gate{TakesPart: v.sharesLoad, Age: now - v.heard, Capacity: v.report.Capacity.CPU, Others: v.report.OthersWaiting})
		}
	}
	return view
}

// waitEstimate is how long a job is expected to wait.
type waitEstimate struct {
	wait time.Duration
	// ahead is the work ahead of the job at this owner, in core-milliseconds.
	ahead float64
	// own is the estimate by this owner's work alone, as without the shared view.
	own time.Duration
	// shared says that the shared view was used, and oldest is the age of its oldest report.
	shared bool
	oldest time.Duration
}

// estimateWait estimates how long a job waits for the queued work ahead of it, of this owner
// and the others. The capacity, in thousandths of a core and not 0, is shared with them. While
// the shared view isn't usable, each of the others is assumed to have as much work as this one.
func (o *Owner) estimateWait(now Time, j *liveJob, capacity int) waitEstimate {
	ahead := o.workAhead(j)
	wait := func(work float64) time.Duration {
		return time.Duration(work / float64(capacity) * float64(time.Second))
	}
	e := waitEstimate{ahead: ahead, own: wait(ahead * o.ownersPerGate())}
	e.wait = e.own
	if !o.options.Decisions.SharedLoad {
		return e
	}
	if view := o.loadView(now, j.record.Queue.Service); view.Usable() {
		e.shared = true
		e.oldest = view.Oldest()
		e.wait = wait(view.Ahead(ahead, j.loadBucket(now)))
	}
	return e
}

// startsBy reports whether a job is expected to start by a time, and counts the decision if
// the shared view has changed it.
func (o *Owner) startsBy(now Time, e waitEstimate, latest Time) bool {
	in, ownIn := now+e.wait <= latest, now+e.own <= latest
	switch {
	case in && !ownIn:
		o.stats.AdmittedByView++
	case !in && ownIn:
		o.stats.RefusedByView++
	}
	return in
}

// LoadStats is the waiting work of an owner and, as far as it is known, that of the others at
// its gates, in core-milliseconds.
type LoadStats struct{ Own, Others int64 }

// LoadStats returns the waiting work; zero without the shared view.
func (o *Owner) LoadStats() (s LoadStats) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.options.Decisions.SharedLoad {
		return s
	}
	now := o.options.Now()
	s.Own = int64(o.ownWork(now).total)
	services := map[string]bool{}
	for _, v := range o.activeGates {
		if service := v.report.Service; v.linked && !services[service] {
			services[service] = true
			s.Others += int64(o.loadView(now, service).OthersTotal())
		}
	}
	return s
}

// waitFields returns the fields of a log line about the job's expected wait; -1 means that it
// is unknown.
func (f *figures) waitFields() []any {
	if capacity, _ := f.capacity(); capacity == 0 {
		return []any{"expectedWaitMS", int64(-1), "loadView", loadViewOwn, "viewAgeMS", int64(-1)}
	}
	e := f.wait()
	if !e.shared {
		return []any{"expectedWaitMS", e.wait.Milliseconds(), "loadView", loadViewOwn, "viewAgeMS", int64(-1)}
	}
	return []any{"expectedWaitMS", e.wait.Milliseconds(), "loadView", loadViewShared, "viewAgeMS", e.oldest.Milliseconds()}
}

// Values of the log key loadView: whose waiting work the expected wait includes.
const (
	loadViewOwn    = "own"
	loadViewShared = "shared"
)
