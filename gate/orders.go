package gate

import (
	"time"

	"rackspur/evacuation"
	"rackspur/job"
)

// Order is a start that an owner asks for.
type Order struct {
	Name       job.RunName
	Spec       string
	Need       job.Resources
	Estimate   time.Duration
	Rank       int64
	Checkpoint string
	// BestEffort: the run is of a job that is not kept.
	BestEffort bool
}

// VerdictKind says what becomes of a run.
type VerdictKind int

// The verdicts of an owner.
const (
	// VerdictNote: the effect of the end is durable.
	VerdictNote VerdictKind = iota + 1
	// VerdictDiscard: the end must not count.
	VerdictDiscard
	// VerdictClaim: the run is the owner's and goes on.
	VerdictClaim
	// VerdictForeign: the owner knows nothing of the run.
	VerdictForeign
)

// Verdict is an owner's word on a run.
type Verdict struct {
	Name job.RunName
	Kind VerdictKind
	// Need is what the run takes, BestEffort says that its job is not kept; both are
	// given with a claim.
	Need       job.Resources
	BestEffort bool
}

// OwnerFrame is what an owner sends.
type OwnerFrame struct {
	// Echo is a time of the gate at which the owner was alive: the newest that it has
	// received, and what has passed since. Runs of jobs that are not kept go by it.
	Echo Time
	// KeptEcho is the newest time of the gate that the owner has received while its
	// lease in the store holds; runs of jobs that are kept go by it.
	KeptEcho Time
	// Evacuations is what the owner knows of evacuations, as of a time of the gate.
	Evacuations evacuation.News
	Sequence    uint64
	Starts      []Order
	Stops       []job.RunName
	Verdicts    []Verdict
	Adopt       []string
}

// Connect takes in a new link of an owner. It returns false if the link is
// older than one known, the owner's life is over, or the gate does not know yet
// what runs on its executor. Wake is called whenever
// there is something to send.
func (g *Gate) Connect(now Time, owner string, link uint64, wake func()) bool {
	if _, over := g.adopted[owner]; over || !g.knowsRuns(now) {
		return false
	}
	o := g.owners[owner]
	if o == nil {
		// A new link proves nothing yet: its opening may have been held up.
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
	o.poke()
	return true
}

// Disconnect takes in that a link has closed.
func (g *Gate) Disconnect(owner string, link uint64) {
	o := g.owners[owner]
	if o == nil || o.link != link {
		return
	}
	o.open = false
	o.states = nil
	o.wake = nil
}

func (o *ownerState) poke() {
	if o.wake != nil {
		o.wake()
	}
}

// OnFrame takes in a frame that came over a link. It returns false if the link
// is not the newest.
func (g *Gate) OnFrame(now Time, owner string, link uint64, f OwnerFrame) (Actions, bool) {
	o := g.owners[owner]
	if o == nil || o.link != link {
		return Actions{}, false
	}
	if _, over := g.adopted[owner]; over {
		return Actions{}, false
	}
	o.contact = max(o.contact, min(f.Echo, now))
	o.keptContact = max(o.keptContact, min(f.KeptEcho, now))
	o.received = f.Sequence
	a := g.TakeEvacuations(now, f.Evacuations)
	g.adopt(now, owner, f.Adopt)
	for _, v := range f.Verdicts {
		g.judge(now, owner, v)
	}
	for _, name := range f.Stops {
		g.stopOrder(now, owner, name)
	}
	for _, order := range f.Starts {
		g.accept(now, owner, order)
	}
	before := g.seen
	g.advanceSeen()
	a.HoldNow = a.HoldNow || g.seen > before
	a = g.stopWhatMust(now, a)
	return g.startFromQueue(now, a), true
}

// adopt takes over the runs of lives that are over.
func (g *Gate) adopt(now Time, owner string, lives []string) {
	if len(lives) == 0 {
		return
	}
	for _, life := range lives {
		g.adopted[life] = owner
		for _, r := range g.runs {
			if r.owner != life {
				continue
			}
			if r.bestEffort {
				g.abandon(now, r)
			}
			r.owner = owner
		}
		delete(g.owners, life)
	}
	g.owners[owner].inventory = true
	g.owners[owner].poke()
}

// abandon ends a run whose job is gone with its owner.
func (g *Gate) abandon(now Time, r *run) {
	switch r.phase {
	case phaseQueued:
		g.giveBack(r, "owner gone")
	case phaseEnded:
		r.noted = true
		g.removeIfNoted(r)
	default:
		g.stopRun(now, r, StopOwnerOver)
	}
}

func (g *Gate) accept(now Time, owner string, o Order) {
	if known := g.runs[o.Name]; known != nil && known.owner == owner && known.phase != phaseEnded {
		return
	}
	g.orders++
	r := &run{
		RunName: o.Name, owner: owner, spec: o.Spec, need: o.Need, checkpoint: o.Checkpoint,
		estimate: o.Estimate, rank: o.Rank, order: g.orders, arrived: now, bestEffort: o.BestEffort,
	}
	if g.runs[o.Name] != nil {
		// Each owner that takes a job in numbers its runs from 1.
		g.reject(r, "a run of that number is known")
		return
	}
	g.runs[o.Name] = r
	switch {
	case g.ownerSilent(now, r):
		g.reject(r, "stale order")
	case !g.Open(now):
		g.reject(r, "closed")
	case g.health.suspect && (g.queue.first() != nil || !g.health.mayStart(now)):
		g.reject(r, "suspect")
	case !g.capacity.Fits(o.Need):
		g.reject(r, "too large")
	default:
		g.queue.push(r)
		g.trimQueue()
	}
}

func (g *Gate) judge(now Time, owner string, v Verdict) {
	r := g.runs[v.Name]
	if r == nil || (r.owner != "" && r.owner != owner) {
		return
	}
	switch v.Kind {
	case VerdictClaim:
		g.claim(now, owner, r, v)
	case VerdictNote:
		r.noted = true
		g.removeIfNoted(r)
	case VerdictDiscard:
		g.discard(now, r)
	}
}

// claim gives a run that the gate found to its owner.
func (g *Gate) claim(now Time, owner string, r *run, v Verdict) {
	if r.owner != "" {
		return
	}
	r.owner = owner
	r.need = v.Need
	r.bestEffort = v.BestEffort
	g.record(now, EventClaimed, r, "")
	if r.atWork() {
		g.used = g.used.Plus(r.need)
	}
	// It may have ended since the owner was told of it.
	g.tell(r)
}

// discard makes sure that a run counts for nothing: it is stopped if it is not
// over, and an end that counts is noted only after the lease has lapsed.
func (g *Gate) discard(now Time, r *run) {
	switch {
	case r.phase == phaseQueued:
		g.giveBack(r, "discarded")
	case r.phase != phaseEnded:
		g.stopRun(now, r, StopDiscarded)
		r.discarded = true
	case r.number != 0 && (r.end == EndDone || r.end == EndFailed):
		r.discarded = true
		g.lapsing = true
	default:
		r.noted = true
		g.removeIfNoted(r)
	}
}

func (g *Gate) stopOrder(now Time, owner string, name job.RunName) {
	r := g.runs[name]
	if r == nil || (r.owner != owner && r.owner != "") {
		return
	}
	switch r.phase {
	case phaseQueued:
		g.giveBack(r, "withdrawn")
	case phaseEnded:
	default:
		g.stopRun(now, r, StopOrdered)
	}
}
