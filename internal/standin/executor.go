package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Executor is an in-memory executor with the behaviour that the users' platform specifies:
// runs are leased, only calls with the highest fencing token are accepted, and ends are
// listed until they are acknowledged. It keeps a journal of starts and ends for checks.
type Executor struct {
	// Life is the executor's id. A restarted executor may have the same one.
	Life string
	// Born is the start time in milliseconds of Unix time; it distinguishes incarnations
	// with the same id.
	Born int64
	// Capacity is what the runs together may use.
	Capacity job.Resources
	// MaxHold is the longest lease.
	MaxHold time.Duration
	// Work returns a run's duration and how it ends.
	Work func(job.RunName) (time.Duration, gate.EndKind)
	// StopTime is how long a run goes on after a stop.
	StopTime time.Duration
	// StartClockMS is the executor's clock at its start, in milliseconds.
	StartClockMS int64
	// OnRun and OnOrder, if set, are called with each run that starts or changes and with each
	// order, before the call that causes it is answered. They must not call the executor.
	OnRun   func(Span)
	OnOrder func(Order)
	// ClockDrift is the fraction of time that the executor's clock loses, from 0 to MaxClockDrift.
	ClockDrift float64

	mu      sync.Mutex
	started time.Time
	// speed is how much faster than Work says runs proceed.
	speed float64
	// heartbeats counts the heartbeats made; draining is the state they report, endsMS the
	// clock at which the process ends, or 0 if it isn't announced.
	heartbeats   int64
	draining     bool
	endsMS       int64
	fence        uint64
	leaseUntilMS int64
	acked        int64
	ends         []gate.Ended
	running      map[job.RunName]*executorRun
	highestRun   map[job.TaskName]int
	changed      chan struct{}
	journal      []Span
	orders       []Order
	down         bool
	// lastLapse is the last time at which the lease was found expired.
	lastLapse time.Time
}

// Span is the executor's record of a run; End is zero while it runs.
type Span struct {
	Name job.RunName
	// Life and Born identify the executor.
	Life    string
	Born    int64
	Started time.Time
	Ended   time.Time
	End     gate.EndKind
	// Number is the number of the end; Noted reports that the end was acknowledged and
	// the lease had not expired in between.
	Number int64
	Noted  bool
}

// MaxClockDrift is the largest clock drift that the users' platform allows.
const MaxClockDrift = 0.02

// NewExecutor returns an executor without runs.
func NewExecutor(life string, capacity job.Resources, work func(job.RunName) (time.Duration, gate.EndKind)) *Executor {
	started := time.Now()
	return &Executor{
		Life: life, Born: started.UnixMilli(), Capacity: capacity, MaxHold: time.Second, Work: work, StartClockMS: defaultFirstClock, started: started, speed: 1,
		running: map[job.RunName]*executorRun{}, highestRun: map[job.TaskName]int{}, changed: make(chan struct{}),
	}
}

// SetDown sets whether the executor is down, so that calls get no answer.
func (e *Executor) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

// Down reports whether the executor is down.
func (e *Executor) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Restarted returns the executor's next incarnation under the same id. It has no runs and no
// fencing token, and its clock and counters start over.
func (e *Executor) Restarted() *Executor {
	next := NewExecutor(e.Life, e.Capacity, e.Work)
	next.MaxHold = e.MaxHold
	next.ClockDrift = e.ClockDrift
	next.StopTime = e.StopTime
	next.speed = e.Speed()
	// Incarnations must differ even if they start within the same millisecond.
	next.Born = max(next.Born, e.Born+1)
	return next
}

// Incarnation returns the executor's id and start time.
func (e *Executor) Incarnation() gate.Incarnation {
	return gate.Incarnation{ID: e.Life, Born: e.Born}
}

// Speed returns how much faster than Work says runs proceed.
func (e *Executor) Speed() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.speed
}

