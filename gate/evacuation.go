package gate

import (
	"time"

	"rackspur/evacuation"
)

// TakeEvacuations takes in which failure domains are evacuated, as of a time on the
// gate's clock. While its own is, the gate is closed: it starts nothing and gives what
// waits back to its owners, and what runs ends by itself.
//
// The gate is the last that knows before a start, so it decides, by the newest of what
// its owners and the store have told it. An owner that is cut off from the store goes on
// giving orders by old news; a gate of its own knowledge does not carry them out.
//
// Old news is not taken for an evacuation: while nobody can reach the store nobody can
// have one acknowledged either, and a gate that closed then would take its target out of
// service in each outage. Its process looks into the store long before the bound instead
// (see node's evacuationWatch).
func (g *Gate) TakeEvacuations(now Time, n evacuation.News) Actions {
	if !n.Known() {
		return Actions{}
	}
	before := g.evacuated()
	g.evacuations = g.evacuations.Join(n)
	if g.evacuated() == before {
		return Actions{}
	}
	g.events = append(g.events, Event{Kind: g.evacuationEvent(), NewsAge: now - g.evacuations.AsOf})
	g.tellAll()
	return g.startFromQueue(now, Actions{})
}

// evacuated says whether the gate's failure domain is evacuated, as far as is known.
func (g *Gate) evacuated() bool { return g.evacuations.Includes(g.options.Domain) }

func (g *Gate) evacuationEvent() EventKind {
	if g.evacuated() {
		return EventEvacuated
	}
	return EventTakenBack
}

// EvacuationsAge returns how old the newest news of evacuations is at most, and whether
// the gate's failure domain is evacuated; known is false before the first news.
func (g *Gate) EvacuationsAge(now Time) (age time.Duration, evacuated, known bool) {
	return now - g.evacuations.AsOf, g.evacuated(), g.evacuations.Known()
}
