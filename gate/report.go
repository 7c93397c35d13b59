package gate

import (
	"time"

	"rackspur/job"
)

// Report is what a gate says of its executor.
type Report struct {
	// Life is the id of the target.
	Life     string
	Service  string
	Capacity job.Resources
	Free     job.Resources
	Queued   job.Resources
	Labels   []string
	Open     bool
	// Evacuated says that the gate is closed since its failure domain is evacuated.
	Evacuated bool
	Slowness  float64
	Suspect   bool
}

// RunState is what a gate says of a run.
type RunState struct {
	Name   job.RunName
	Queued bool
	// Running says that the executor has started the run. One that is neither
	// queued nor running has been ordered there and is in doubt.
	Running bool
	// End is set if the run is over.
	End        EndKind
	Checkpoint string
	Ran        time.Duration
	// Reason tells why a run was rejected, or ReasonBehind.
	Reason string
}

// Frame is what a gate sends to an owner.
type Frame struct {
	Clock    Time
	Received uint64
	Report   Report
	States   []RunState
	// Inventory says that States holds all that concerns the owner.
	Inventory bool
	Adopted   []string
}

// tell puts a run's state into its owner's outbox. All owners are told of a run that
// nobody has claimed: its job may be lost, and its end must be judged all the same.
func (g *Gate) tell(r *run) {
	if r.owner == "" {
		for _, o := range g.owners {
			o.tell(r)
		}
		return
	}
	if o := g.owners[r.owner]; o != nil {
		o.tell(r)
	}
}

func (o *ownerState) tell(r *run) {
	if !o.open {
		return
	}
	o.states = append(o.states, r)
	o.poke()
}

// tellAll has the report sent anew to all owners.
func (g *Gate) tellAll() {
	g.reported++
	if g.onReport != nil {
		g.onReport()
	}
}

// OnReport sets what is called when there is a new report for all owners.
func (g *Gate) OnReport(changed func()) { g.onReport = changed }

// Reported counts the changes of the report.
func (g *Gate) Reported() uint64 { return g.reported }

// Pending says whether there is more to send to an owner than a report.
func (g *Gate) Pending(owner string) bool {
	o := g.owners[owner]
	return o != nil && (len(o.states) > 0 || o.inventory)
}

// HasRuns says whether the gate has runs of an owner, or of nobody.
func (g *Gate) HasRuns(owner string) bool {
	for _, r := range g.runs {
		if r.owner == owner || r.owner == "" {
			return true
		}
	}
	return false
}

// OpenOwners returns the number of owners that are linked.
func (g *Gate) OpenOwners() int {
	n := 0
	for _, o := range g.owners {
		if o.open {
			n++
		}
	}
	return n
}

// LinkedOwners returns the owners that are linked.
func (g *Gate) LinkedOwners() []string {
	var linked []string
	for name, o := range g.owners {
		if o.open {
			linked = append(linked, name)
		}
	}
	return linked
}

// Flush returns the frame to send to an owner now; ok is false if its link is
// not the newest or the owner's life is over.
func (g *Gate) Flush(now Time, owner string, link uint64) (f Frame, ok bool) {
	o := g.owners[owner]
	if o == nil || o.link != link {
		return Frame{}, false
	}
	f = Frame{Clock: now, Received: o.received, Report: g.report(now)}
	if o.inventory {
		o.inventory = false
		f.Inventory = true
		f.Adopted = g.adoptedBy(owner)
		for _, r := range g.runs {
			if r.owner == owner || r.owner == "" {
				f.States = append(f.States, r.state())
			}
		}
		o.states = nil
		return f, true
	}
	for _, r := range o.states {
		f.States = append(f.States, r.state())
	}
	o.states = nil
	return f, true
}

// Stall describes why runs wait although the gate is open; ok is false if none
// has waited for long.
type Stall struct {
	Waiting, Runs, Listed int
	Used, Capacity        job.Resources
	Suspect, Lapsing      bool
	Seen                  int64
	Oldest                time.Duration
	// Next is the end that has to be noted next, NextOwner its owner.
	Next      RunState
	NextOwner string
	NextNoted bool
}

// stallAfter is how long a run must wait to count as standing still.
const stallAfter = 3 * time.Second

// Stalled returns a description if runs have waited for long.
func (g *Gate) Stalled(now Time) (s Stall, ok bool) {
	first := g.queue.first()
	if first == nil || now-first.arrived < stallAfter {
		return Stall{}, false
	}
	s = Stall{
		Waiting: len(g.queue.items), Runs: len(g.runs), Listed: len(g.listed), Used: g.used, Capacity: g.capacity,
		Suspect: g.health.suspect, Lapsing: g.lapsing, Seen: g.seen, Oldest: now - first.arrived,
	}
	if next := g.listed[g.seen+1]; next != nil {
		s.Next = next.state()
		s.NextOwner = next.owner
		s.NextNoted = next.noted
	}
	return s, true
}

func (g *Gate) adoptedBy(owner string) []string {
	var lives []string
	for life, by := range g.adopted {
		if by == owner {
			lives = append(lives, life)
		}
	}
	return lives
}

func (g *Gate) report(now Time) Report {
	return Report{
		Life: g.life.ID, Service: g.service, Capacity: g.capacity, Free: g.capacity.Minus(g.used),
		Queued: g.queued(), Labels: g.labels, Open: g.Open(now), Evacuated: g.evacuated(), Slowness: g.health.slownessAt(now),
		Suspect: g.health.suspect && !g.health.mayStart(now),
	}
}

func (r *run) state() RunState {
	reason := r.reason
	if r.phase == phaseRunning && r.progress.told {
		reason = ReasonBehind
	}
	return RunState{
		Name: r.RunName, Queued: r.phase == phaseQueued,
		Running: r.phase == phaseRunning,
		End:     r.end, Checkpoint: r.checkpoint, Ran: r.ran, Reason: reason,
	}
}
