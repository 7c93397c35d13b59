package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/internal/wait"
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
	// bound is siteOptions.boundCalls.
	bound bool
	calls callFaults
}

// callFaults are faults of all calls to a target.
type callFaults struct {
	// slowest is how long a call takes at most, before and after it is carried out. It is carried
	// out even if its caller has given up by then.
	slowest time.Duration
	// lost is how many of a hundred calls are carried out without an answer.
	lost int
	// mute says that calls are neither carried out nor answered.
	mute bool
	// holdsLate is the delay of holds, which get no answer then; 0 for no delay.
	holdsLate time.Duration
	random    *rand.Rand
}

// callPlan is what happens to a call.
type callPlan struct {
	before, after time.Duration
	lost          bool
}

// changeCalls changes the faults of all calls.
func (x *virtualTarget) changeCalls(change func(f *callFaults)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change(&x.calls)
}

func (x *virtualTarget) planCall(hold bool) (p callPlan) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f := &x.calls
	if f.slowest > 0 {
		total := time.Duration(f.random.Int64N(int64(f.slowest)))
		p.before = time.Duration(f.random.Int64N(int64(total) + 1))
		p.after = total - p.before
	}
	p.lost = f.lost > 0 && f.random.IntN(100) < f.lost || f.mute
	if hold && f.holdsLate > 0 {
		p.before, p.lost = f.holdsLate, true
	}
	return p
}

func (x *virtualTarget) isMute() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.calls.mute
}

// targetReply is the reply to a call.
type targetReply struct {
	answer gate.Answer
	lists  gate.HoldAnswer
	err    error
}

// carryOut makes a call to the incarnation that receives it, with the faults of all calls. An
// incarnation that crashes takes the calls along that it has received.
func (x *virtualTarget) carryOut(ctx context.Context, life gate.Incarnation, hold bool, call func(e *standin.Executor) targetReply) targetReply {
	unanswered := targetReply{err: gate.ErrUnanswered}
	e := x.newest()
	if x.bound && life.Born != 0 && life.Born != e.Born {
		return targetReply{err: gate.ErrOtherIncarnation}
	}
	p := x.planCall(hold)
	if p == (callPlan{}) {
		return call(e)
	}
	if x.isMute() {
		<-ctx.Done()
		return unanswered
	}
	done := make(chan targetReply, 1)
	go func() {
		wait.For(context.Background(), p.before)
		r := call(e)
		wait.For(context.Background(), p.after)
		if !p.lost {
			done <- r
		}
	}()
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return unanswered
	}
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
		return gate.ErrNotListening
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
		receiver := x.newest()
		time.AfterFunc(late, func() { _, _ = x.carriedOutBy(receiver).Start(context.Background(), life, c) })
		<-ctx.Done()
		return gate.Answer{}, gate.ErrUnanswered
	}
	r := x.carryOut(ctx, life, false, func(e *standin.Executor) targetReply {
		a, err := e.Start(ctx, life, c)
		return targetReply{answer: a, err: err}
	})
	return r.toTargetClock(), r.err
}

// Stop implements gate.Executor.Stop.
func (x *virtualTarget) Stop(ctx context.Context, life gate.Incarnation, c gate.StopCall) (gate.Answer, error) {
	if err := x.down(ctx); err != nil {
		return gate.Answer{}, err
	}
	fault := x.stopsNow()
	if !fault.on {
		r := x.carryOut(ctx, life, false, func(e *standin.Executor) targetReply {
			a, err := e.Stop(ctx, life, c)
			return targetReply{answer: a, err: err}
		})
		return r.toTargetClock(), r.err
	}
	if fault.after > 0 {
		receiver := x.newest()
		time.AfterFunc(fault.after, func() { _, _ = x.carriedOutBy(receiver).Stop(context.Background(), life, c) })
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
	r := x.carryOut(ctx, life, true, func(e *standin.Executor) targetReply {
		a, lists, err := e.Hold(ctx, life, c)
		return targetReply{answer: a, lists: lists, err: err}
	})
	if e := x.newest(); x.bound && r.err == gate.ErrOtherIncarnation && life.Born != 0 && life.Born != e.Born {
		// The first answer on a new connection is that of the newer incarnation.
		return gate.Answer{ClockMS: toTargetClock(e.Clock()), Incarnation: e.Incarnation()}, gate.HoldAnswer{}, nil
	}
	return r.toTargetClock(), r.lists, r.err
}

// carriedOutBy returns the incarnation that carries out a late order: the receiver if calls are
// bound, else the newest one.
func (x *virtualTarget) carriedOutBy(receiver *standin.Executor) *standin.Executor {
	if x.bound {
		return receiver
	}
	return x.newest()
}

// toTargetClock returns the answer with the time of the target's slow clock.
func (r targetReply) toTargetClock() gate.Answer {
	r.answer.ClockMS = toTargetClock(r.answer.ClockMS)
	return r.answer
}
