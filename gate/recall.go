package gate

import (
	"slices"

	"rackspur/job"
)

// Description is what a gate must know of an executor to give it work. An
// executor tells it in its heartbeats; a gate that has just started would wait for
// the next one.
type Description struct {
	Life
	Service  string        `json:"service"`
	Capacity job.Resources `json:"capacity"`
	Labels   []string      `json:"labels"`
	Draining bool          `json:"draining"`
}

// Equal says whether two descriptions say the same.
func (d Description) Equal(other Description) bool {
	return d.Life == other.Life && d.Service == other.Service && d.Capacity == other.Capacity &&
		d.Draining == other.Draining && slices.Equal(d.Labels, other.Labels)
}

// Description returns what the executor has told of itself; ok is false before
// its first heartbeat.
func (g *Gate) Description() (d Description, ok bool) {
	return Description{Life: g.life, Service: g.service, Capacity: g.capacity, Labels: g.labels, Draining: g.draining}, g.known
}

// TakeDescription returns the description if its heartbeats have changed it since it was
// last taken, or recalled.
func (g *Gate) TakeDescription() (d Description, changed bool) {
	d, known := g.Description()
	if !known || d.Equal(g.taken) {
		return Description{}, false
	}
	g.taken = d
	return d, true
}

// Recall takes in what an earlier process of this gate knew of its executor. It
// counts once a call that names that life is answered by it.
func (g *Gate) Recall(d Description) Actions {
	if g.known || !d.named() || g.pastLives[d.Life] {
		return Actions{}
	}
	if g.life != d.Life && g.life != (Life{}) && !g.namedBy(d.Life) {
		return Actions{}
	}
	g.life = d.Life
	g.recalled = d
	return Actions{HoldNow: true}
}

// confirmRecalled takes in that the life that was recalled is there.
func (g *Gate) confirmRecalled() {
	d := g.recalled
	if g.known || !d.named() || d.Life != g.life {
		return
	}
	g.known = true
	g.service = d.Service
	g.capacity = d.Capacity
	g.labels = d.Labels
	g.draining = d.Draining
	g.taken = d
	g.tellAll()
}