// SetSpeed sets the speed of all runs, also of those in progress, which keep what they have done.
// A run takes the time returned by Work divided by the speed.
func (e *Executor) SetSpeed(speed float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advance(now)
	e.speed = speed
	for _, r := range e.running {
		r.done, r.since, r.speed = r.doneAt(now), now, speed
	}
	// Wakes the holds that wait for the next end, which comes at another time now.
	e.notifyChange()
}

// Clock returns the executor's clock in milliseconds.
func (e *Executor) Clock() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock(time.Now())
}

// Crash ends all runs and takes the executor down.
func (e *Executor) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advance(now)
	for _, r := range e.running {
		e.finish(now, r, gate.EndLost)
	}
	e.down = true
}

// Journal returns the records of all runs.
func (e *Executor) Journal() []Span {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Now())
	return append([]Span(nil), e.journal...)
}

// defaultFirstClock is the default of Executor.StartClockMS, in milliseconds.
const defaultFirstClock = 1000

func (e *Executor) clock(now time.Time) int64 {
	return e.StartClockMS + time.Duration(float64(now.Sub(e.started))*(1-e.ClockDrift)).Milliseconds()
}

// advance ends the runs that were due by now, by their duration or the end of the lease,
// and records the time at which each was due.
func (e *Executor) advance(now time.Time) {
	lapse := e.leaseEnd()
	if now.After(lapse) {
		e.lastLapse = now
	}
	due := make([]*executorRun, 0, len(e.running))
	for _, r := range e.running {
		if r.endTime(lapse).Before(now) {
			due = append(due, r)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].endTime(lapse).Before(due[j].endTime(lapse)) })
	for _, r := range due {
		kind := r.end
		if r.due().After(lapse) {
			kind = gate.EndLapsed
		}
		e.finish(r.endTime(lapse), r, kind)
	}
}

// leaseEnd returns the time at which the lease expires.
func (e *Executor) leaseEnd() time.Time {
	return e.timeAtClock(e.leaseUntilMS)
}

// timeAtClock returns the time at which the executor's clock shows clockMS.
func (e *Executor) timeAtClock(clockMS int64) time.Time {
	onClock := time.Duration(clockMS-e.StartClockMS) * time.Millisecond
	return e.started.Add(time.Duration(float64(onClock) / (1 - e.ClockDrift)))
}

// notifyChange wakes the holds that wait for an end. The lock must be held.
func (e *Executor) notifyChange() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// checkCall checks a call's id and fencing token and stores the token. The lock must be held.
func (e *Executor) checkCall(id string, fence uint64) error {
	if e.down {
		return gate.ErrUnanswered
	}
	if id != "" && id != e.Life {
		return gate.ErrOtherIncarnation
	}
	if fence < e.fence {
		return gate.ErrFenced
	}
	e.fence = fence
	return nil
}

func (e *Executor) extendLease(now time.Time, until int64) {
	e.leaseUntilMS = max(e.leaseUntilMS, min(until, e.clock(now)+e.MaxHold.Milliseconds()))
}

// Start implements gate.Executor.Start.
func (e *Executor) Start(_ context.Context, life gate.Incarnation, c gate.StartCall) (a gate.Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advance(now)
	defer func() { e.record(now, Order{Kind: OrderStart, Name: c.Name, Err: err}, c.UntilMS) }()
	a = gate.Answer{ClockMS: e.clock(now), Incarnation: gate.Incarnation{ID: e.Life}}
	if err := e.checkCall(life.ID, c.Fence); err != nil {
		return a, err
	}
	e.extendLease(now, c.UntilMS)
	switch {
	case e.clock(now) > c.UntilMS:
		return a, gate.ErrLate
	case e.running[c.Name] != nil:
		return a, nil
	case c.Name.Run <= e.highestRun[c.Name.TaskName]:
		return a, gate.ErrOldRun
	case !e.free().Fits(c.Need):
		return a, gate.ErrNoRoom
	}
	work, end := e.Work(c.Name)
	e.journal = append(e.journal, Span{Name: c.Name, Life: e.Life, Born: e.Born, Started: now})
	e.running[c.Name] = &executorRun{name: c.Name, need: c.Need, work: work, since: now, speed: e.speed, end: end, journalIndex: len(e.journal) - 1}
	e.reportRun(len(e.journal) - 1)
	return a, nil
}

