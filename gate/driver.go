package gate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rackspur/evacuation"
)

// tickPause is the time between two looks at the gate's times. What ends or starts is
// looked at with each answer of the target; the rest are silences of 0.3 s and more.
const tickPause = 100 * time.Millisecond

// Driver carries out what a Gate decides.
type Driver struct {
	executor Executor
	started  time.Time
	log      logr.Logger
	// kick wakes the loop of holds.
	kick chan struct{}
	// afresh is set when the next hold is to replace those under way.
	afresh atomic.Bool
	// described holds the newest description that nobody has taken yet.
	described chan Description
	// ctx ends the calls.
	ctx context.Context
	rto rtoEstimator

	mu   sync.Mutex
	gate *Gate
}

// NewDriver returns a driver of a gate; the context ends its calls.
func NewDriver(ctx context.Context, g *Gate, e Executor, log logr.Logger) *Driver {
	return &Driver{executor: e, started: time.Now(), log: log, kick: make(chan struct{}, 1), described: make(chan Description, 1), ctx: ctx, gate: g}
}

func (d *Driver) now() Time { return time.Since(d.started) }

// do runs an event and carries out what follows from it.
func (d *Driver) do(event func(now Time, g *Gate) Actions) {
	d.mu.Lock()
	a := event(d.now(), d.gate)
	events := d.gate.TakeEvents()
	latest, described := d.gate.TakeDescription()
	d.mu.Unlock()
	d.tellEvents(events)
	if described {
		d.tellDescribed(latest)
	}
	d.carryOut(a)
}

// Counts returns what the gate has counted; see Gate.Counts.
func (d *Driver) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Counts()
}

func (d *Driver) carryOut(a Actions) {
	for _, c := range a.Starts {
		go d.start(a.Life, c)
	}
	for _, c := range a.Stops {
		go d.stop(a.Life, c)
	}
	if a.HoldAfresh {
		d.afresh.Store(true)
	}
	if a.HoldNow || a.HoldAfresh {
		d.poke()
	}
}

func (d *Driver) poke() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

func (d *Driver) start(life Life, c StartCall) {
	call := newRetriedCall(&d.rto, func(ctx context.Context) (Answer, error) { return d.executor.Start(ctx, life, c) })
	ans, err := call.run(d.ctx)
	if err != nil {
		d.log.Info("Start not done.", "job", c.Name.Job, "step", c.Name.Step, "index", c.Name.Index, "run", c.Name.Run, "tries", call.tries, "error", err.Error())
	}
	d.do(func(now Time, g *Gate) Actions {
		if call.mayComeLate() {
			g.noteLateOrder(now)
		}
		return g.OnStart(now, life, c, ans, err)
	})
}

func (d *Driver) stop(life Life, c StopCall) {
	call := newRetriedCall(&d.rto, func(ctx context.Context) (Answer, error) { return d.executor.Stop(ctx, life, c) })
	ans, err := call.run(d.ctx)
	d.do(func(now Time, g *Gate) Actions { return g.OnStop(now, life, c, ans, err) })
}

// Run holds the executor until the context ends.
func (d *Driver) Run(ctx context.Context) {
	go d.tick(ctx)
	newHoldLoop(d).run(ctx)
}

// nextHold returns the hold to make now; only the first of several waits long.
func (d *Driver) nextHold(first bool) (h Hold) {
	d.do(func(now Time, g *Gate) Actions {
		wait := Time(0)
		if first {
			wait = holdWait
		}
		h = g.NextHold(now, wait)
		return Actions{}
	})
	return h
}

// doubt takes in that a hold is overdue; see Gate.Doubt.
func (d *Driver) doubt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate.Doubt(d.now())
}

// hold makes a hold and takes in its answer, unless it was broken off meanwhile.
func (d *Driver) hold(ctx context.Context, h Hold, brokenOff func() bool) error {
	ans, lists, err := d.executor.Hold(ctx, h.Life, h.Call)
	if brokenOff() {
		return ErrUnanswered
	}
	if ctx.Err() != nil && errors.Is(err, ErrUnreached) {
		// The connection was given up, not refused.
		err = ErrUnanswered
	}
	lost := !answered(err) && ctx.Err() == nil
	d.do(func(now Time, g *Gate) Actions {
		if lost {
			g.OnConnectionLost(now)
		}
		return g.OnHold(now, h, ans, lists, err)
	})
	return err
}

// holdTimeout returns the time given to a hold beyond its wait; see Gate.holdTimeout.
func (d *Driver) holdTimeout(beside bool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.holdTimeout(d.now(), beside)
}

// holdPause returns how long the next hold is of no use, after one that has ended.
func (d *Driver) holdPause(err error) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.gate.Lapsing():
		return failurePause
	case err != nil, !d.gate.Confirmed():
		return d.gate.pauseAfterFailure(d.now())
	case d.gate.Unnoted():
		return unnotedPause
	}
	return 0
}

func (d *Driver) tick(ctx context.Context) {
	t := time.NewTicker(tickPause)
	defer t.Stop()
	var told time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.do(func(now Time, g *Gate) Actions { return g.Tick(now) })
			d.tellStall(&told)
		}
	}
}

// stallPause is the time between two lines about runs that stand still.
const stallPause = 2 * time.Second

