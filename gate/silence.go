package gate

import "errors"

// silentAfter is how long a target may answer no call before its gate stops accepting orders.
// It is twice the longest wait of a hold, so that a single lost answer does not count as
// silence.
const silentAfter = 2 * holdWait

// recordAnswer records the result of any call to the current incarnation.
func (g *Gate) recordAnswer(now Time, a Answer, err error) {
	if !g.fromNewer(a) {
		g.updateClock(now, a.ClockMS)
	}
	switch {
	case answered(err):
		g.recordContact(now)
	case errors.Is(err, ErrUnreachable):
		g.unreachable = true
	}
}

// recordContact records that the target has answered a call.
func (g *Gate) recordContact(now Time) {
	g.lastAnswer = now
	g.unreachable = false
}

// targetSilent reports whether the target appears to be down or unreachable. Orders sent to it
// would only wait for their lease to expire.
func (g *Gate) targetSilent(now Time) bool {
	return g.unreachable || now-g.lastAnswer > silentAfter
}

// reportOpen sends a report at once when the gate has opened or closed.
func (g *Gate) reportOpen(now Time) {
	if open := g.Open(now); open != g.reportedOpen {
		g.reportedOpen = open
		g.reportChanged()
	}
}
