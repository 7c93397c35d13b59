package gate

import (
	"time"

	"rackspur/evacuation"
	"rackspur/job"
)

// Order is an owner's request to start a run.
type Order struct {
	Name       job.RunName
	Spec       string
	Need       job.Resources
	Estimate   time.Duration
	Rank       int64
	Checkpoint string
	// BestEffort: the run belongs to a best-effort job.
	BestEffort bool
	// Alone: no other run is to be active beside this one, since targets have crashed under its task.
	Alone bool
}

// VerdictKind is an owner's decision about a run.
type VerdictKind int

// Kinds of verdicts.
const (
	// VerdictAcknowledge: the result is durable, so the end may be acknowledged to the target.
	VerdictAcknowledge VerdictKind = iota + 1
	// VerdictDiscard: the end must not count.
	VerdictDiscard
	// VerdictClaim: the run belongs to the owner and continues.
	VerdictClaim
	// VerdictUnknown: the run is unknown to the owner.
	VerdictUnknown
)

// Verdict is an owner's decision about one run.
type Verdict struct {
	Name job.RunName
	Kind VerdictKind
	// Need is what the run takes, BestEffort whether its job is best effort; both are set with
	// VerdictClaim only.
	Need       job.Resources
	BestEffort bool
}

// OwnerFrame is a message from an owner.
type OwnerFrame struct {
	// Echo is a time on the gate's clock at which the owner was alive: the newest one that it
	// has received plus the time elapsed since. It extends runs of best-effort jobs.
	Echo Time
	// DurableEcho is the newest time on the gate's clock that the owner received while its lease
	// in the store was valid. It extends runs of durable jobs.
	DurableEcho Time
	// Evacuations is what the owner knows of evacuations, with AsOf on the gate's clock.
	Evacuations evacuation.News
	// Waiting is the owner's waiting work for each gate that it is linked to, in
	// core-milliseconds, by how soon it must start; see package loadview.
	Waiting  []int
	Sequence uint64
	Starts   []Order
	Stops    []job.RunName
	Verdicts []Verdict
	Adopt    []string
}

// Connect registers a new link of an owner. It returns false if a newer link is known, if the
// owner incarnation has ended, or if the gate does not know yet what runs on its target. wake
// is called whenever there is something to send.
func (g *Gate) Connect(now Time, owner string, link uint64, wake func()) bool {
	if _, over := g.adopted[owner]; over || !g.knowsRuns(now) {
		return false
	}
	o := g.owners[owner]
	if o == nil {
		// A new link does not count as contact: it may have been delayed.
		o = &ownerState{}
		g.owners[owner] = o
	}
	if link <= o.link {
		return false
	}
	o.link = link
	o.connected = now
	o.open = true
	o.inventory = true
	o.states = nil
	o.received = 0
	o.wake = wake
	g.load.Link(owner)
	o.notify()
	return true
}

// Disconnect handles the closing of a link.
func (g *Gate) Disconnect(owner string, link uint64) {
	o := g.owners[owner]
	if o == nil || o.link != link {
		return
	}
	o.open = false
	o.states = nil
	o.wake = nil
	g.load.Drop(owner)
}

func (o *ownerState) notify() {
	if o.wake != nil {
		o.wake()
	}
}

// OnFrame handles a frame. It returns false if the frame's link is not the newest.
func (g *Gate) OnFrame(now Time, owner string, link uint64, f OwnerFrame) (Actions, bool) {
	o := g.owners[owner]
	if o == nil || o.link != link {
		return Actions{}, false
	}
	if _, over := g.adopted[owner]; over {
		return Actions{}, false
	}
	g.boundStops(owner, f.Stops)
	o.contact = max(o.contact, min(f.Echo, now))
	o.durableContact = max(o.durableContact, min(f.DurableEcho, now))
	o.received = f.Sequence
	g.noteWaiting(now, owner, &f)
	a := g.UpdateEvacuations(now, f.Evacuations)
	g.adopt(now, owner, f.Adopt)
	for _, v := range f.Verdicts {
		g.applyVerdict(now, owner, v)
	}
	for _, name := range f.Stops {
		g.stopOrder(now, owner, name)
	}
	for _, order := range f.Starts {
		g.accept(now, owner, order, f.asOf(order))
	}
	before := g.seen
	g.advanceSeen()
	a.HoldNow = a.HoldNow || g.seen > before
	a = g.sendStops(now, a)
	return g.startFromQueue(now, a), true
}

// boundStops fixes when runs that their owner stops must have ended, from the contact before the
// frame with the stops. A stop that was lost with its link is repeated over the next one, by a frame
// that is newer than the owner's decision; the contact before that frame is not.
func (g *Gate) boundStops(owner string, stops []job.RunName) {
	for _, name := range stops {
		if r := g.runs[name]; r != nil && r.owner == owner {
			g.setStopBy(r)
		}
	}
}

