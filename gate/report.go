package gate

import (
	"time"

	"rackspur/job"
)

// Report is the state of a target as reported to owners.
type Report struct {
	// TargetID is the id of the target.
	TargetID string
	Service  string
	Capacity job.Resources
	Free     job.Resources
	Queued   job.Resources
	Labels   []string
	Open     bool
	// Evacuated says that the gate is closed because its failure domain is evacuated.
	Evacuated bool
	// Slowness is the smoothed ratio of run time to estimate, MedianSlowness the median of the
	// newest ratios; 0 if unknown.
	Slowness, MedianSlowness float64
	Suspect                  bool
	// OthersWaiting is the sum of OwnerFrame.Waiting of the gate's other owners, followed by
	// the number of linked owners that do not report theirs, if there are any; see package
	// loadview.
	OthersWaiting []int
	// Leaving is the least time until the process of a draining target ends; 0 if it is unknown
	// or the target is not draining.
	Leaving time.Duration
	// Cold is how long the target still runs slowly after its start.
	Cold time.Duration
}

// RunState is the state of a run as reported to its owner.
type RunState struct {
	Name   job.RunName
	Queued bool
	// Running says that the target has started the run. A run that is neither queued nor
	// running was sent to the target and has not been confirmed.
	Running bool
	// End is set if the run has ended.
	End        EndKind
	Checkpoint string
	// Ran is how long the run took; 0 if that is unknown.
	Ran time.Duration
	// Reason is why a run was rejected, or ReasonBehind or ReasonLeaving.
	Reason string
}

// Frame is a message to an owner.
type Frame struct {
	Clock    Time
	Received uint64
	Report   Report
	States   []RunState
	// Inventory says that States contains every run that concerns the owner.
	Inventory bool
	Adopted   []string
}

// sendState queues a run's state for its owner. An unclaimed run is reported to all owners: its
// job may be lost, and its end still needs a verdict.
func (g *Gate) sendState(r *run) {
	if r.owner == "" {
		for _, o := range g.owners {
			o.sendState(r)
		}
		return
	}
	if o := g.owners[r.owner]; o != nil {
		o.sendState(r)
	}
}

func (o *ownerState) sendState(r *run) {
	if !o.open {
		return
	}
	o.states = append(o.states, r)
	o.notify()
}

// reportChanged sends a new report to all owners.
func (g *Gate) reportChanged() {
	g.reported++
	if g.onReport != nil {
		g.onReport()
	}
}

// OnReport sets a function that is called when there is a new report for all owners.
func (g *Gate) OnReport(changed func()) { g.onReport = changed }

// Reported returns how often the report has changed.
func (g *Gate) Reported() uint64 { return g.reported }

// Pending reports whether there is more to send to an owner than a report.
func (g *Gate) Pending(owner string) bool {
	o := g.owners[owner]
	return o != nil && (len(o.states) > 0 || o.inventory)
}

// HasRuns reports whether the gate has runs of the owner, or unclaimed ones.
func (g *Gate) HasRuns(owner string) bool {
	for _, r := range g.runs {
		if r.owner == owner || r.owner == "" {
			return true
		}
	}
	return false
}

// OpenOwners returns the number of linked owners.
func (g *Gate) OpenOwners() int {
	n := 0
	for _, o := range g.owners {
		if o.open {
			n++
		}
	}
	return n
}

// LinkedOwners returns the linked owners.
func (g *Gate) LinkedOwners() []string {
	var linked []string
	for name, o := range g.owners {
		if o.open {
			linked = append(linked, name)
		}
	}
	return linked
}

// Flush returns the next frame for an owner; ok is false if the link is not the newest or the
// owner incarnation has ended.
func (g *Gate) Flush(now Time, owner string, link uint64) (f Frame, ok bool) {
	o := g.owners[owner]
	if o == nil || o.link != link {
		return Frame{}, false
	}
	f = Frame{Clock: now, Received: o.received, Report: g.report(now)}
	f.Report.OthersWaiting = g.load.Others(now, owner)
	if o.inventory {
		o.inventory = false
		f.Inventory = true
		f.Adopted = g.adoptedBy(owner)
		for _, r := range g.runs {
			if r.owner == owner || r.owner == "" {
				f.States = append(f.States, r.state())
			}
		}
		f.States = append(f.States, g.lossesFor(now, owner)...)
		o.states = nil
		return f, true
	}
	for _, r := range o.states {
		f.States = append(f.States, r.state())
	}
	o.states = nil
	return f, true
}

// Stall describes why runs stay queued although the gate is open.
type Stall struct {
	Waiting, Runs, Listed int
	Used, Capacity        job.Resources
	Suspect, Lapsing      bool
	Seen                  int64
	Oldest                time.Duration
	// Next is the end that has to be acknowledged next, NextOwner its owner.
	Next             RunState
	NextOwner        string
	NextAcknowledged bool
}

// stallAfter is how long a run must be queued to count as stalled.
const stallAfter = 3 * time.Second

// Stalled returns a description of the stall; ok is false if no run has been queued for long.
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
		s.NextAcknowledged = next.acknowledged
	}
	return s, true
}

func (g *Gate) adoptedBy(owner string) []string {
	var incarnations []string
	for incarnation, by := range g.adopted {
		if by == owner {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

func (g *Gate) report(now Time) Report {
	return Report{
		TargetID: g.current.ID, Service: g.service, Capacity: g.capacity, Free: g.capacity.Minus(g.used),
		Queued: g.queued(), Labels: g.labels, Open: g.Open(now), Evacuated: g.evacuated(), Slowness: g.health.slownessAt(now),
		Suspect: g.health.suspect && !g.health.mayStart(now), MedianSlowness: g.MedianSlowness(now),
		Leaving: g.reportedLeaving(now), Cold: g.coldLeft(now),
	}
}

func (r *run) state() RunState {
	reason := r.reason
	switch {
	case r.phase != phaseRunning:
	case r.progress.listing.reported:
		reason = ReasonLeaving
	case r.progress.reported:
		reason = ReasonBehind
	}
	return RunState{
		Name: r.RunName, Queued: r.phase == phaseQueued,
		Running: r.phase == phaseRunning,
		End:     r.end, Checkpoint: r.checkpoint, Ran: r.ran, Reason: reason,
	}
}
