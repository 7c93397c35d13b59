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

// tickInterval is the time between two calls of Gate.Tick. Ends and starts are handled with the
// answers of the target, so that ticks only have to detect silences, of 0.3 s and more.
const tickInterval = 100 * time.Millisecond

// Driver carries out the calls that a Gate decides on.
type Driver struct {
	target  Target
	started time.Time
	log     logr.Logger
	// holdRequests wakes the hold loop.
	holdRequests chan struct{}
	// replaceHolds is set when the next hold is to replace those in flight.
	replaceHolds atomic.Bool
	// described holds the newest description until it is received.
	described chan Description
	// ctx cancels the calls.
	ctx context.Context
	rto rtoEstimator

	mu   sync.Mutex
	gate *Gate
}

// NewDriver returns a driver of a gate; ctx cancels its calls.
func NewDriver(ctx context.Context, g *Gate, e Target, log logr.Logger) *Driver {
	return &Driver{target: e, started: time.Now(), log: log, holdRequests: make(chan struct{}, 1), described: make(chan Description, 1), ctx: ctx, gate: g}
}

func (d *Driver) now() Time { return time.Since(d.started) }

// do processes an event and carries out the resulting actions.
func (d *Driver) do(event func(now Time, g *Gate) Actions) {
	d.mu.Lock()
	a := event(d.now(), d.gate)
	events := d.gate.TakeEvents()
	latest, described := d.gate.TakeDescription()
	if described {
		d.publish(latest)
	}
	d.mu.Unlock()
	d.logEvents(events)
	if described {
		d.logDescription(latest)
	}
	d.carryOut(a)
}

// Counts returns the counters of the gate; see Gate.Counts.
func (d *Driver) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Counts()
}

func (d *Driver) carryOut(a Actions) {
	for _, c := range a.Starts {
		go d.start(a.Incarnation, c)
	}
	for _, c := range a.Stops {
		go d.stop(a.Incarnation, c)
	}
	if a.ReplaceHolds {
		d.replaceHolds.Store(true)
	}
	if a.HoldNow || a.ReplaceHolds {
		d.requestHold()
	}
}

func (d *Driver) requestHold() {
	select {
	case d.holdRequests <- struct{}{}:
	default:
	}
}

func (d *Driver) start(incarnation Incarnation, c StartCall) {
	call := newRetriedCall(&d.rto, func(ctx context.Context) (Answer, error) { return d.target.Start(ctx, incarnation, c) })
	call.timeout = min(call.timeout, max(d.leaseLeft(c), minOrderTimeout))
	ans, err := call.run(d.ctx)
	if err != nil {
		d.log.Info("Start failed.", "job", c.Name.Job, "step", c.Name.Step, "index", c.Name.Index, "run", c.Name.Run, "tries", call.tries, "timeout", call.timeout.String(), "error", err.Error())
	}
	d.do(func(now Time, g *Gate) Actions {
		if call.mayComeLate() {
			g.recordLateOrder(now)
		}
		return g.OnStart(now, incarnation, c, ans, err)
	})
}

// leaseLeft returns how long the lease that a start carries still lasts. The target does not carry
// the start out after that.
func (d *Driver) leaseLeft(c StartCall) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(c.UntilMS-d.gate.targetClock(d.now())) * time.Millisecond
}

func (d *Driver) stop(incarnation Incarnation, c StopCall) {
	call := newRetriedCall(&d.rto, func(ctx context.Context) (Answer, error) { return d.target.Stop(ctx, incarnation, c) })
	ans, err := call.run(d.ctx)
	d.do(func(now Time, g *Gate) Actions { return g.OnStop(now, incarnation, c, ans, err) })
}

// Run sends holds to the target until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	go d.tick(ctx)
	newHoldLoop(d).run(ctx)
}

// nextHold returns the hold to send now; only the first of several in flight waits long.
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

// doubt records that a hold is overdue; see Gate.SuspectRestart.
func (d *Driver) doubt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate.SuspectRestart(d.now())
}

// hold sends a hold and processes its answer unless it was abandoned meanwhile. early reports
// whether the answer may have come before the end of its wait, because a run has ended.
func (d *Driver) hold(ctx context.Context, h Hold, abandoned func() bool) (early bool, err error) {
	ans, lists, err := d.target.Hold(ctx, h.Incarnation, h.Call)
	if abandoned() {
		return false, ErrUnanswered
	}
	if ctx.Err() != nil && errors.Is(err, ErrUnreachable) {
		// The call was cancelled; the connection was not refused.
		err = ErrUnanswered
	}
	lost := !answered(err) && ctx.Err() == nil
	d.do(func(now Time, g *Gate) Actions {
		if lost {
			g.OnConnectionLost(now)
		}
		return g.OnHold(now, h, ans, lists, err)
	})
	return len(lists.Finished) > 0, err
}

// holdTimeout returns the time allowed for a hold in addition to its wait; see
// Gate.holdTimeout. It leaves a target that answers slowly as much time as for an order.
func (d *Driver) holdTimeout(beside bool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.gate.holdTimeout(d.now(), beside), min(d.rto.orderTimeout(), holdTimeout))
}

// holdPause returns how long to wait before the next hold, after one that returned err.
func (d *Driver) holdPause(err error) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.gate.Lapsing():
		return failurePause
	case err != nil, !d.gate.Confirmed():
		return d.gate.pauseAfterFailure(d.now())
	case d.gate.HasUnacknowledged():
		return unacknowledgedPause
	}
	return 0
}