// adopt reassigns the runs of ended owner incarnations to the owner that takes over their jobs.
func (g *Gate) adopt(now Time, owner string, incarnations []string) {
	if len(incarnations) == 0 {
		return
	}
	for _, incarnation := range incarnations {
		g.adopted[incarnation] = owner
		for _, r := range g.runs {
			if r.owner != incarnation {
				continue
			}
			if r.bestEffort {
				g.abandon(now, r)
			}
			r.owner = owner
		}
		delete(g.owners, incarnation)
		g.load.Drop(incarnation)
	}
	g.owners[owner].inventory = true
	g.owners[owner].notify()
}

// abandon ends a best-effort run whose owner is gone.
func (g *Gate) abandon(now Time, r *run) {
	switch r.phase {
	case phaseQueued:
		g.rejectQueued(r, "owner gone")
	case phaseEnded:
		r.acknowledged = true
		g.removeIfAcknowledged(r)
	default:
		g.requestStop(now, r, StopOwnerEnded)
	}
}

// asOf returns the time of the newest report that the owner can have known when it sent an order.
func (f *OwnerFrame) asOf(o Order) Time {
	if o.BestEffort {
		return f.Echo
	}
	return f.DurableEcho
}

// accept queues or rejects an order; asOf is the time of the report that its owner chose this gate
// by. If the target has restarted since, it may have another service or other labels.
func (g *Gate) accept(now Time, owner string, o Order, asOf Time) {
	if known := g.runs[o.Name]; known != nil && known.owner == owner && known.phase != phaseEnded {
		return
	}
	g.orders++
	r := &run{
		RunName: o.Name, owner: owner, spec: o.Spec, need: o.Need, checkpoint: o.Checkpoint,
		estimate: o.Estimate, rank: o.Rank, order: g.orders, arrived: now, bestEffort: o.BestEffort, alone: o.Alone,
	}
	g.recordSecondOwner(now, r)
	if g.runs[o.Name] != nil {
		// Each owner numbers the runs of a job from 1, so the name may belong to another
		// owner's run.
		g.reject(r, "a run of that number is known")
		return
	}
	g.runs[o.Name] = r
	switch {
	case g.ownerSilent(now, r):
		g.reject(r, "stale order")
	case asOf < g.begun:
		g.reject(r, "sent before the target's restart")
	case !g.Open(now):
		g.reject(r, "closed")
	case g.health.suspect && (g.queue.first() != nil || !g.health.mayStart(now)):
		g.reject(r, "suspect")
	case !g.capacity.Fits(o.Need):
		g.reject(r, reasonTooLarge)
	default:
		g.queue.push(r)
		g.trimQueue()
	}
}

func (g *Gate) applyVerdict(now Time, owner string, v Verdict) {
	r := g.runs[v.Name]
	if r == nil || (r.owner != "" && r.owner != owner) {
		return
	}
	switch v.Kind {
	case VerdictClaim:
		g.claim(now, owner, r, v)
	case VerdictAcknowledge:
		r.acknowledged = true
		g.removeIfAcknowledged(r)
	case VerdictDiscard:
		g.discard(now, r)
	}
}

// claim assigns a run that was found on the target to its owner.
func (g *Gate) claim(now Time, owner string, r *run, v Verdict) {
	if r.owner != "" {
		return
	}
	r.owner = owner
	r.need = v.Need
	r.bestEffort = v.BestEffort
	g.record(now, EventClaimed, r, "")
	if r.active() {
		g.used = g.used.Plus(r.need)
	}
	// The run may have ended since the owner was told about it.
	g.sendState(r)
}

// discard ensures that a run does not count: it is stopped if it is active, and a successful or
// failed end is acknowledged only after the lease has expired.
func (g *Gate) discard(now Time, r *run) {
	switch {
	case r.phase == phaseQueued:
		g.rejectQueued(r, "discarded")
	case r.phase != phaseEnded:
		g.requestStop(now, r, StopDiscarded)
		r.discarded = true
	case r.number != 0 && (r.end == EndDone || r.end == EndFailed):
		g.lapse(r)
	default:
		r.acknowledged = true
		g.removeIfAcknowledged(r)
	}
}

func (g *Gate) stopOrder(now Time, owner string, name job.RunName) {
	r := g.runs[name]
	if r == nil || (r.owner != owner && r.owner != "") {
		return
	}
	switch r.phase {
	case phaseQueued:
		g.rejectQueued(r, "withdrawn")
	case phaseEnded:
	default:
		g.requestStop(now, r, StopOrdered)
	}
}