func (d *Driver) tellStall(told *time.Time) {
	if time.Since(*told) < stallPause {
		return
	}
	*told = time.Now()
	d.mu.Lock()
	s, ok := d.gate.Stalled(d.now())
	d.mu.Unlock()
	if ok {
		d.log.Info("Runs stand still in the queue.", "waiting", s.Waiting, "runs", s.Runs, "listed", s.Listed, "seen", s.Seen,
			"usedCPU", s.Used.CPU, "capacityCPU", s.Capacity.CPU, "suspect", s.Suspect, "lapsing", s.Lapsing, "oldest", s.Oldest.String(),
			"nextJob", s.Next.Name.Job, "nextIndex", s.Next.Name.Index, "nextRun", s.Next.Name.Run, "nextEnd", int(s.Next.End), "nextOwner", s.NextOwner, "nextNoted", s.NextNoted)
	}
}

// Heartbeat takes in an executor's word; it returns false if it is of an earlier life.
func (d *Driver) Heartbeat(b Heartbeat) (ok bool) {
	d.do(func(now Time, g *Gate) (a Actions) {
		a, ok = g.OnHeartbeat(now, b)
		return a
	})
	return ok
}

// tellDescribed passes on a description; one that was not taken yet is replaced.
func (d *Driver) tellDescribed(latest Description) {
	d.log.Info("Executor described itself.", "life", latest.ID, "born", latest.Born, "service", latest.Service, "capacityCPU", latest.Capacity.CPU, "draining", latest.Draining)
	select {
	case <-d.described:
	default:
	}
	select {
	case d.described <- latest:
	default:
	}
}

// Described returns the channel of new descriptions of the executor.
func (d *Driver) Described() <-chan Description { return d.described }

// Recall takes in what an earlier process knew of the executor; see Gate.Recall.
func (d *Driver) Recall(known Description) {
	d.do(func(_ Time, g *Gate) Actions { return g.Recall(known) })
}

// Deregister takes in that a life of the executor has ended.
func (d *Driver) Deregister(life Life) {
	d.do(func(now Time, g *Gate) Actions { return g.OnDeregister(now, life) })
}

// Connect takes in a new link; see Gate.Connect.
func (d *Driver) Connect(owner string, link uint64, wake func()) (ok bool) {
	d.do(func(now Time, g *Gate) Actions {
		ok = g.Connect(now, owner, link, wake)
		return Actions{}
	})
	return ok
}

// Disconnect takes in that a link has closed.
func (d *Driver) Disconnect(owner string, link uint64) {
	d.do(func(_ Time, g *Gate) Actions {
		g.Disconnect(owner, link)
		return Actions{}
	})
}

// Frame takes in an owner's frame; see Gate.OnFrame.
func (d *Driver) Frame(owner string, link uint64, f OwnerFrame) (ok bool) {
	d.do(func(now Time, g *Gate) (a Actions) {
		a, ok = g.OnFrame(now, owner, link, f)
		return a
	})
	return ok
}

// Flush returns the frame to send to an owner; see Gate.Flush.
func (d *Driver) Flush(owner string, link uint64) (f Frame, ok bool) {
	d.do(func(now Time, g *Gate) Actions {
		f, ok = g.Flush(now, owner, link)
		return Actions{}
	})
	return f, ok
}

// Pending says whether there is more to send to an owner than a report.
func (d *Driver) Pending(owner string) (pending bool) {
	d.do(func(_ Time, g *Gate) Actions {
		pending = g.Pending(owner)
		return Actions{}
	})
	return pending
}

// HasRuns says whether the gate has runs of an owner, or of nobody.
func (d *Driver) HasRuns(owner string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.HasRuns(owner)
}

// OpenOwners returns the number of owners that are linked.
func (d *Driver) OpenOwners() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.OpenOwners()
}

// OnReport sets what is called when there is a new report for all owners. It is
// called with the gate locked.
func (d *Driver) OnReport(changed func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate.OnReport(changed)
}

// Reported counts the changes of the report.
func (d *Driver) Reported() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Reported()
}

// Lapsing says whether the target's lease is left to lapse.
func (d *Driver) Lapsing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Lapsing()
}

// LinkedOwners returns the owners that are linked.
func (d *Driver) LinkedOwners() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.LinkedOwners()
}

// Now returns the time on the gate's clock.
func (d *Driver) Now() Time { return d.now() }

// TakeEvacuations takes in which failure domains are evacuated; see Gate.TakeEvacuations.
func (d *Driver) TakeEvacuations(n evacuation.News) {
	d.do(func(now Time, g *Gate) Actions { return g.TakeEvacuations(now, n) })
}

// EvacuationsAge returns how old the newest news of evacuations is; see
// Gate.EvacuationsAge.
func (d *Driver) EvacuationsAge() (age time.Duration, evacuated, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.EvacuationsAge(d.now())
}

// Drain makes the gate take no more orders and waits until it is idle.
func (d *Driver) Drain(ctx context.Context) {
	d.do(func(_ Time, g *Gate) Actions {
		g.Leave()
		return Actions{}
	})
	t := time.NewTicker(tickPause)
	defer t.Stop()
	for {
		idle := false
		d.do(func(_ Time, g *Gate) Actions {
			idle = g.Idle()
			return Actions{}
		})
		if idle {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
