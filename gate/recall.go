package gate

import (
	"slices"

	"rackspur/job"
)

// Description is what a gate must know of its target to accept work. The target sends it with
// its heartbeats; it is stored so that a restarted gate need not wait for one.
type Description struct {
	Incarnation
	Service  string        `json:"service"`
	Capacity job.Resources `json:"capacity"`
	Labels   []string      `json:"labels"`
	Draining bool          `json:"draining"`
}

// Equal reports whether two descriptions are the same.
func (d Description) Equal(other Description) bool {
	return d.Incarnation == other.Incarnation && d.Service == other.Service && d.Capacity == other.Capacity &&
		d.Draining == other.Draining && slices.Equal(d.Labels, other.Labels)
}

// Description returns the target's current description; ok is false before the first heartbeat.
func (g *Gate) Description() (d Description, ok bool) {
	return Description{Incarnation: g.current, Service: g.service, Capacity: g.capacity, Labels: g.labels, Draining: g.draining}, g.known
}

// TakeDescription returns the description if it differs from the one last taken or restored.
func (g *Gate) TakeDescription() (d Description, changed bool) {
	d, known := g.Description()
	if !known || d.Equal(g.published) {
		return Description{}, false
	}
	g.published = d
	return d, true
}

// RestoreDescription provides the description stored by an earlier process of this gate. It
// takes effect once the incarnation that it names has answered a call. If the target is known
// already, only draining counts.
func (g *Gate) RestoreDescription(d Description) Actions {
	if g.known && d.Incarnation == g.current && d.Draining && !g.draining {
		g.draining = true
		g.reportChanged()
	}
	if g.known || !d.named() || g.endedIncarnations[d.Incarnation] {
		return Actions{}
	}
	if g.current != d.Incarnation && g.current != (Incarnation{}) && !g.identifies(d.Incarnation) {
		return Actions{}
	}
	g.current = d.Incarnation
	g.recalled = d
	return Actions{HoldNow: true}
}

// recalledDraining reports whether the restored description says that the current incarnation
// drains, which is never taken back. A heartbeat that does not say so was delayed.
func (g *Gate) recalledDraining() bool {
	return g.recalled.Draining && g.recalled.Incarnation == g.current
}

// confirmRecalled applies the restored description if it is of the current incarnation.
func (g *Gate) confirmRecalled() {
	d := g.recalled
	if g.known || !d.named() || d.Incarnation != g.current {
		return
	}
	g.known = true
	g.service = d.Service
	g.capacity = d.Capacity
	g.labels = d.Labels
	g.draining = d.Draining
	g.published = d
	g.reportChanged()
}
