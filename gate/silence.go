package gate

import "errors"

// silentAfter is how long an executor may answer no call at all before its gate
// takes no more orders: twice the longest wait of a hold, so that one lost answer
// is not taken for silence.
const silentAfter = 2 * holdWait

// takeAnswer takes in what came of a call, whatever was asked.
func (g *Gate) takeAnswer(now Time, a Answer, err error) {
	g.takeClock(now, a.ClockMS)
	switch {
	case answered(err):
		g.answeredNow(now)
	case errors.Is(err, ErrUnreached):
		g.unreached = true
	}
}

// answeredNow takes in that the target has answered a call.
func (g *Gate) answeredNow(now Time) {
	g.heard = now
	g.unreached = false
}

// targetSilent says whether the target is gone, cut off or stopped, as far as
// the gate can tell. What is sent to it then would only wait for its lease.
func (g *Gate) targetSilent(now Time) bool {
	return g.unreached || now-g.heard > silentAfter
}

// tellOpen tells the owners at once when the gate has opened or closed.
func (g *Gate) tellOpen(now Time) {
	if open := g.Open(now); open != g.toldOpen {
		g.toldOpen = open
		g.tellAll()
	}
}