func (e *Executor) free() job.Resources {
	free := e.Capacity
	for _, r := range e.running {
		free = free.Minus(r.need)
	}
	return free
}

// Stop implements gate.Executor.Stop.
func (e *Executor) Stop(_ context.Context, life gate.Incarnation, c gate.StopCall) (a gate.Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advance(now)
	defer func() { e.record(now, Order{Kind: OrderStop, Name: c.Name, Err: err}, 0) }()
	a = gate.Answer{ClockMS: e.clock(now), Incarnation: gate.Incarnation{ID: e.Life}}
	if err := e.checkCall(life.ID, c.Fence); err != nil {
		return a, err
	}
	e.highestRun[c.Name.TaskName] = max(e.highestRun[c.Name.TaskName], c.Name.Run)
	for _, r := range e.running {
		if r.name.TaskName == c.Name.TaskName && r.name.Run <= c.Name.Run {
			e.stop(now, r)
		}
	}
	return a, nil
}

// Hold implements gate.Executor.Hold.
func (e *Executor) Hold(ctx context.Context, life gate.Incarnation, c gate.HoldCall) (gate.Answer, gate.HoldAnswer, error) {
	e.mu.Lock()
	now := time.Now()
	e.advance(now)
	issued := e.newestEnd()
	err := e.checkCall(life.ID, c.Fence)
	if err == nil {
		e.extendLease(now, c.UntilMS)
		e.acknowledge(c.Seen)
	}
	e.record(now, Order{Kind: OrderHold, Seen: c.Seen, Issued: issued, Err: err}, c.UntilMS)
	a := gate.Answer{ClockMS: e.clock(now), Incarnation: gate.Incarnation{ID: e.Life}}
	e.mu.Unlock()
	if err != nil {
		return a, gate.HoldAnswer{}, err
	}
	e.awaitEnd(ctx, time.Duration(c.WaitMS)*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return gate.Answer{}, gate.HoldAnswer{}, gate.ErrUnanswered
	}
	return gate.Answer{ClockMS: e.clock(time.Now()), Incarnation: gate.Incarnation{ID: e.Life, Born: e.Born}}, e.lists(), nil
}

// newestEnd returns the number of the newest end; 0 if there is none.
func (e *Executor) newestEnd() int64 { return e.acked + int64(len(e.ends)) }

// acknowledge drops the ends with numbers up to upTo.
func (e *Executor) acknowledge(upTo int64) {
	for len(e.ends) > 0 && e.ends[0].Number <= upTo {
		e.markNoted(e.ends[0].Number)
		e.ends = e.ends[1:]
		e.acked++
	}
}

func (e *Executor) markNoted(number int64) {
	for i := range e.journal {
		s := &e.journal[i]
		if s.Number == number && s.End != 0 && !s.Ended.Before(e.lastLapse) {
			s.Noted = true
			e.reportRun(i)
		}
	}
}

func (e *Executor) lists() gate.HoldAnswer {
	var a gate.HoldAnswer
	for _, r := range e.running {
		a.Running = append(a.Running, gate.Running{Name: r.name, Percent: r.percent(time.Now())})
	}
	a.Finished = append(a.Finished, e.ends...)
	return a
}

// awaitEnd waits until an end is listed, at most for d.
func (e *Executor) awaitEnd(ctx context.Context, d time.Duration) {
	deadline := time.Now().Add(d)
	for {
		e.mu.Lock()
		e.advance(time.Now())
		left := time.Until(deadline)
		wait := min(left, e.nextEnd())
		listed := len(e.ends) > 0
		changed := e.changed
		e.mu.Unlock()
		if listed || left <= 0 {
			return
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// nextEnd returns the time until the next run ends, at most a second.
func (e *Executor) nextEnd() time.Duration {
	next := time.Second
	for _, r := range e.running {
		next = min(next, max(time.Millisecond, time.Until(r.due())))
	}
	return next
}
