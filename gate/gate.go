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
	// MaxHold is the longest lease that the executor grants.
	MaxHold time.Duration
	// Contact is how long runs go on without word from their owner.
	Contact time.Duration
	// BestEffortContact is the same for runs of jobs that are not kept.
	BestEffortContact time.Duration
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

	life      string
	pastLives map[string]bool
	service   string
	capacity  job.Resources
	labels    []string
	known     bool
	draining  bool
	// claimant is the newest heartbeat of a life that is not the one that answers.
	claimant Heartbeat
	// recalled is what an earlier process knew of the executor.
	recalled Description
	leaving  bool
	sequence int64
	// evacuations is the newest word of which failure domains are evacuated.
	evacuations evacuation.News

	fence uint64
	// clockMS was the executor's clock at clockAt.
	clockMS int64
	clockAt Time
	// grantedMS is the longest lease asked for, on the executor's clock: it may have been
	// given.
	grantedMS int64
	// listedMS is the executor's clock of the newest lists that were taken in.
	listedMS int64
	// held is when the executor last answered a hold, heard when it last answered
	// any call.
	held  Time
	heard Time
	// unreached is set while no connection to the executor can be made.
	unreached bool
	// toldOpen is whether owners were last told that the gate is open.
	toldOpen bool
	// surveyed is set once the executor has listed what an earlier process of
	// this gate has left there.
	surveyed bool
	// fullUntil is until when the executor is taken to have no room.
	fullUntil Time

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

	seen   int64
	listed map[int64]*run
	// lapsing is set while the lease is left to lapse.
	lapsing bool
	health  health
	// events are what has happened since they were last taken.
	events []Event
	counts Counts
	// listsPassed and heartbeatsPassed bound the events about words passed over.
	listsPassed, heartbeatsPassed passedOverLog
}

// New returns a gate that knows nothing yet.
func New(o Options) *Gate {
	return &Gate{
		options:   o,
		pastLives: map[string]bool{},
		runs:      map[job.RunName]*run{},
		owners:    map[string]*ownerState{},
		adopted:   map[string]string{},
		listed:    map[int64]*run{},
	}
}

// Actions are calls to the executor that follow from an event.
type Actions struct {
	Life   string
	Starts []StartCall
	Stops  []StopCall
	// HoldNow asks for a hold at once.
	HoldNow bool
}

// executorClock returns a lower bound of the executor's clock.
func (g *Gate) executorClock(now Time) int64 {
	passed := float64(now-g.clockAt) * (1 - clockSlack)
	return g.clockMS + time.Duration(passed).Milliseconds()
}

// takeClock takes in the clock that came with an answer.
func (g *Gate) takeClock(now Time, clockMS int64) {
	if clockMS == 0 {
		return
	}
	if clockMS >= g.executorClock(now) {
		g.clockMS = clockMS
		g.clockAt = now
	}
}

// OnHeartbeat takes in what the executor says of itself. It returns false for a
// word of an earlier life or a late one.
func (g *Gate) OnHeartbeat(now Time, b Heartbeat) (Actions, bool) {
	if g.pastLives[b.Life] {
		return Actions{}, false
	}
	if b.Life != g.life && (g.answersAs(now) || g.mayBeAtWork(now)) {
		g.claimant = b
		return Actions{HoldNow: true}, true
	}
	if b.Life != g.life {
		g.newLife(now, b.Life)
	} else if b.Sequence < g.sequence {
		g.counts.HeartbeatsPassedOver++
		g.recordPassedOver(now, EventHeartbeatPassedOver, &g.heartbeatsPassed, PassedOver{Got: b.Sequence, Newest: g.sequence, Draining: b.Draining})
		return Actions{}, true
	}
	g.sequence = b.Sequence
	g.known = true
	g.service = b.Service
	g.capacity = b.Capacity
	g.labels = b.Labels
	if b.Draining {
		g.draining = true
	}
	g.takeClock(now, b.ClockMS)
	g.tellAll()
	return g.startFromQueue(now, Actions{HoldNow: g.fence == 0}), true
}

// answersAs says whether the target has just answered calls that name the life that
// is known. A heartbeat of another life may then be one that was held up: an earlier
// process of this gate knew that life, and this one does not. The answer to the next
// call decides.
func (g *Gate) answersAs(now Time) bool {
	return g.known && g.life != "" && !g.targetSilent(now)
}

// mayBeAtWork says whether runs of the life that is known may be at work, as far as
// its lease tells.
func (g *Gate) mayBeAtWork(now Time) bool {
	if g.leaseOver(now) {
		return false
	}
	for _, r := range g.runs {
		if r.phase != phaseQueued && r.phase != phaseEnded {
			return true
		}
	}
	return false
}

// takeClaimant takes in the newest heartbeat of another life, once calls to the one
// that was known are turned away.
func (g *Gate) takeClaimant(now Time) Actions {
	b := g.claimant
	g.claimant = Heartbeat{}
	if b.Life == "" || b.Life == g.life {
		return Actions{}
	}
	a, _ := g.OnHeartbeat(now, b)
	return a
}

// endLife takes in that the life that is known is over, for good: a call that named it
// was turned away, or it has said so itself. A heartbeat of another life does not prove
// that: it may have been held up, and the gate would never use the newer life again.
func (g *Gate) endLife(now Time) {
	over := g.life
	g.newLife(now, "")
	g.pastLives[over] = true
}

// newLife takes in that another life of the executor has begun: what ran on the
// old one is over. The life that the gate found when it started takes its name
// from the first heartbeat.
func (g *Gate) newLife(now Time, life string) {
	if g.life == "" && g.fence != 0 {
		g.life = life
		return
	}
	for _, r := range g.runs {
		if r.phase == phaseQueued {
			continue
		}
		if r.phase != phaseEnded {
			g.recordLost(now, r, "the target's life is over")
			g.release(r)
			g.finish(now, r, EndLost, 0)
		}
		r.noted = true
		g.removeIfNoted(r)
	}
	g.life = life
	g.known = false
	g.draining = false
	g.fence = 0
	g.clockMS = 0
	g.listedMS = 0
	g.clockAt = now
	g.grantedMS = 0
	g.seen = 0
	g.listed = map[int64]*run{}
	g.lapsing = false
	g.health = health{}
}

// OnDeregister takes in that the executor has ended.
func (g *Gate) OnDeregister(now Time, life string) {
	if life != g.life {
		return
	}
	g.endLife(now)
	g.rejectQueue("executor left")
	g.tellAll()
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
	return g.known && !g.draining && !g.leaving && !g.evacuated() && !g.lapsing && g.fence != 0 && !g.targetSilent(now)
}
