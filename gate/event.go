package gate

import (
	"time"

	"rackspur/job"
)

// StopReason says why a gate stops a run.
type StopReason string

// The reasons for a stop.
const (
	StopOrdered     StopReason = "ordered by its owner"
	StopOwnerSilent StopReason = "no contact with its owner"
	StopOwnerOver   StopReason = "its owner's life is over"
	StopUnclaimed   StopReason = "claimed by no owner"
	StopDiscarded   StopReason = "its end must not count"
	StopUnanswered  StopReason = "start unanswered, run not listed"
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
}

// mostEvents is how many events are kept until they are taken: a gate has some tens
// of runs.
const mostEvents = 200

// note keeps an event about a run for the log.
func (g *Gate) note(now Time, kind EventKind, r *run, reason StopReason) {
	if len(g.events) >= mostEvents {
		return
	}
	e := Event{Kind: kind, Run: r.RunName, Owner: r.owner, Reason: reason, LeaseLeft: g.leaseLeft(now)}
	if contact := g.contactWith(r); contact != 0 {
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

// leaseLeft returns how much of the newest lease is left, by the target's clock.
func (g *Gate) leaseLeft(now Time) time.Duration {
	return time.Duration(max(0, g.grantedMS-g.executorClock(now))) * time.Millisecond
}

// contactWith returns the newest proof that a run's owner lives; 0 if there is none.
func (g *Gate) contactWith(r *run) Time {
	o := g.owners[r.owner]
	switch {
	case o == nil:
		return 0
	case r.bestEffort:
		return o.contact
	}
	return o.keptContact
}

// stopRun has a run stopped; the calls follow with stopWhatMust. From then on others
// count on its end, except for a run that may not have started: its owner waits for the
// gate's word.
// The first stop with others counting on it bounds the lease, also after one without.
func (g *Gate) stopRun(now Time, r *run, reason StopReason) {
	if r.stopBy == 0 && reason != StopUnanswered {
		r.stopBy = g.mustEndBy(r)
	}
	if r.stop {
		return
	}
	r.stop = true
	g.note(now, EventStop, r, reason)
}
