package bound

import (
	"container/heap"
	"slices"
	"time"
)

// Order is the order in which waiting jobs are dispatched.
type Order string

// Both orders put the jobs that can still be in time first.
const (
	// OrderSlack orders jobs by whether they have started, then by the latest start
	// that is in time.
	OrderSlack Order = "slack"
	// OrderWorth orders jobs by their worth per core-second, highest first.
	OrderWorth Order = "worth"
)

// Outcome holds the results of a simulated load.
type Outcome struct {
	Jobs, InTime, Late, Dropped int
	// Worth is the worth of all jobs, Earned the part that they earned.
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

// Simulate simulates the load with its rates multiplied by a factor and returns the
// outcome of each kind by name. Each task occupies its target for deadTime
// after its run.
func (s *Scenario) Simulate(factor float64, seed uint64, order Order, deadTime time.Duration) map[string]Outcome {
	sim := &simulation{order: order, deadTime: float64(deadTime.Microseconds()) / 1000}
	for _, t := range s.Targets {
		for range t.Count {
			sim.targets = append(sim.targets, &target{Targets: t, free: t.CPU})
		}
	}
	jobs := s.arrivals(factor, seed)
	for _, j := range jobs {
		heap.Push(&sim.events, event{at: j.arrived, job: j})
	}
	for len(sim.events) > 0 {
		sim.handle(heap.Pop(&sim.events).(event))
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
	case j.ended == 0 || j.ended > j.worthlessAt:
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

// target is a simulated target.
type target struct {
	Targets
	free int
}

// event is the arrival of a job or, if target is set, the end of one of its tasks.
type event struct {
	at     float64
	job    *job
	target *target
}

// simulation is the state of a simulation.
type simulation struct {
	order    Order
	deadTime float64
	targets  []*target
	events   eventHeap
	waiting  []*job
}

func (s *simulation) handle(e event) {
	if e.target == nil {
		s.waiting = append(s.waiting, e.job)
	} else {
		e.target.free += e.job.cpu
		e.job.unfinished--
		if e.job.unfinished == 0 {
			e.job.ended = e.at
		}
	}
	s.dispatch(e.at)
}

// dispatch starts as many tasks as fit. A job is dropped once it earns nothing or,
// if none of its tasks has started, once it can't be in time.
func (s *simulation) dispatch(now float64) {
	s.waiting = slices.DeleteFunc(s.waiting, func(j *job) bool {
		started := j.unstarted < len(j.tasks)
		return j.unstarted == 0 || now > j.worthlessAt || (!started && now > j.startBy)
	})
	slices.SortStableFunc(s.waiting, func(a, b *job) int {
		if s.before(now, a, b) {
			return -1
		}
		if s.before(now, b, a) {
			return 1
		}
		return 0
	})
	for _, j := range s.waiting {
		for j.unstarted > 0 && s.start(now, j) {
			j.unstarted--
		}
	}
}

func (s *simulation) before(now float64, a, b *job) bool {
	aLate, bLate := now > a.startBy, now > b.startBy
	if aLate != bLate {
		return !aLate
	}
	if s.order == OrderWorth {
		return a.density() > b.density()
	}
	aStarted, bStarted := a.unstarted < len(a.tasks), b.unstarted < len(b.tasks)
	if aStarted != bStarted {
		return aStarted
	}
	return a.startBy < b.startBy
}

// density returns the worth of the job's kind per core-second.
func (j *job) density() float64 {
	return j.kind.Worth / (j.kind.WorkMS * j.kind.Width * j.kind.CPU)
}

// start starts the job's next task on the target with the largest share of free
// capacity. It returns false if none has enough.
func (s *simulation) start(now float64, j *job) bool {
	var best *target
	for _, t := range s.targets {
		if t.free >= j.cpu && (best == nil || t.free*best.CPU > best.free*t.CPU) {
			best = t
		}
	}
	if best == nil {
		return false
	}
	best.free -= j.cpu
	run := j.tasks[len(j.tasks)-j.unstarted] / best.Speed
	heap.Push(&s.events, event{at: now + run + s.deadTime, job: j, target: best})
	return true
}

// eventHeap is a min-heap of events by time.
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
