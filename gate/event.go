package gate

import (
	"time"

	"rackspur/job"
)

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// EventStop: a run is to be stopped.
	EventStop EventKind = iota + 1
	// EventFound: a run of an earlier process of the gate was found on the target.
	EventFound
	// EventClaimed: an owner has claimed such a run.
	EventClaimed
	// EventEvacuated: the gate's failure domain was evacuated. It refers to no run.
	EventEvacuated
	// EventRevoked: the evacuation was revoked. It refers to no run.
	EventRevoked
	// EventLost: an active run counts as over although the target has not listed its end.
	EventLost
	// EventListsSkipped: lists of the target were skipped because newer ones were processed
	// before. It refers to no run.
	EventListsSkipped
	// EventHeartbeatSkipped: a heartbeat was skipped because it is outdated, does not
	// identify its incarnation or names another service. It refers to no run.
	EventHeartbeatSkipped
	// EventRestart: the target has restarted under its id. It refers to no run.
	EventRestart
	// EventLeaving: the target has announced when its process ends. It refers to no run.
	EventLeaving
	// EventSecondOwner: an owner wants to start a task of which another owner's run is active.
	// Event.Run is that run.
	EventSecondOwner
)

// Event is an action or observation of a gate that is worth logging. Events are rare: a run
// that starts and ends normally causes none.
type Event struct {
	Kind   EventKind
	Run    job.RunName
	Owner  string
	Reason StopReason
	// ContactAge is the time since the last contact with the run's owner; 0 if there was none.
	ContactAge time.Duration
	// EndsIn is the time until a run that is being stopped has to have ended, negative once it is
	// overdue; 0 if that is unknown.
	EndsIn time.Duration
	// LeaseLeft is how much of the target's lease is left at least.
	LeaseLeft time.Duration
	// NewsAge is the age of the news about the evacuation.
	NewsAge time.Duration
	// Cause is why a run counts as over.
	Cause string
	// Skipped describes a skipped message.
	Skipped SkippedMessage
	// Incarnation is the target's incarnation, Former the one before a restart, and ActiveRuns the
	// number of runs that were active then.
	Incarnation, Former Incarnation
	ActiveRuns          int
	// TimeLeft is the least time until the target's process ends, Moves whether runs that can't
	// end before are reported to their owners.
	TimeLeft time.Duration
	Moves    bool
}

// SkippedMessage describes a message of the target that was skipped.
type SkippedMessage struct {
	// Got and Newest are the values that were compared: the target's clock in milliseconds for
	// lists, the sequence number for heartbeats.
	Got, Newest int64
	// Draining is the value in the skipped heartbeat.
	Draining bool
	// Times is the number of messages skipped since the last event of the kind.
	Times int
}

// Counts holds the gate's counters for metrics.
type Counts struct {
	ListsSkipped      int64
	HeartbeatsSkipped int64
	RunsLost          int64
	Restarts          int64
	RunsLeaving       int64
	// SecondOwners counts the events of kind EventSecondOwner.
	SecondOwners int64
	// EndsDiscarded counts the ends that must not count, Lapses how often the lease was let expire
	// for them.
	EndsDiscarded, Lapses int64
}

// Counts returns the counters.
func (g *Gate) Counts() Counts { return g.counts }

// skippedEventInterval is the minimum time between two events about skipped messages of one
// kind: with parallel holds, lists are skipped many times a second.
const skippedEventInterval = 2 * time.Second

// skippedLog limits the rate of the events about skipped messages of one kind.
type skippedLog struct {
	lastEvent Time
	times     int
}

// take counts a skipped message. If an event is due, it returns the number of messages that the
// event covers.
func (l *skippedLog) take(now Time) (times int, due bool) {
	l.times++
	if l.lastEvent != 0 && now-l.lastEvent < skippedEventInterval {
		return 0, false
	}
	times = l.times
	*l = skippedLog{lastEvent: now}
	return times, true
}

// recordSkipped records an event about a skipped message if one is due.
func (g *Gate) recordSkipped(now Time, kind EventKind, l *skippedLog, p SkippedMessage) {
	times, due := l.take(now)
	if !due || len(g.events) >= maxEvents {
		return
	}
	p.Times = times
	g.events = append(g.events, Event{Kind: kind, Skipped: p, LeaseLeft: g.leaseLeft(now)})
}

// skipHeartbeat counts a skipped heartbeat.
func (g *Gate) skipHeartbeat(now Time, b Heartbeat) {
	g.counts.HeartbeatsSkipped++
	g.recordSkipped(now, EventHeartbeatSkipped, &g.heartbeatsSkipped, SkippedMessage{Got: b.Sequence, Newest: g.sequence, Draining: b.Draining})
}

// skipLists counts skipped lists.
func (g *Gate) skipLists(now Time, a Answer) {
	g.counts.ListsSkipped++
	g.recordSkipped(now, EventListsSkipped, &g.listsSkipped, SkippedMessage{Got: a.ClockMS, Newest: g.listedMS})
}

// recordRestart counts a restart of the target under its id and records an event.
func (g *Gate) recordRestart(now Time, incarnation Incarnation) {
	g.counts.Restarts++
	if len(g.events) >= maxEvents {
		return
	}
	g.events = append(g.events, Event{Kind: EventRestart, Incarnation: incarnation, Former: g.current, ActiveRuns: g.activeRuns()})
}

// activeRuns returns the number of active runs.
func (g *Gate) activeRuns() int {
	n := 0
	for _, r := range g.runs {
		if r.active() {
			n++
		}
	}
	return n
}

// recordLeaving records the event that the target has announced its end.
func (g *Gate) recordLeaving(now Time) {
	if len(g.events) >= maxEvents {
		return
	}
	left := g.lifetime.leaves.left(now, g.knownClock(now))
	g.events = append(g.events, Event{Kind: EventLeaving, Incarnation: g.current, ActiveRuns: g.activeRuns(), TimeLeft: left, Moves: g.options.MoveLeaving})
}

// recordLost counts a run given up as over and records an event.
func (g *Gate) recordLost(now Time, r *run, cause string) {
	g.counts.RunsLost++
	if len(g.events) >= maxEvents {
		return
	}
	g.events = append(g.events, Event{Kind: EventLost, Run: r.RunName, Owner: r.owner, Cause: cause, LeaseLeft: g.leaseLeft(now)})
}

// maxEvents bounds the events kept between two calls of TakeEvents. A gate has some tens of
// runs.
const maxEvents = 200

// record records an event about a run.
func (g *Gate) record(now Time, kind EventKind, r *run, reason StopReason) {
	if len(g.events) >= maxEvents {
		return
	}
	e := Event{Kind: kind, Run: r.RunName, Owner: r.owner, Reason: reason, LeaseLeft: g.leaseLeft(now)}
	if contact, ok := g.lastContact(r); ok {
		e.ContactAge = now - contact
	}
	if r.stopBy != 0 {
		e.EndsIn = r.stopBy - now
	}
	g.events = append(g.events, e)
}

// recordSecondOwner records that an owner wants to start a task of which another owner's run is
// active here.
func (g *Gate) recordSecondOwner(now Time, r *run) {
	for name, other := range g.runs {
		if name.TaskName == r.TaskName && other.active() && other.owner != r.owner {
			g.counts.SecondOwners++
			g.record(now, EventSecondOwner, other, "")
		}
	}
}

// TakeEvents returns the events since the last call.
func (g *Gate) TakeEvents() []Event {
	taken := g.events
	g.events = nil
	return taken
}
