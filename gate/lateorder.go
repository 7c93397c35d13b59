package gate

import "time"

// A start that got no answer may still be carried out, seconds later. The lease that it bears
// makes it harmless to the life that it was meant for, but a newer life under the same id begins
// its clock anew: it carries the start out unless it has seen a higher token by then. While such
// starts may be on their way, the gate therefore looks for a newer life more often, and the first
// call that may reach one bears a token above theirs.

const (
	// lateOrderSpan is how long after it was given up a start may be carried out at the latest.
	lateOrderSpan = 15 * time.Second
	// lateOrderWait is how long a hold may wait for an end meanwhile; a start that waits for
	// its answer does not shorten it, since under load one mostly does.
	lateOrderWait = 20 * time.Millisecond
	// leastLateOrderPause is the least time between a hold that has failed and the next. With
	// the usual pause of 60 ms a newer life carried out 61 of 62 late starts that came 10 ms
	// after its beginning.
	leastLateOrderPause = 5 * time.Millisecond
	// leastLateOrderTimeout is the least time given to a hold beside another, beyond its
	// wait: it makes room for the next, which may be the first to reach a newer life.
	leastLateOrderTimeout = 60 * time.Millisecond
	// Both grow with the time since the target last answered, by these parts of it, up to what
	// is usual: each look costs a connection, and targets that are gone for good stay
	// away.
	silencePerPause   = 10
	silencePerTimeout = 4
)

// noteLateOrder takes in that a start got no answer to one of its tries.
func (g *Gate) noteLateOrder(now Time) {
	g.lateOrdersUntil = now + lateOrderSpan
}

// hasLateOrders says whether starts that got no answer may still be carried out.
func (g *Gate) hasLateOrders(now Time) bool { return now < g.lateOrdersUntil }

// expectsLateOrders says whether starts that got no answer, or that still wait for one, may be
// carried out later.
func (g *Gate) expectsLateOrders(now Time) bool {
	if g.hasLateOrders(now) {
		return true
	}
	for _, r := range g.runs {
		if r.phase == phaseStarting && r.owner != "" {
			return true
		}
	}
	return false
}

// pauseAfterFailure returns the time between a hold that has failed and the next.
func (g *Gate) pauseAfterFailure(now Time) time.Duration {
	if !g.expectsLateOrders(now) {
		return failurePause
	}
	return min(max((now-g.heard)/silencePerPause, leastLateOrderPause), failurePause)
}

// holdTimeout returns the time given to a hold beyond its wait; beside says that others are
// under way.
func (g *Gate) holdTimeout(now Time, beside bool) time.Duration {
	if !beside || !g.expectsLateOrders(now) {
		return holdTimeout
	}
	return min(max((now-g.heard)/silencePerTimeout, leastLateOrderTimeout), holdTimeout)
}

// OnConnectionLost takes in that a connection to the target was refused or has broken: it may
// have crashed, so that the next call may be the first to a newer life.
func (g *Gate) OnConnectionLost(now Time) {
	if g.fence != 0 && g.ordered && g.expectsLateOrders(now) {
		g.raiseFence()
	}
}
