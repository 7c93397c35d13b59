package gate

import "time"

// Bounds of what a leaving executor is still given.
const (
	// drainFactor is how many times its estimate a run must have left, and drainMargin
	// what must be left beyond, for it to end before the executor leaves.
	drainFactor = 2
	drainMargin = 150 * time.Millisecond
	// drainPatience is how long after it has said that it drains an executor is given
	// anything at all.
	drainPatience = 1500 * time.Millisecond
)

// drain takes in that the executor leaves.
func (g *Gate) drain(now Time, remaining time.Duration) {
	if !g.draining && remaining > 0 {
		g.leavesAt = now + min(remaining, drainPatience)
	}
	g.draining = true
}

// drained says whether nothing more can end before the executor leaves.
func (g *Gate) drained(now Time) bool {
	return g.draining && g.remaining(now) <= drainMargin
}

// remaining returns how long a leaving executor stays; 0 if it does not leave or that is
// not known.
func (g *Gate) remaining(now Time) time.Duration {
	if !g.draining || g.leavesAt == 0 {
		return 0
	}
	return max(0, g.leavesAt-now)
}

// EndsWithin says whether a run of so much estimated work is likely to end in a time.
func EndsWithin(estimate, left time.Duration) bool {
	return drainFactor*estimate+drainMargin <= left
}

// endsBeforeLeaving says whether a run may start as far as a leaving executor goes.
func (g *Gate) endsBeforeLeaving(now Time, r *run) bool {
	return !g.draining || EndsWithin(r.estimate, g.remaining(now))
}
