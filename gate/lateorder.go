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
	// lateOrderWait is how long a hold may wait for an end meanwhile, and lateOrderPause the
	// time between a hold that has failed and the next. With the usual pause of 60 ms a
	// newer life carried out 61 of 62 late starts that came 10 ms after its beginning.
	lateOrderWait  = 20 * time.Millisecond
	lateOrderPause = 5 * time.Millisecond
	// lateOrderTimeout is the time given meanwhile to a hold beside another, beyond its wait:
	// it makes room for the next, which may be the first to reach a newer life.
	lateOrderTimeout = 60 * time.Millisecond
)

// noteLateOrder takes in that a start got no answer to one of its tries.
func (g *Gate) noteLateOrder(now Time) {
	g.lateOrdersUntil = now + lateOrderSpan
}

// expectsLateOrders says whether starts that got no answer, or that still wait for one, may be
// carried out later.
func (g *Gate) expectsLateOrders(now Time) bool {
	if now < g.lateOrdersUntil {
		return true
	}
	for _, r := range g.runs {
		if r.phase == phaseStarting && r.owner != "" {
			return true
		}
	}
	return false
}

// OnConnectionLost takes in that a connection to the target was refused or has broken: it may
// have crashed, so that the next call may be the first to a newer life.
func (g *Gate) OnConnectionLost(now Time) {
	if g.fence != 0 && g.ordered && g.expectsLateOrders(now) {
		g.raiseFence()
	}
}
