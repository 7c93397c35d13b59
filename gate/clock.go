package gate

import "time"

// targetClock returns a lower bound of the target's clock.
func (g *Gate) targetClock(now Time) int64 {
	passed := float64(now-g.clockAt) * (1 - clockSlack)
	return g.clockMS + time.Duration(passed).Milliseconds()
}

// takeClock takes in the clock that came with a word of the life that is known.
func (g *Gate) takeClock(now Time, clockMS int64) {
	if clockMS == 0 {
		return
	}
	if g.clockMS == 0 || clockMS >= g.targetClock(now) {
		g.clockMS = clockMS
		g.clockAt = now
	}
}

// resetClock takes in the clock of a life that has answered for the first time. Orders of
// an earlier process, or to a former life, may have given it the longest lease.
func (g *Gate) resetClock(now Time, clockMS int64) {
	g.clockMS = clockMS
	g.clockAt = now
	g.grantedMS = clockMS + g.options.Lease.Milliseconds()
	g.leasedMS = min(g.formerMS, clockMS+g.options.LongestLease.Milliseconds())
}
