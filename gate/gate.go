// Package gate holds the gate beside an executor: the only one who orders it.
//
// Owners of jobs send it runs; the gate keeps the executor's room, starts runs
// in the order of their rank, keeps their lease alive as long as their owners
// are in contact, and reports ends. An end is noted at the executor only after
// its owner has made the end's effect durable.
//
// Gate is a pure state machine: events with their time come in, calls to the
// executor come out. Driver carries them out.
package gate

import (
	"time"

	"rackspur/evacuation"
	"rackspur/job"
)

// Time is the time on the gate's steady clock since its start.
type Time = time.Duration

// Options are the bounds that a gate works with.
type Options struct {
	Node        string
	Incarnation string
	// Domain is the failure domain of the gate and its target.
	Domain string
	// Service is the one that the target belongs to by the settings; "" if they name none.
	Service string
	// Lease is the longest lease that is asked for; the executor grants it.
	Lease time.Duration
	// LongestLease is the longest one that the target grants; 0 stands for Lease.
	LongestLease time.Duration
	// Contact is how long runs go on without word from their owner.
	Contact time.Duration
	// BestEffortContact is the same for runs of jobs that are not kept.
	BestEffortContact time.Duration
	// Unix returns the time of day in milliseconds of Unix time, for fencing tokens; the
	// default is that of the box.
	Unix func() int64
}

// Times of a gate.
const (
	// startLease bounds how late a start may be carried out.
	startLease = 500 * time.Millisecond
	// clockSlack covers an executor's clock that runs slow, in parts of a time.
	clockSlack = 0.03
	// lapseMargin is added to the time of a lapse.
	lapseMargin = 100 * time.Millisecond
	// resend is the time between two tries of a stop.
	resend = 150 * time.Millisecond
	// fullPause is how long nothing is started after the executor had no room
	// for a run that should have fitted.
	fullPause = 30 * time.Millisecond
)

type phase int

const (
	phaseQueued phase = iota
	phaseStarting
	// phaseUnsure: the start got no answer.
	phaseUnsure
	phaseRunning
	phaseEnded
)

// run is a run that the gate knows of.
type run struct {
	job.RunName
	owner      string
	spec       string
	need       job.Resources
	checkpoint string
	estimate   time.Duration
	rank       int64
	bestEffort bool
	order      uint64

	phase   phase
	arrived Time
	started Time
	// unsureSince is when the gate gave up waiting for the answer to the start.
	unsureSince Time
	// runningSince is when the gate learnt that the run runs.
	runningSince Time
	progress     progress
	// untilMS is the lease that the start carried.
	untilMS int64
	// found is when a run of nobody was found.
	found Time
	// former: the run was started in a former life of the target, under the id that the
	// one that is known has too. Until that has listed what it runs, the run may be at
	// work there: the start may have been carried out after the restart.
	former bool

	// stop is set once the run shall be stopped; stopSent is the last call.
	stop     bool
	stopSent Time
	// stopConfirmed is when a stop was answered.
	stopConfirmed Time
	// stopBy is when a run that is to be stopped must be over at the latest; 0 as long
	// as nobody counts on its stop, or no owner answers for it.
	stopBy Time

	end    EndKind
	number int64
	ran    time.Duration
	reason string
	// verdict
	noted     bool
	discarded bool
}

// ownerState is what the gate knows of an owner's life.
type ownerState struct {
	// contact is the newest time at which the owner surely was alive, keptContact the
	// newest that it has heard of while its lease in the store held; 0 before the first.
	contact     Time
	keptContact Time
	// connected is when the newest link was made.
	connected Time
	link      uint64
	received  uint64
	// open says whether a link is up.
	open      bool
	states    []*run
	inventory bool
	wake      func()
}

// Gate is the state machine.
type Gate struct {
	options Options

	lifeState
	// topFence is the highest fencing token that was used, for any life; fenceStep is
	// added to it when the target has seen a higher one.
	topFence  uint64
	fenceStep uint64
	// ordered: a start bore the token that is in use.
	ordered bool
	// lateOrdersUntil is until when starts that got no answer may be carried out.
	lateOrdersUntil Time
	pastLives       map[Life]bool
	// claims are the newest heartbeats of lives that are not the one that is known.
	claims []claim
	// recalled is what an earlier process knew of the executor, taken what was last passed on
	// to be kept for the next.
	recalled, taken Description
	leaving         bool
	// evacuations is the newest word of which failure domains are evacuated.
	evacuations evacuation.News

	// held is when the executor last answered a hold, heard when it last answered
	// any call.
	held  Time
	heard Time
	// unreached is set while no connection to the executor can be made.
	unreached bool
	// toldOpen is whether owners were last told that the gate is open.
	toldOpen bool
	// looked is when the gate last looked for runs without an owner in contact.
	looked Time

	runs    map[job.RunName]*run
	used    job.Resources
	queue   queue
	orders  uint64
	owners  map[string]*ownerState
	adopted map[string]string
	// reported counts the changes of the report, onReport is told of each.
	reported uint64
	onReport func()

	// events are what has happened since they were last taken.
	events []Event
	counts Counts
	// listsPassed and heartbeatsPassed bound the events about words passed over.
	listsPassed, heartbeatsPassed passedOverLog
}

// New returns a gate that knows nothing yet.
func New(o Options) *Gate {
	if o.Unix == nil {
		o.Unix = func() int64 { return time.Now().UnixMilli() }
	}
	return &Gate{
		options:   o,
		fenceStep: firstFenceStep,
		pastLives: map[Life]bool{},
		runs:      map[job.RunName]*run{},
		owners:    map[string]*ownerState{},
		adopted:   map[string]string{},
		lifeState: newLifeState(Life{}, 0),
	}
}

// Actions are calls to the executor that follow from an event.
type Actions struct {
	Life   Life
	Starts []StartCall
	Stops  []StopCall
	// HoldNow asks for a hold at once.
	HoldNow bool
	// HoldAfresh asks for one over a new connection, in place of those under way: they may
	// wait for a life of the target that is over.
	HoldAfresh bool
}

// Leave makes the gate take no more orders.
func (g *Gate) Leave() {
	g.leaving = true
	g.rejectQueue("leaving")
	g.tellAll()
}

// rejectQueue gives all waiting runs back to their owners.
func (g *Gate) rejectQueue(reason string) {
	for _, r := range g.queue.takeAll() {
		g.reject(r, reason)
	}
}

// Idle says whether nothing is queued, runs, or waits for its end to be noted.
func (g *Gate) Idle() bool {
	return len(g.runs) == 0
}

// Open says whether the gate takes orders.
func (g *Gate) Open(now Time) bool {
	return g.known && !g.draining && !g.claimedDraining() && !g.leaving && !g.evacuated() && !g.lapsing && g.fence != 0 && g.knowsRuns(now) && !g.targetSilent(now)
}
