package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// stopFault is what an executor does with stops that it does not answer.
type stopFault struct {
	on bool
	// after is how much later they are carried out; 0 is never. PROTOCOL.md: an
	// unanswered call may be done seconds later, after newer calls.
	after time.Duration
}

// virtualTarget is an executor with a slow clock and faults, which may start again.
type virtualTarget struct {
	mu sync.Mutex
	// lives are its lives, the newest last.
	lives []*standin.Executor
	// dark: while it is down, calls get no answer; else connections are refused.
	dark  bool
	stops stopFault
	// startsLate is how much later starts are carried out, which are not answered then; 0
	// for none.
	startsLate time.Duration
	// tries are the runs whose first try was kept; nil keeps none.
	tries map[job.RunName]lateStart
}

// lateStart is a start that was neither carried out nor answered.
type lateStart struct {
	life gate.Life
	call gate.StartCall
}

func newVirtualTarget(name string, maxHold time.Duration) *virtualTarget {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return taskTime, gate.EndDone }
	e := standin.NewExecutor("life-of-"+name, job.Resources{CPU: 16000, Memory: 32768}, work)
	// The lease is counted on the slow clock.
	e.MaxHold = maxHold * 100 / targetClock
	return &virtualTarget{lives: []*standin.Executor{e}}
}

// newest returns the newest life.
func (x *virtualTarget) newest() *standin.Executor {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lives[len(x.lives)-1]
}

// all returns all lives.
func (x *virtualTarget) all() []*standin.Executor {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.lives)
}

// begin makes another life the newest; the one before must have crashed.
func (x *virtualTarget) begin(e *standin.Executor) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lives = append(x.lives, e)
}

// crash ends the newest life. Until the next begins, calls are refused, or get no answer.
func (x *virtualTarget) crash(dark bool) {
	x.newest().Crash()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dark = dark
}

// Journal returns the runs of all lives.
func (x *virtualTarget) Journal() (all []standin.Span) {
	for _, e := range x.all() {
		all = append(all, e.Journal()...)
	}
	return all
}

// down answers a call while the newest life is down; it returns nil if it is up.
func (x *virtualTarget) down(ctx context.Context) error {
	if !x.newest().Down() {
		return nil
	}
	x.mu.Lock()
	dark := x.dark
	x.mu.Unlock()
	if !dark {
		return gate.ErrUnreached
	}
	<-ctx.Done()
	return gate.ErrUnanswered
}

// life is the life of the executor.
func (x *virtualTarget) life() gate.Life {
	e := x.newest()
	return gate.Life{ID: e.Life, Born: e.Born}
}

// setStops sets what becomes of stops from now on.
func (x *virtualTarget) setStops(f stopFault) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stops = f
}

func (x *virtualTarget) stopsNow() stopFault {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.stops
}

func (x *virtualTarget) startsLateNow() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.startsLate
}

// setStartsLate has starts carried out so much later, without an answer.
func (x *virtualTarget) setStartsLate(late time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.startsLate = late
}

// keepFirstTries keeps the first try of each start from now on, unanswered.
func (x *virtualTarget) keepFirstTries() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tries = map[job.RunName]lateStart{}
}

// keepTry says whether a start is kept.
func (x *virtualTarget) keepTry(life gate.Life, c gate.StartCall) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.tries == nil {
		return false
	}
	if _, again := x.tries[c.Name]; again {
		return false
	}
	x.tries[c.Name] = lateStart{life: life, call: c}
	return true
}

// keptTries returns the starts that were kept.
func (x *virtualTarget) keptTries() []lateStart {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Collect(maps.Values(x.tries))
}

// told is a time of the executor as its own clock shows it, meant the reverse.
func told(clockMS int64) int64  { return clockMS * targetClock / 100 }
func meant(clockMS int64) int64 { return clockMS * 100 / targetClock }

// Start implements gate.Executor.Start.
func (x *virtualTarget) Start(ctx context.Context, life gate.Life, c gate.StartCall) (gate.Answer, error) {
	if err := x.down(ctx); err != nil {
		return gate.Answer{}, err
	}
	c.UntilMS = meant(c.UntilMS)
	if x.keepTry(life, c) {
		<-ctx.Done()
		return gate.Answer{}, gate.ErrUnanswered
	}
	if late := x.startsLateNow(); late > 0 {
		// The life of then carries it out.
		time.AfterFunc(late, func() { _, _ = x.newest().Start(context.Background(), life, c) })
		<-ctx.Done()
		return gate.Answer{}, gate.ErrUnanswered
	}
	a, err := x.newest().Start(ctx, life, c)
	a.ClockMS = told(a.ClockMS)
	return a, err
}

// Stop implements gate.Executor.Stop.
func (x *virtualTarget) Stop(ctx context.Context, life gate.Life, c gate.StopCall) (gate.Answer, error) {
	if err := x.down(ctx); err != nil {
		return gate.Answer{}, err
	}
	fault := x.stopsNow()
	if !fault.on {
		a, err := x.newest().Stop(ctx, life, c)
		a.ClockMS = told(a.ClockMS)
		return a, err
	}
	if fault.after > 0 {
		time.AfterFunc(fault.after, func() { _, _ = x.newest().Stop(context.Background(), life, c) })
	}
	<-ctx.Done()
	return gate.Answer{}, gate.ErrUnanswered
}

// Hold implements gate.Executor.Hold.
func (x *virtualTarget) Hold(ctx context.Context, life gate.Life, c gate.HoldCall) (gate.Answer, gate.HoldAnswer, error) {
	if err := x.down(ctx); err != nil {
		return gate.Answer{}, gate.HoldAnswer{}, err
	}
	c.UntilMS = meant(c.UntilMS)
	a, lists, err := x.newest().Hold(ctx, life, c)
	a.ClockMS = told(a.ClockMS)
	return a, lists, err
}
