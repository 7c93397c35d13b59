package bound

import (
	"container/heap"
	"slices"
	"time"
)

// Order says which of two waiting jobs comes first.
type Order string

// The orders.
const (
	// OrderSlack: jobs that can be in time, of these the begun ones, then the one
	// that must start first.
	OrderSlack Order = "slack"
	// OrderWorth: jobs that can be in time, of these the ones that earn most for
	// each core-second.
	OrderWorth Order = "worth"
)

// Outcome is what became of a played load.
type Outcome struct {
	Jobs, InTime, Late, Dropped int
	// Worth is what all jobs could earn, Earned what they did.
	Worth, Earned float64
}

// Add adds another outcome.
func (o *Outcome) Add(other Outcome) {
	o.Jobs += other.Jobs
	o.InTime += other.InTime
	o.Late += other.Late
	o.Dropped += other.Dropped
	o.Worth += other.Worth
	o.Earned += other.Earned
}

// Play plays a load with its rates multiplied by a factor and returns what became
// of the jobs by the name of their kind. Dead is how long each task holds its room
// beyond its run.
func (s *Scenario) Play(factor float64, seed uint64, order Order, dead time.Duration) map[string]Outcome {
	p := &play{order: order, dead: float64(dead.Microseconds()) / 1000}
	for _, t := range s.Targets {
		for range t.Count {
			p.targets = append(p.targets, &target{Targets: t, free: t.CPU})
		}
	}
	jobs := s.arrivals(factor, seed)
	for _, j := range jobs {
		heap.Push(&p.events, event{at: j.arrived, job: j})
	}
	for len(p.events) > 0 {
		p.take(heap.Pop(&p.events).(event))
	}
	outcomes := map[string]Outcome{}
	for _, j := range jobs {
		o := outcomes[j.kind.Name]
		o.Add(j.outcome())
		outcomes[j.kind.Name] = o
	}
	return outcomes
}

func (j *job) outcome() Outcome {
	o := Outcome{Jobs: 1, Worth: j.worth}
	switch {
	case j.ended == 0 || j.ended > j.worthless:
		o.Dropped = 1
	case j.ended > j.objective:
		o.Late = 1
		o.Earned = lateShare * j.worth
	default:
		o.InTime = 1
		o.Earned = j.worth
	}
	return o
}

// target is a target while a load is played.
type target struct {
	Targets
	free int
}

// event is the arrival of a job, or with a target the end of one of its tasks.
type event struct {
	at     float64
	job    *job
	target *target
}

// play is a load being played.
type play struct {
	order   Order
	dead    float64
	targets []*target
	events  eventHeap
	waiting []*job
}

func (p *play) take(e event) {
	if e.target == nil {
		p.waiting = append(p.waiting, e.job)
	} else {
		e.target.free += e.job.cpu
		e.job.left--
		if e.job.left == 0 {
			e.job.ended = e.at
		}
	}
	p.dispatch(e.at)
}

// dispatch starts what fits. A job of which nothing has started is dropped once
// it can't be in time, any other once it earns nothing.
func (p *play) dispatch(now float64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(j *job) bool {
		begun := j.waiting < len(j.tasks)
		return j.waiting == 0 || now > j.worthless || (!begun && now > j.startBy)
	})
	slices.SortStableFunc(p.waiting, func(a, b *job) int {
		if p.before(now, a, b) {
			return -1
		}
		if p.before(now, b, a) {
			return 1
		}
		return 0
	})
	for _, j := range p.waiting {
		for j.waiting > 0 && p.start(now, j) {
			j.waiting--
		}
	}
}

func (p *play) before(now float64, a, b *job) bool {
	aLate, bLate := now > a.startBy, now > b.startBy
	if aLate != bLate {
		return !aLate
	}
	if p.order == OrderWorth {
		return a.density() > b.density()
	}
	aBegun, bBegun := a.waiting < len(a.tasks), b.waiting < len(b.tasks)
	if aBegun != bBegun {
		return aBegun
	}
	return a.startBy < b.startBy
}

// density is what the job's kind earns for each core-second.
func (j *job) density() float64 {
	return j.kind.Worth / (j.kind.WorkMS * j.kind.Width * j.kind.CPU)
}

// start starts the job's next task where the largest part of the room is free.
func (p *play) start(now float64, j *job) bool {
	var best *target
	for _, t := range p.targets {
		if t.free >= j.cpu && (best == nil || t.free*best.CPU > best.free*t.CPU) {
			best = t
		}
	}
	if best == nil {
		return false
	}
	best.free -= j.cpu
	run := j.tasks[len(j.tasks)-j.waiting] / best.Speed
	heap.Push(&p.events, event{at: now + run + p.dead, job: j, target: best})
	return true
}

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []event

// Len implements sort.Interface.Len.
func (h eventHeap) Len() int { return len(h) }

// Less implements sort.Interface.Less.
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements sort.Interface.Swap.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.Push.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.Pop.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
