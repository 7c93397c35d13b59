package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Executor is an executor in memory that works as the users' platform says: it
// leases what runs, obeys the highest fencing token only, and lists ends until
// they are noted. It keeps a journal of starts and ends for checkers.
type Executor struct {
	// Life is the executor's id. It may be started again under the same one.
	Life string
	// Born is when it was started, in milliseconds of Unix time; it tells the lives under
	// one id apart.
	Born int64
	// Capacity is its room.
	Capacity job.Resources
	// MaxHold is the longest lease.
	MaxHold time.Duration
	// Work returns how long a run takes and how it ends.
	Work func(job.RunName) (time.Duration, gate.EndKind)
	// FirstClock is the time on its clock at its start, in milliseconds.
	FirstClock int64
	// Slow is the part of a time that the executor's clock loses: 0 means a right
	// clock, MostSlow the slowest that the users' platform allows.
	Slow float64

	mu      sync.Mutex
	started time.Time
	// beats is how many heartbeats were made; draining is what they say.
	beats    int64
	draining bool
	fence    uint64
	until    int64
	seen     int64
	ends     []gate.Ended
	running  map[job.RunName]*executorRun
	highest  map[job.TaskName]int
	changed  chan struct{}
	journal  []Span
	orders   []Order
	down     bool
	// lapsed is when the lease was last seen to be over.
	lapsed time.Time
}

type executorRun struct {
	name    job.RunName
	need    job.Resources
	started time.Time
	lasts   time.Duration
	end     gate.EndKind
	span    int
}

// Span is a run as the executor saw it; End is zero while it runs.
type Span struct {
	Name job.RunName
	// Life and Born are those of the executor.
	Life    string
	Born    int64
	Started time.Time
	Ended   time.Time
	End     gate.EndKind
	// Number is the end's; Noted says that it was taken note of while the lease
	// had held since the end.
	Number int64
	Noted  bool
}

// MostSlow is the most that an executor's clock may lose (the users' platform: 2%).
const MostSlow = 0.02

// NewExecutor returns an executor that runs nothing.
func NewExecutor(life string, capacity job.Resources, work func(job.RunName) (time.Duration, gate.EndKind)) *Executor {
	started := time.Now()
	return &Executor{
		Life: life, Born: started.UnixMilli(), Capacity: capacity, MaxHold: time.Second, Work: work, FirstClock: firstClock, started: started,
		running: map[job.RunName]*executorRun{}, highest: map[job.TaskName]int{}, changed: make(chan struct{}),
	}
}

// SetDown makes the executor answer nothing, or answer again.
func (e *Executor) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

// Down says whether the executor answers nothing.
func (e *Executor) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Again returns the executor's next life under the same id. It runs nothing and has
// seen no fencing token, and its clock and its counts begin anew.
func (e *Executor) Again() *Executor {
	next := NewExecutor(e.Life, e.Capacity, e.Work)
	next.MaxHold = e.MaxHold
	next.Slow = e.Slow
	// A life that begins within the same millisecond is still another one.
	next.Born = max(next.Born, e.Born+1)
	return next
}

// Clock returns the executor's own time in milliseconds.
func (e *Executor) Clock() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock(time.Now())
}

// Crash ends all that runs; the executor answers nothing any more.
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

// Journal returns all runs so far.
func (e *Executor) Journal() []Span {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Now())
	return append([]Span(nil), e.journal...)
}

// firstClock is the usual time on an executor's clock at its start, in milliseconds.
const firstClock = 1000

func (e *Executor) clock(now time.Time) int64 {
	return e.FirstClock + time.Duration(float64(now.Sub(e.started))*(1-e.Slow)).Milliseconds()
}

// advance ends what has run long enough, or everything once the lease is over,
// at the moment when that came about: nobody may have called for some time.
func (e *Executor) advance(now time.Time) {
	lapse := e.leaseEnd()
	if now.After(lapse) {
		e.lapsed = now
	}
	due := make([]*executorRun, 0, len(e.running))
	for _, r := range e.running {
		if r.endsBy(lapse).Before(now) {
			due = append(due, r)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].endsBy(lapse).Before(due[j].endsBy(lapse)) })
	for _, r := range due {
		how := r.end
		if r.started.Add(r.lasts).After(lapse) {
			how = gate.EndLapsed
		}
		e.finish(r.endsBy(lapse), r, how)
	}
}

// leaseEnd returns when the lease is over.
func (e *Executor) leaseEnd() time.Time {
	return e.at(e.until)
}

// at returns when the executor's clock shows a time.
func (e *Executor) at(clockMS int64) time.Time {
	onClock := time.Duration(clockMS-e.FirstClock) * time.Millisecond
	return e.started.Add(time.Duration(float64(onClock) / (1 - e.Slow)))
}

// endsBy returns when a run ends if the lease is over at a time.
func (r *executorRun) endsBy(lapse time.Time) time.Time {
	if end := r.started.Add(r.lasts); end.Before(lapse) {
		return end
	}
	return lapse
}