func (d *Driver) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var lastStall time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.do(func(now Time, g *Gate) Actions { return g.Tick(now) })
			d.logStall(&lastStall)
		}
	}
}

// stallInterval is the time between two log lines about a stalled queue.
const stallInterval = 2 * time.Second

func (d *Driver) logStall(lastStall *time.Time) {
	if time.Since(*lastStall) < stallInterval {
		return
	}
	*lastStall = time.Now()
	d.mu.Lock()
	s, ok := d.gate.Stalled(d.now())
	d.mu.Unlock()
	if ok {
		d.log.Info("Queued runs do not start.", "waiting", s.Waiting, "runs", s.Runs, "listed", s.Listed, "seen", s.Seen,
			"usedCPU", s.Used.CPU, "capacityCPU", s.Capacity.CPU, "suspect", s.Suspect, "lapsing", s.Lapsing, "oldest", s.Oldest.String(),
			"nextJob", s.Next.Name.Job, "nextIndex", s.Next.Name.Index, "nextRun", s.Next.Name.Run, "nextEnd", int(s.Next.End), "nextOwner", s.NextOwner, "nextNoted", s.NextAcknowledged)
	}
}

// Heartbeat processes a heartbeat of the target; it returns false if it is not trusted. See
// Gate.OnHeartbeat.
func (d *Driver) Heartbeat(b Heartbeat) (ok bool) {
	d.do(func(now Time, g *Gate) (a Actions) {
		a, ok = g.OnHeartbeat(now, b)
		return a
	})
	return ok
}

func (d *Driver) logDescription(latest Description) {
	d.log.Info("Description of the target changed.", "life", latest.ID, "born", latest.Born, "service", latest.Service, "capacityCPU", latest.Capacity.CPU, "draining", latest.Draining)
}

// publish passes on a description, replacing one that was not received yet. It is called with
// the gate locked, so that the latest description stays.
func (d *Driver) publish(latest Description) {
	select {
	case <-d.described:
	default:
	}
	select {
	case d.described <- latest:
	default:
	}
}

// Described returns the channel on which new descriptions of the target are delivered.
func (d *Driver) Described() <-chan Description { return d.described }

// RestoreDescription provides the description stored by an earlier process; see
// Gate.RestoreDescription.
func (d *Driver) RestoreDescription(known Description) {
	d.do(func(_ Time, g *Gate) Actions { return g.RestoreDescription(known) })
}

// Deregister processes a deregistration of the target; see Gate.OnDeregister.
func (d *Driver) Deregister(incarnation Incarnation) {
	d.do(func(now Time, g *Gate) Actions { return g.OnDeregister(now, incarnation) })
}

// Connect registers a new link of an owner; see Gate.Connect.
func (d *Driver) Connect(owner string, link uint64, wake func()) (ok bool) {
	d.do(func(now Time, g *Gate) Actions {
		ok = g.Connect(now, owner, link, wake)
		return Actions{}
	})
	return ok
}

// Disconnect handles the closing of a link.
func (d *Driver) Disconnect(owner string, link uint64) {
	d.do(func(_ Time, g *Gate) Actions {
		g.Disconnect(owner, link)
		return Actions{}
	})
}

// Frame processes a frame from an owner; see Gate.OnFrame.
func (d *Driver) Frame(owner string, link uint64, f OwnerFrame) (ok bool) {
	d.do(func(now Time, g *Gate) (a Actions) {
		a, ok = g.OnFrame(now, owner, link, f)
		return a
	})
	return ok
}

// Flush returns the next frame for an owner; see Gate.Flush.
func (d *Driver) Flush(owner string, link uint64) (f Frame, ok bool) {
	d.do(func(now Time, g *Gate) Actions {
		f, ok = g.Flush(now, owner, link)
		return Actions{}
	})
	return f, ok
}

// Pending reports whether there is more to send to an owner than a report.
func (d *Driver) Pending(owner string) (pending bool) {
	d.do(func(_ Time, g *Gate) Actions {
		pending = g.Pending(owner)
		return Actions{}
	})
	return pending
}

// HasRuns reports whether the gate has runs of the owner, or unclaimed ones.
func (d *Driver) HasRuns(owner string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.HasRuns(owner)
}

// OpenOwners returns the number of linked owners.
func (d *Driver) OpenOwners() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.OpenOwners()
}

// OnReport sets a function that is called when there is a new report for all owners. It is
// called with the gate locked.
func (d *Driver) OnReport(changed func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate.OnReport(changed)
}

// ReportVersion returns how often the report has changed.
func (d *Driver) ReportVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Reported()
}

// Lapsing reports whether the gate is letting the target's lease expire.
func (d *Driver) Lapsing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Lapsing()
}

// LinkedOwners returns the linked owners.
func (d *Driver) LinkedOwners() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.LinkedOwners()
}

// Now returns the time on the gate's clock.
func (d *Driver) Now() Time { return d.now() }

// UpdateEvacuations processes news of evacuations; see Gate.UpdateEvacuations.
func (d *Driver) UpdateEvacuations(n evacuation.News) {
	d.do(func(now Time, g *Gate) Actions { return g.UpdateEvacuations(now, n) })
}

// EvacuationsAge returns the age of the newest news of evacuations; see Gate.EvacuationsAge.
func (d *Driver) EvacuationsAge() (age time.Duration, evacuated, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.EvacuationsAge(d.now())
}

// Drain closes the gate and waits until it is idle.
func (d *Driver) Drain(ctx context.Context) {
	d.do(func(_ Time, g *Gate) Actions {
		g.Leave()
		return Actions{}
	})
	t := time.NewTicker(tickInterval)
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
