// Package gate implements the gate, the only component that sends calls to a target.
//
// Owners of jobs send it runs. The gate tracks the target's capacity, starts runs in order of
// rank, renews the target's lease while their owners are in contact, and reports how runs end.
// It acknowledges an end to the target only once the owner has made the result durable.
//
// Gate is a pure state machine: timestamped events go in, calls to the target come out. Driver
// carries out these calls.
//
// A hold is a long-polling call that renews the lease of everything that runs on the target and
// returns the lists of its running and finished runs.
package gate

import (
	"time"

	"rackspur/evacuation"
	"rackspur/job"
	"rackspur/loadview"
)

// Time is the monotonic time since the gate started.
type Time = time.Duration

// Options configures a Gate.
type Options struct {
	Node        string
	Incarnation string
	// Domain is the failure domain of the gate and its target.
	Domain string
	// Service is the configured service of the target; empty if none is configured.
	Service string
	// Lease is the longest lease that the gate asks for.
	Lease time.Duration
	// LongestLease is the longest lease that the target grants; 0 means Lease.
	LongestLease time.Duration
	// ContactTimeout is how long runs of durable jobs continue without contact to their owner.
	ContactTimeout time.Duration
	// BestEffortContactTimeout is the same for runs of best-effort jobs.
	BestEffortContactTimeout time.Duration
	// MoveLeaving reports runs that can't end before a draining target ends, so that their owners
	// move them.
	MoveLeaving bool
	// Unix returns the wall-clock time in Unix milliseconds, from which fencing tokens are
	// derived. The default is the clock of the box.
	Unix func() int64
}

// Timing parameters of a gate.
const (
	// startLease bounds the lease that a start carries, and with it how late the target may
	// carry the start out.
	startLease = 500 * time.Millisecond
	// clockSlack is the fraction by which the target's clock may run slow.
	clockSlack = 0.03
	// lapseMargin is added to the computed end of a lease.
	lapseMargin = 100 * time.Millisecond
	// stopInterval is the time between two attempts to stop a run.
	stopInterval = 150 * time.Millisecond
	// fullPause is how long nothing is started after the target had no room for a run that
	// should have fitted.
	fullPause = 30 * time.Millisecond
)

type phase int

const (
	phaseQueued phase = iota
	phaseStarting
	// phaseUnknown: the start was not answered, so the run may or may not exist.
	phaseUnknown
	phaseRunning
	phaseEnded
)

// run is the gate's record of a run.
type run struct {
	job.RunName
	owner      string
	spec       string
	need       job.Resources
	checkpoint string
	estimate   time.Duration
	rank       int64
	bestEffort bool
	// alone: see Order.Alone.
	alone bool
	order uint64

	phase   phase
	arrived Time
	started Time
	// startedMS is the target's clock, as estimated, when the run was started.
	startedMS int64
	// unknownSince is when the gate stopped waiting for the answer to the start.
	unknownSince Time
	// runningSince is when the gate learned that the run is running.
	runningSince Time
	progress     progress
	// untilMS is the end of the lease that the start carried, on the target's clock.
	untilMS int64
	// foundAt is when the run was found on the target without a known owner.
	foundAt Time
	// ofFormerIncarnation: the run was started in the target's previous incarnation, under the
	// same id. Its start may have been carried out after the restart, so the run may be active
	// until the new incarnation has listed its runs.
	ofFormerIncarnation bool
	// overReason is why the run is lost if the newer incarnation does not list it.
	overReason string

	// mustStop is set once the run is to be stopped; stopSent is when the last stop was sent.
	mustStop bool
	stopSent Time
	// stopConfirmed is when the target answered a stop.
	stopConfirmed Time
	// stopBy is when a run that is being stopped must have ended at the latest; 0 while nothing
	// depends on the stop, or while the run has no owner.
	stopBy Time

	end    EndKind
	number int64
	// ran is how long the run took; 0 if that is unknown.
	ran    time.Duration
	reason string
	// acknowledged: the owner has accepted the end, or no owner has to. discarded: the end must
	// not count.
	acknowledged bool
	discarded    bool
}

