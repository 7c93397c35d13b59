package gate

import (
	"time"

	"rackspur/job"
)

// EventKind says what a gate has done or found that an operator may ask for later.
type EventKind int

// The kinds of events.
const (
	// EventStop: a run is to be stopped.
	EventStop EventKind = iota + 1
	// EventFound: a run of an earlier process of the gate was found at the target.
	EventFound
	// EventClaimed: an owner has claimed such a run.
	EventClaimed
	// EventEvacuated: the gate's failure domain is evacuated. It concerns no run.
	EventEvacuated
	// EventTakenBack: the evacuation is taken back.
	EventTakenBack
	// EventLost: a run at work counts as over without an end that the target has listed.
	EventLost
	// EventListsPassedOver: the target's lists were passed over as overtaken by others.
	// It concerns no run.
	EventListsPassedOver
	// EventHeartbeatPassedOver: a heartbeat was passed over as late, or since it does not
	// tell which life it is of. It concerns no run.
	EventHeartbeatPassedOver
	// EventRestart: the target has started again under its id. It concerns no run.
	EventRestart
)

// Event is something that a gate has done or found. They are rare: no run that
// starts and ends as it should makes one.
type Event struct {
	Kind   EventKind
	Run    job.RunName
	Owner  string
	Reason StopReason
	// ContactAge is the age of the newest proof that the run's owner lives; 0 if there is
	// none.
	ContactAge time.Duration
	// LeaseLeft is how much of the target's lease is left at least.
	LeaseLeft time.Duration
	// NewsAge is the age of the news of an evacuation.
	NewsAge time.Duration
	// Cause says why a run counts as over.
	Cause string
	// Passed is given with a word of the target that was passed over.
	Passed PassedOver
	// Life is the target's new life, Former the one before, AtWork how many runs were at
	// work then.
	Life, Former Life
	AtWork       int
}

// PassedOver is a word of the target that was passed over since another is held to be
// newer.
type PassedOver struct {
	// Got and Newest are what the two were compared by: the target's clock in
	// milliseconds of lists, the sequence of heartbeats.
	Got, Newest int64
	// Draining is what the heartbeat said.
	Draining bool
	// Times is how many were passed over since the last event of the kind.
	Times int
}

// Counts are what the gate counts for metrics.
type Counts struct {
	ListsPassedOver      int64
	HeartbeatsPassedOver int64
	RunsLost             int64
	Restarts             int64
}

// Counts returns what was counted since the gate was made.
func (g *Gate) Counts() Counts { return g.counts }

// passedOverPause is the least time between two events of a kind about words that were
// passed over: while calls are hedged, lists are overtaken many times a second.
const passedOverPause = 2 * time.Second

// passedOverLog bounds the events about words that were passed over.
type passedOverLog struct {
	told  Time
	times int
}

// take counts a word and says whether an event is due, for how many.
func (l *passedOverLog) take(now Time) (times int, due bool) {
	l.times++
	if l.told != 0 && now-l.told < passedOverPause {
		return 0, false
	}
	times = l.times
	*l = passedOverLog{told: now}
	return times, true
}

// recordPassedOver keeps an event about a word that was passed over, if one is due.
func (g *Gate) recordPassedOver(now Time, kind EventKind, l *passedOverLog, p PassedOver) {
	times, due := l.take(now)
	if !due || len(g.events) >= mostEvents {
		return
	}
	p.Times = times
	g.events = append(g.events, Event{Kind: kind, Passed: p, LeaseLeft: g.leaseLeft(now)})
}

// passOverHeartbeat counts a heartbeat that is passed over.
func (g *Gate) passOverHeartbeat(now Time, b Heartbeat) {
	g.counts.HeartbeatsPassedOver++
	g.recordPassedOver(now, EventHeartbeatPassedOver, &g.heartbeatsPassed, PassedOver{Got: b.Sequence, Newest: g.sequence, Draining: b.Draining})
}

// passOverLists counts lists that are passed over.
func (g *Gate) passOverLists(now Time, a Answer) {
	g.counts.ListsPassedOver++
	g.recordPassedOver(now, EventListsPassedOver, &g.listsPassed, PassedOver{Got: a.ClockMS, Newest: g.listedMS})
}

// recordRestart counts that the target has started again under its id and keeps an event
// about it.
func (g *Gate) recordRestart(now Time, life Life) {
	g.counts.Restarts++
	if len(g.events) >= mostEvents {
		return
	}
	e := Event{Kind: EventRestart, Life: life, Former: g.life}
	for _, r := range g.runs {
		if r.atWork() {
			e.AtWork++
		}
	}
	g.events = append(g.events, e)
}

// recordLost counts a run that is held to be over and keeps an event about it.
func (g *Gate) recordLost(now Time, r *run, cause string) {
	g.counts.RunsLost++
	if len(g.events) >= mostEvents {
		return
	}
	g.events = append(g.events, Event{Kind: EventLost, Run: r.RunName, Owner: r.owner, Cause: cause, LeaseLeft: g.leaseLeft(now)})
}

// mostEvents is how many events are kept until they are taken: a gate has some tens
// of runs.
const mostEvents = 200

// record keeps an event about a run for the log.
func (g *Gate) record(now Time, kind EventKind, r *run, reason StopReason) {
	if len(g.events) >= mostEvents {
		return
	}
	e := Event{Kind: kind, Run: r.RunName, Owner: r.owner, Reason: reason, LeaseLeft: g.leaseLeft(now)}
	if contact, ok := g.contactWith(r); ok {
		e.ContactAge = now - contact
	}
	g.events = append(g.events, e)
}

// TakeEvents returns what has happened since the last call.
func (g *Gate) TakeEvents() []Event {
	taken := g.events
	g.events = nil
	return taken
}