func (e *Executor) finish(now time.Time, r *executorRun, how gate.EndKind) {
	delete(e.running, r.name)
	e.highest[r.name.TaskName] = max(e.highest[r.name.TaskName], r.name.Run)
	number := e.seen + int64(len(e.ends)) + 1
	e.ends = append(e.ends, gate.Ended{Number: number, Name: r.name, Kind: how})
	e.journal[r.span].End = how
	e.journal[r.span].Ended = now
	e.journal[r.span].Number = number
	close(e.changed)
	e.changed = make(chan struct{})
}

// check takes in the fencing token; the lock is held.
func (e *Executor) check(id string, fence uint64) error {
	if e.down {
		return gate.ErrUnanswered
	}
	if id != "" && id != e.Life {
		return gate.ErrOtherLife
	}
	if fence < e.fence {
		return gate.ErrFenced
	}
	e.fence = fence
	return nil
}

func (e *Executor) extend(now time.Time, until int64) {
	e.until = max(e.until, min(until, e.clock(now)+e.MaxHold.Milliseconds()))
}

// Start implements gate.Executor.Start.
func (e *Executor) Start(_ context.Context, life gate.Life, c gate.StartCall) (a gate.Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advance(now)
	defer func() { e.record(now, Order{Kind: OrderStart, Name: c.Name, Err: err}, c.UntilMS) }()
	a = gate.Answer{ClockMS: e.clock(now), Life: gate.Life{ID: e.Life}}
	if err := e.check(life.ID, c.Fence); err != nil {
		return a, err
	}
	e.extend(now, c.UntilMS)
	switch {
	case e.clock(now) > c.UntilMS:
		return a, gate.ErrLate
	case e.running[c.Name] != nil:
		return a, nil
	case c.Name.Run <= e.highest[c.Name.TaskName]:
		return a, gate.ErrOldRun
	case !e.free().Fits(c.Need):
		return a, gate.ErrNoRoom
	}
	lasts, how := e.Work(c.Name)
	e.journal = append(e.journal, Span{Name: c.Name, Life: e.Life, Born: e.Born, Started: now})
	e.running[c.Name] = &executorRun{name: c.Name, need: c.Need, started: now, lasts: lasts, end: how, span: len(e.journal) - 1}
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
func (e *Executor) Stop(_ context.Context, life gate.Life, c gate.StopCall) (a gate.Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.advance(now)
	defer func() { e.record(now, Order{Kind: OrderStop, Name: c.Name, Err: err}, 0) }()
	a = gate.Answer{ClockMS: e.clock(now), Life: gate.Life{ID: e.Life}}
	if err := e.check(life.ID, c.Fence); err != nil {
		return a, err
	}
	e.highest[c.Name.TaskName] = max(e.highest[c.Name.TaskName], c.Name.Run)
	for _, r := range e.running {
		if r.name.TaskName == c.Name.TaskName && r.name.Run <= c.Name.Run {
			e.finish(now, r, gate.EndStopped)
		}
	}
	return a, nil
}

// Hold implements gate.Executor.Hold.
func (e *Executor) Hold(ctx context.Context, life gate.Life, c gate.HoldCall) (gate.Answer, gate.HoldAnswer, error) {
	e.mu.Lock()
	now := time.Now()
	e.advance(now)
	err := e.check(life.ID, c.Fence)
	if err == nil {
		e.extend(now, c.UntilMS)
		e.forget(c.Seen)
	}
	e.record(now, Order{Kind: OrderHold, Seen: c.Seen, Err: err}, c.UntilMS)
	a := gate.Answer{ClockMS: e.clock(now), Life: gate.Life{ID: e.Life}}
	e.mu.Unlock()
	if err != nil {
		return a, gate.HoldAnswer{}, err
	}
	e.await(ctx, time.Duration(c.WaitMS)*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return gate.Answer{}, gate.HoldAnswer{}, gate.ErrUnanswered
	}
	return gate.Answer{ClockMS: e.clock(time.Now()), Life: gate.Life{ID: e.Life, Born: e.Born}}, e.lists(), nil
}

// forget drops the ends that are noted.
func (e *Executor) forget(seen int64) {
	for len(e.ends) > 0 && e.ends[0].Number <= seen {
		e.note(e.ends[0].Number)
		e.ends = e.ends[1:]
		e.seen++
	}
}

func (e *Executor) note(number int64) {
	for i := range e.journal {
		s := &e.journal[i]
		if s.Number == number && s.End != 0 && !s.Ended.Before(e.lapsed) {
			s.Noted = true
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

// percent is the part of its work that a run has done.
func (r *executorRun) percent(now time.Time) int {
	return min(99, int(100*now.Sub(r.started)/max(r.lasts, 1)))
}

// await waits until an end is listed.
func (e *Executor) await(ctx context.Context, d time.Duration) {
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

// nextEnd returns the time until the next run ends.
func (e *Executor) nextEnd() time.Duration {
	next := time.Second
	for _, r := range e.running {
		next = min(next, max(time.Millisecond, r.lasts-time.Since(r.started)))
	}
	return next
}
