package owner

import (
	"slices"
	"strings"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// gateView is the owner's view of a gate.
type gateView struct {
	name   string
	domain string
	// linked is set once the current link has received a frame.
	linked bool
	link   uint64
	wake   func()
	// clock is the gate's time in its newest frame, heard the owner's time when that
	// arrived.
	clock gate.Time
	heard Time
	// presumed is set once the gate's runs were presumed over.
	presumed bool
	report   gate.Report
	// slowness is the expected ratio of run time to estimate, slownessKnown whether it was
	// measured there or the target is cold; see compareGates.
	slowness      float64
	slownessKnown bool

	// sharesLoad is set once the gate has reported the waiting work of other owners over
	// the current link; an earlier build does not.
	sharesLoad bool
	// adopted are the incarnations whose runs the gate has reported since it was last
	// asked; handedOver is set once the gate has handed runs of any incarnation over to
	// this owner.
	adopted    map[string]bool
	handedOver bool

	// reservedFor is a suspected task that runs alone on the target.
	reservedFor *task
	// busy is set while the gate has runs of the owner, or may have.
	busy bool

	sequence uint64
	inFlight []sentOrder
	starts   []gate.Order
	stops    []job.RunName
	verdicts []gate.Verdict
	adopt    []string
}

// sentOrder is a start that the gate's report does not include yet.
type sentOrder struct {
	sequence uint64
	name     job.RunName
	need     job.Resources
}

// AddGate adds a gate that is a member.
func (o *Owner) AddGate(name, domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view(name).domain = domain
}

// HasGate reports whether a gate is a member or has asked for a link.
func (o *Owner) HasGate(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gates[name] != nil
}

// view returns the view of a gate and adds one if there is none.
func (o *Owner) view(name string) *gateView {
	v := o.gates[name]
	if v != nil {
		return v
	}
	v = &gateView{name: name, adopted: map[string]bool{}}
	o.gates[name] = v
	return v
}

// addActive adds a gate to the active ones.
func (o *Owner) addActive(v *gateView) {
	at, found := slices.BinarySearchFunc(o.activeGates, v.name, func(v *gateView, name string) int { return strings.Compare(v.name, name) })
	if !found {
		o.activeGates = slices.Insert(o.activeGates, at, v)
	}
}

// pruneActive removes gates that are not linked and have no runs from the active ones.
func (o *Owner) pruneActive() {
	o.activeGates = slices.DeleteFunc(o.activeGates, func(v *gateView) bool { return v.presumed && !v.linked && v.wake == nil && !v.busy })
}

// LinkUp registers a new link to a gate. It calls wake whenever there is something to
// send.
func (o *Owner) LinkUp(name string, link uint64, wake func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view(name)
	o.addActive(v)
	v.link = link
	v.linked = false
	v.clock = 0
	v.sharesLoad = false
	v.wake = wake
	v.starts = nil
	v.stops = nil
	v.verdicts = nil
	v.inFlight = nil
	v.sequence = 0
	v.adopt = append([]string(nil), o.adopted...)
}

// LinkDown unregisters a link that was closed.
func (o *Owner) LinkDown(name string, link uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.gates[name]
	if v == nil || v.link != link {
		return
	}
	v.linked = false
	v.wake = nil
}

// SinceHeard returns the time since a gate was last heard from.
func (o *Owner) SinceHeard(name string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.gates[name]
	if v == nil {
		return 0
	}
	return o.options.Now() - v.heard
}

func (v *gateView) notify() {
	if v.wake != nil {
		v.wake()
	}
}

func (o *Owner) wakeAll() {
	for _, v := range o.gates {
		v.notify()
	}
}

// durableEcho returns the echo for runs of durable jobs, 0 if the owner is not active.
func (o *Owner) durableEcho(v *gateView) gate.Time {
	if !o.active(o.options.Now()) {
		return 0
	}
	return v.clock
}

// Flush returns the frame to send to a gate now; ok is false once the owner has stopped
// or if the link is not the newest.
func (o *Owner) Flush(name string, link uint64) (f gate.OwnerFrame, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.gates[name]
	if v == nil || v.link != link || o.stopped {
		return gate.OwnerFrame{}, false
	}
	o.checkIsolation(o.options.Now())
	v.sequence++
	f = gate.OwnerFrame{Echo: o.echo(v), DurableEcho: o.durableEcho(v), Evacuations: o.evacuationsFor(o.options.Now(), v), Sequence: v.sequence, Starts: v.starts, Stops: v.stops, Verdicts: v.verdicts, Adopt: v.adopt, Waiting: o.waitingFor(v)}
	for _, s := range v.starts {
		v.inFlight = append(v.inFlight, sentOrder{sequence: v.sequence, name: s.Name, need: s.Need})
	}
	v.starts = nil
	v.stops = nil
	v.verdicts = nil
	v.adopt = nil
	return f, true
}

// free returns the room at a gate that the owner can use, less the starts in transit.
func (v *gateView) free() job.Resources {
	free := v.report.Free.Minus(v.report.Queued)
	for _, s := range v.inFlight {
		free = free.Minus(s.need)
	}
	for _, s := range v.starts {
		free = free.Minus(s.Need)
	}
	return free
}

// OnFrame processes a frame of a gate.
func (o *Owner) OnFrame(name string, link uint64, f gate.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	v := o.gates[name]
	if v == nil || v.link != link || o.stopped {
		return
	}
	o.noteContact(now)
	v.linked = true
	v.clock = f.Clock
	v.heard = now
	v.presumed = false
	v.report = f.Report
	o.noteSpeed(&v.report)
	v.sharesLoad = v.sharesLoad || len(f.Report.OthersWaiting) > 0
	for len(v.inFlight) > 0 && v.inFlight[0].sequence <= f.Received {
		v.inFlight = v.inFlight[1:]
	}
	for _, incarnation := range f.Adopted {
		v.adopted[incarnation] = true
		v.handedOver = true
	}
	if f.Inventory {
		o.clearReported(v)
	}
	for _, s := range f.States {
		o.onState(now, v, s)
	}
	if f.Inventory {
		o.reconcile(now, v, f.States)
		o.checkAdoptions(now)
	}
	o.place(now)
}

// reconcile requeues the tasks that are placed on a gate but missing from its
// inventory: their runs have never started or are lost. Runs of dropped jobs that are missing are
// over as well.
func (o *Owner) reconcile(now Time, v *gateView, states []gate.RunState) {
	known := make(map[job.RunName]bool, len(states))
	for _, s := range states {
		known[s.Name] = true
	}
	remains := func(name job.RunName) bool { return known[name] || v.inTransit(name) }
	for _, j := range o.jobs {
		for _, t := range j.tasks {
			placed := t.phase == taskPlaced || t.phase == taskRunning
			if placed && t.gate == v.name && !remains(t.runName()) {
				o.logGivenUp(v, t, "not in the gate's inventory")
				o.requeue(now, t)
			}
		}
	}
	o.endDroppedRuns(v, remains)
}

// inTransit reports whether the start of a run had not reached the gate over this link when
// it sent its newest frame.
func (v *gateView) inTransit(name job.RunName) bool {
	return v.holdsStart(name) || slices.ContainsFunc(v.inFlight, func(s sentOrder) bool { return s.name == name })
}

// presumeSilentGates requeues the tasks of gates that were not heard from for so long
// that their runs are certainly over.
func (o *Owner) presumeSilentGates(now Time) {
	for _, v := range o.activeGates {
		if v.presumed || now-max(v.heard, o.leaseResumed) < o.overAfter() {
			continue
		}
		v.presumed = true
		for _, j := range o.jobs {
			for _, t := range j.tasks {
				if t.gate == v.name && (t.phase == taskPlaced || t.phase == taskRunning) {
					o.stats.PresumedOver++
					o.logGivenUp(v, t, "gate silent")
					o.requeue(now, t)
				}
			}
		}
		o.endDroppedRuns(v, func(job.RunName) bool { return false })
	}
}

// overAfter returns how long after a gate was last heard from its runs are over: it has
// stopped them after the contact time, or their lease has expired after it.
func (o *Owner) overAfter() time.Duration {
	return o.options.ContactTimeout + o.options.Lease*103/100 + presumeMargin
}
