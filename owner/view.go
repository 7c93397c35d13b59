package owner

import (
	"slices"
	"strings"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// gateView is what the owner knows of a gate.
type gateView struct {
	name string
	zone string
	// linked says whether a link is up that has brought a frame.
	linked bool
	link   uint64
	wake   func()
	// clock is the newest time of the gate, heard when it came.
	clock gate.Time
	heard Time
	// presumed is set once the gate's runs were held to be over.
	presumed bool
	report   gate.Report
	// adopted are the lives of which the gate has told its runs since it was last asked;
	// handedOver is set once it has handed runs of any life to this owner.
	adopted    map[string]bool
	handedOver bool

	// busy says that runs are at the gate, or may be.
	busy bool

	sequence uint64
	inFlight []sentOrder
	starts   []gate.Order
	stops    []job.RunName
	verdicts []gate.Verdict
	adopt    []string
}

// sentOrder is a start that the gate's report does not cover yet.
type sentOrder struct {
	sequence uint64
	name     job.RunName
	need     job.Resources
}

// AddGate takes in a gate that is a member.
func (o *Owner) AddGate(name, zone string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view(name).zone = zone
}

// Knows says whether a gate is a member, or has asked for a link.
func (o *Owner) Knows(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gates[name] != nil
}

// view returns the view of a gate, a new one if there is none.
func (o *Owner) view(name string) *gateView {
	v := o.gates[name]
	if v != nil {
		return v
	}
	v = &gateView{name: name, adopted: map[string]bool{}}
	o.gates[name] = v
	return v
}

// approach takes a gate in among the near ones.
func (o *Owner) approach(v *gateView) {
	at, found := slices.BinarySearchFunc(o.near, v.name, func(v *gateView, name string) int { return strings.Compare(v.name, name) })
	if !found {
		o.near = slices.Insert(o.near, at, v)
	}
}

// leaveFar takes out of the near gates those that are not linked and have no runs any more.
func (o *Owner) leaveFar() {
	o.near = slices.DeleteFunc(o.near, func(v *gateView) bool { return v.presumed && !v.linked && v.wake == nil && !v.busy })
}

// LinkUp takes in a new link to a gate. Wake is called whenever there is
// something to send.
func (o *Owner) LinkUp(name string, link uint64, wake func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view(name)
	o.approach(v)
	v.link = link
	v.linked = false
	v.clock = 0
	v.wake = wake
	v.starts = nil
	v.stops = nil
	v.verdicts = nil
	v.inFlight = nil
	v.sequence = 0
	v.adopt = append([]string(nil), o.adopted...)
}

// LinkDown takes in that a link has closed.
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

// Heard says how long ago a gate was heard of.
func (o *Owner) Heard(name string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.gates[name]
	if v == nil {
		return 0
	}
	return o.options.Now() - v.heard
}

func (v *gateView) poke() {
	if v.wake != nil {
		v.wake()
	}
}

func (o *Owner) wakeAll() {
	for _, v := range o.gates {
		v.poke()
	}
}

// keptEcho is the echo for runs of jobs that are kept.
func (o *Owner) keptEcho(v *gateView) gate.Time {
	if !o.active(o.options.Now()) {
		return 0
	}
	return v.clock
}

// Flush returns the frame to send to a gate now; ok is false once the owner's
// life is over or if the link is not the newest.
func (o *Owner) Flush(name string, link uint64) (f gate.OwnerFrame, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.gates[name]
	if v == nil || v.link != link || o.over {
		return gate.OwnerFrame{}, false
	}
	o.reviewIsolation(o.options.Now())
	v.sequence++
	f = gate.OwnerFrame{Echo: o.echo(v), KeptEcho: o.keptEcho(v), Evacuations: o.evacuationsFor(o.options.Now(), v), Sequence: v.sequence, Starts: v.starts, Stops: v.stops, Verdicts: v.verdicts, Adopt: v.adopt}
	for _, s := range v.starts {
		v.inFlight = append(v.inFlight, sentOrder{sequence: v.sequence, name: s.Name, need: s.Need})
	}
	v.starts = nil
	v.stops = nil
	v.verdicts = nil
	v.adopt = nil
	return f, true
}

// free returns the room that the owner may count on at a gate.
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

// OnFrame takes in a frame of a gate.
func (o *Owner) OnFrame(name string, link uint64, f gate.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	v := o.gates[name]
	if v == nil || v.link != link || o.over {
		return
	}
	o.heardFromOutside(now)
	v.linked = true
	v.clock = f.Clock
	v.heard = now
	v.presumed = false
	v.report = f.Report
	for len(v.inFlight) > 0 && v.inFlight[0].sequence <= f.Received {
		v.inFlight = v.inFlight[1:]
	}
	for _, life := range f.Adopted {
		v.adopted[life] = true
		v.handedOver = true
	}
	if f.Inventory {
		o.forgetFound(v)
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

// reconcile compares an inventory with what the owner believes to be placed on
// the gate: a run that the gate does not know has never started.
func (o *Owner) reconcile(now Time, v *gateView, states []gate.RunState) {
	known := make(map[job.RunName]bool, len(states))
	for _, s := range states {
		known[s.Name] = true
	}
	for _, j := range o.jobs {
		for _, t := range j.tasks {
			placed := t.phase == taskPlaced || t.phase == taskRunning
			if placed && t.gate == v.name && !known[t.runName()] && !v.onItsWay(t) {
				o.replace(now, t)
			}
		}
	}
}

// onItsWay says whether the gate had not received a task's start over this link
// when it sent its newest frame.
func (v *gateView) onItsWay(t *task) bool {
	for _, s := range v.inFlight {
		if s.name == t.runName() {
			return true
		}
	}
	for _, s := range v.starts {
		if s.Name == t.runName() {
			return true
		}
	}
	return false
}

// presumeSilentGates holds the runs of gates that were not heard of for long
// enough to be over.
func (o *Owner) presumeSilentGates(now Time) {
	for _, v := range o.near {
		if v.presumed || now-max(v.heard, o.resumed) < o.overAfter() {
			continue
		}
		v.presumed = true
		for _, j := range o.jobs {
			for _, t := range j.tasks {
				if t.gate == v.name && (t.phase == taskPlaced || t.phase == taskRunning) {
					o.stats.PresumedOver++
					o.replace(now, t)
				}
			}
		}
	}
}

// overAfter is how long after the last word from a gate its runs are over: the
// gate has stopped them after the contact time, or their lease has lapsed after it.
func (o *Owner) overAfter() time.Duration {
	return o.options.Contact + o.options.Lease*103/100 + presumeMargin
}
