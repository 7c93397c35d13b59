package gate

import (
	"time"

	"rackspur/evacuation"
)

// UpdateEvacuations processes news of evacuations, with AsOf on the gate's clock. While its own
// failure domain is evacuated, the gate is closed: it starts nothing and returns queued runs to
// their owners, while active runs continue to their end.
//
// The gate decides because it is the last component before a start, and it goes by the newest
// news from its owners and the store. An owner that is cut off from the store may still send
// orders based on outdated news; the gate rejects them.
//
// Outdated news does not close the gate. While the store is unreachable, no evacuation can be
// acknowledged either, and closing would take the target out of service in every outage. The
// gate's process polls the store before its news gets that old.
func (g *Gate) UpdateEvacuations(now Time, n evacuation.News) Actions {
	if !n.Known() {
		return Actions{}
	}
	before := g.evacuated()
	g.evacuations = g.evacuations.Join(n)
	if g.evacuated() == before {
		return Actions{}
	}
	g.events = append(g.events, Event{Kind: g.evacuationEvent(), NewsAge: now - g.evacuations.AsOf})
	g.reportChanged()
	return g.startFromQueue(now, Actions{})
}

// evacuated reports whether the gate's failure domain is known to be evacuated.
func (g *Gate) evacuated() bool { return g.evacuations.Includes(g.options.Domain) }

func (g *Gate) evacuationEvent() EventKind {
	if g.evacuated() {
		return EventEvacuated
	}
	return EventRevoked
}

// EvacuationsAge returns an upper bound of the age of the newest news of evacuations, and
// whether the gate's failure domain is evacuated; known is false before the first news.
func (g *Gate) EvacuationsAge(now Time) (age time.Duration, evacuated, known bool) {
	return now - g.evacuations.AsOf, g.evacuated(), g.evacuations.Known()
}