// ownerState is the state of one owner incarnation.
type ownerState struct {
	// contact is the latest time at which the owner is known to have been alive, durableContact
	// the latest such time that the owner received while its lease in the store was valid,
	// which runs of durable jobs depend on; 0 before the first.
	contact        Time
	durableContact Time
	// connected is when the newest link was opened.
	connected Time
	link      uint64
	received  uint64
	// open says whether a link is open.
	open      bool
	states    []*run
	inventory bool
	wake      func()
}

// Gate is the state machine that controls one target.
type Gate struct {
	options Options

	incarnationState
	// maxFence is the highest fencing token used in any incarnation of the target. fenceStep is
	// added to it when the target has seen a higher one.
	maxFence  uint64
	fenceStep uint64
	// ordered: a start has carried the current fencing token.
	ordered bool
	// lateOrdersUntil is until when unanswered starts may still be carried out.
	lateOrdersUntil   Time
	endedIncarnations map[Incarnation]bool
	// candidates holds the newest heartbeat of each incarnation other than the current one.
	candidates []candidate
	// recalled is the target's description as stored by an earlier process; published is the
	// description that was last handed out to be stored.
	recalled, published Description
	leaving             bool
	// evacuations is the newest known set of evacuated failure domains.
	evacuations evacuation.News

	// lastHoldAnswer is when the target last answered a hold, lastAnswer when it last answered
	// any call.
	lastHoldAnswer Time
	lastAnswer     Time
	// unreachable is set while no connection to the target can be established.
	unreachable bool
	// reportedOpen is whether the last report said that the gate is open.
	reportedOpen bool
	// lastOverdueCheck is when the gate last looked for runs whose owner is out of contact.
	lastOverdueCheck Time

	runs    map[job.RunName]*run
	used    job.Resources
	queue   queue
	orders  uint64
	owners  map[string]*ownerState
	adopted map[string]string
	// load is the waiting work of the linked owners.
	load loadview.Table
	// reported counts the changes of the report; onReport is called on each.
	reported uint64
	onReport func()

	// losses are the newest runs that were lost with the target.
	losses []*loss
	// events holds what has happened since the last TakeEvents.
	events []Event
	counts Counts
	// listsSkipped and heartbeatsSkipped limit the rate of the events about skipped lists and
	// heartbeats.
	listsSkipped, heartbeatsSkipped skippedLog
}

// New returns a gate in its initial state.
func New(o Options) *Gate {
	if o.Unix == nil {
		o.Unix = func() int64 { return time.Now().UnixMilli() }
	}
	return &Gate{
		options:           o,
		fenceStep:         minFenceStep,
		endedIncarnations: map[Incarnation]bool{},
		runs:              map[job.RunName]*run{},
		owners:            map[string]*ownerState{},
		adopted:           map[string]string{},
		incarnationState:  newIncarnationState(Incarnation{}, 0),
	}
}

// Actions are the calls to the target that result from an event.
type Actions struct {
	Incarnation Incarnation
	Starts      []StartCall
	Stops       []StopCall
	// HoldNow requests a hold immediately.
	HoldNow bool
	// ReplaceHolds requests a hold over a new connection that replaces those in flight, which may
	// be waiting for an incarnation that has ended.
	ReplaceHolds bool
}

// Leave closes the gate for good, because its process shuts down.
func (g *Gate) Leave() {
	g.leaving = true
	g.rejectQueue("leaving")
	g.reportChanged()
}

// rejectQueue returns all queued runs to their owners.
func (g *Gate) rejectQueue(reason string) {
	for _, r := range g.queue.takeAll() {
		g.reject(r, reason)
	}
}

// Idle reports whether no run is queued, active or waiting for its end to be acknowledged.
func (g *Gate) Idle() bool {
	return len(g.runs) == 0
}

// Open reports whether the gate accepts orders.
func (g *Gate) Open(now Time) bool {
	return g.known && !g.draining && !g.deregistered() && !g.candidateDraining() && !g.leaving && !g.evacuated() && !g.lapsing && g.fence != 0 && g.knowsRuns(now) && !g.targetSilent(now)
}
