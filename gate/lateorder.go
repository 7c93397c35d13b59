package gate

import "time"

// An unanswered start may still be carried out seconds later. For the incarnation that it was
// meant for it is harmless, because its lease has expired. A newer incarnation under the same
// id has a new clock and carries it out, unless it has seen a higher token. While such starts
// may be in transit, the gate therefore polls for a newer incarnation more often, and the first
// call that may reach one carries a higher token.

const (
	// lateOrderMaxDelay is how long after it was given up a start may still be carried out.
	lateOrderMaxDelay = 15 * time.Second
	// lateOrderWait is how long a hold may wait during lateOrderMaxDelay. A start that is still
	// waiting for its answer does not shorten the wait: under load there nearly always is one.
	lateOrderWait = 20 * time.Millisecond
	// minLateOrderPause is the shortest time between a failed hold and the next one. A longer
	// pause lets a newer incarnation carry out late starts before it sees a higher token: with
	// failurePause, 61 of 62 starts that came 10 ms after its beginning were carried out.
	minLateOrderPause = 5 * time.Millisecond
	// minLateOrderTimeout is the shortest time allowed for a parallel hold in addition to its
	// wait. Its end makes room for the next hold, which may be the first to reach a newer
	// incarnation.
	minLateOrderTimeout = 60 * time.Millisecond
	// Pause and timeout grow with the time since the target's last answer, divided by these, up
	// to their usual values: each poll costs a connection, and the target may never come back.
	pauseDivisor   = 10
	timeoutDivisor = 4
)

// recordLateOrder records that a try of a start was not answered.
func (g *Gate) recordLateOrder(now Time) {
	g.lateOrdersUntil = now + lateOrderMaxDelay
}

// hasLateOrders reports whether unanswered starts may still be carried out.
func (g *Gate) hasLateOrders(now Time) bool { return now < g.lateOrdersUntil }

// expectsLateOrders reports whether starts that are unanswered or still waiting for their
// answer may be carried out later.
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

// pauseAfterFailure returns the time between a failed hold and the next one. It is also short
// while the end of a deregistered target is awaited.
func (g *Gate) pauseAfterFailure(now Time) time.Duration {
	if !g.expectsLateOrders(now) && !g.deregistered() {
		return failurePause
	}
	return min(max((now-g.lastAnswer)/pauseDivisor, minLateOrderPause), failurePause)
}

// holdTimeout returns the time allowed for a hold in addition to its wait; beside says that
// others are in flight.
func (g *Gate) holdTimeout(now Time, beside bool) time.Duration {
	if !beside || !g.expectsLateOrders(now) {
		return holdTimeout
	}
	return min(max((now-g.lastAnswer)/timeoutDivisor, minLateOrderTimeout), holdTimeout)
}

// OnConnectionLost handles a refused or broken connection to the target. The target may have
// crashed, so the next call may be the first to reach a newer incarnation.
func (g *Gate) OnConnectionLost(now Time) {
	if g.fence != 0 && g.ordered && g.expectsLateOrders(now) {
		g.raiseFence()
	}
}
