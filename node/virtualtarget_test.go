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

// stopFault makes a target leave stops unanswered.
type stopFault struct {
	on bool
	// after is the delay before a stop is carried out; 0 for never. PROTOCOL.md allows
	// unanswered calls to be carried out seconds later, after newer ones.
	after time.Duration
}

// virtualTarget is a target with a slow clock and faults. It can crash and restart.
type virtualTarget struct {
	mu sync.Mutex
	// incarnations are its incarnations, the newest last.
	incarnations []*standin.Executor
	// dark says that calls get no answer while it is down; otherwise they are refused.
	dark  bool
	stops stopFault
	// startsLate is the delay of starts, which get no answer then; 0 for no delay.
	startsLate time.Duration
	// tries has the withheld first tries; nil to withhold none.
	tries map[job.RunName]lateStart
}

// lateStart is a withheld start: it was neither carried out nor answered.
type lateStart struct {
	life gate.Incarnation
	call gate.StartCall
}

func newVirtualTarget(name string, maxHold time.Duration) *virtualTarget {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return taskTime, gate.EndDone }
	e := standin.NewExecutor("life-of-"+name, job.Resources{CPU: 16000, Memory: 32768}, work)
	// The target measures leases with its slow clock.
	e.MaxHold = maxHold * 100 / targetClock
	return &virtualTarget{incarnations: []*standin.Executor{e}}
}

// newest returns the newest incarnation.
func (x *virtualTarget) newest() *standin.Executor {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.incarnations[len(x.incarnations)-1]
}

// all returns all incarnations.
func (x *virtualTarget) all() []*standin.Executor {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.incarnations)
}

// begin starts a new incarnation; the one before must have crashed.
func (x *virtualTarget) begin(e *standin.Executor) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.incarnations = append(x.incarnations, e)
}

// crash crashes the target. Until the next incarnation begins, calls get no answer if dark
// is set, and are refused otherwise.
func (x *virtualTarget) crash(dark bool) {
	x.newest().Crash()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dark = dark
}

// Journal returns the runs of all incarnations.
func (x *virtualTarget) Journal() (all []standin.Span) {
	for _, e := range x.all() {
		all = append(all, e.Journal()...)
	}
	return all
}

// down returns the error of a call while the target is down, or nil if it is up.
func (x *virtualTarget) down(ctx context.Context) error {
	if !x.newest().Down() {
		return nil
	}
	x.mu.Lock()
	dark := x.dark
	x.mu.Unlock()
	if !dark {
		return gate.ErrUnreachable
	}
	<-ctx.Done()
	return gate.ErrUnanswered
}

// life identifies the newest incarnation.
func (x *virtualTarget) life() gate.Incarnation {
	e := x.newest()
	return gate.Incarnation{ID: e.Life, Born: e.Born}
}

// setStops sets the fault that applies to stops.
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

// setStartsLate delays starts, which get no answer then; 0 ends the fault.
func (x *virtualTarget) setStartsLate(late time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.startsLate = late
}

// withholdFirstTries withholds the first try of each start from now on.
func (x *virtualTarget) withholdFirstTries() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tries = map[job.RunName]lateStart{}
}

// withholdTry withholds a start if it is a first try, and reports whether it did.
func (x *virtualTarget) withholdTry(life gate.Incarnation, c gate.StartCall) bool {
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

// withheldTries returns the starts that were withheld.
func (x *virtualTarget) withheldTries() []lateStart {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Collect(maps.Values(x.tries))
}

// toTargetClock converts a time to the target's slow clock; fromTargetClock is the reverse.
func toTargetClock(clockMS int64) int64   { return clockMS * targetClock / 100 }
func fromTargetClock(clockMS int64) int64 { return clockMS * 100 / targetClock }

// Start implements gate.Executor.Start.
func (x *virtualTarget) Start(ctx context.Context, life gate.Incarnation, c gate.StartCall) (gate.Answer, error) {
	if err := x.down(ctx); err != nil {
		return gate.Answer{}, err
	}
	c.UntilMS = fromTargetClock(c.UntilMS)
	if x.withholdTry(life, c) {
		<-ctx.Done()
		return gate.Answer{}, gate.ErrUnanswered
	}
	if late := x.startsLateNow(); late > 0 {
		// The incarnation that is the newest at that time carries it out.
		time.AfterFunc(late, func() { _, _ = x.newest().Start(context.Background(), life, c) })
		<-ctx.Done()
		return gate.Answer{}, gate.ErrUnanswered
	}
	a, err := x.newest().Start(ctx, life, c)
	a.ClockMS = toTargetClock(a.ClockMS)
	return a, err
}

// Stop implements gate.Executor.Stop.
func (x *virtualTarget) Stop(ctx context.Context, life gate.Incarnation, c gate.StopCall) (gate.Answer, error) {
	if err := x.down(ctx); err != nil {
		return gate.Answer{}, err
	}
	fault := x.stopsNow()
	if !fault.on {
		a, err := x.newest().Stop(ctx, life, c)
		a.ClockMS = toTargetClock(a.ClockMS)
		return a, err
	}
	if fault.after > 0 {
		time.AfterFunc(fault.after, func() { _, _ = x.newest().Stop(context.Background(), life, c) })
	}
	<-ctx.Done()
	return gate.Answer{}, gate.ErrUnanswered
}

// Hold implements gate.Executor.Hold.
func (x *virtualTarget) Hold(ctx context.Context, life gate.Incarnation, c gate.HoldCall) (gate.Answer, gate.HoldAnswer, error) {
	if err := x.down(ctx); err != nil {
		return gate.Answer{}, gate.HoldAnswer{}, err
	}
	c.UntilMS = fromTargetClock(c.UntilMS)
	a, lists, err := x.newest().Hold(ctx, life, c)
	a.ClockMS = toTargetClock(a.ClockMS)
	return a, lists, err
}
