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
