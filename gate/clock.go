package gate

import "time"

// targetClock returns a lower bound of the target's clock.
func (g *Gate) targetClock(now Time) int64 {
	passed := float64(now-g.clockAt) * (1 - clockSlack)
	return g.clockMS + time.Duration(passed).Milliseconds()
}

// updateClock records a clock reading of the current incarnation.
func (g *Gate) updateClock(now Time, clockMS int64) {
	if clockMS == 0 {
		return
	}
	if g.clockMS == 0 || clockMS >= g.targetClock(now) {
		g.clockMS = clockMS
		g.clockAt = now
	}
}

// resetClock records the first clock reading of an incarnation. Orders of an earlier process,
// or to the previous incarnation, may have granted it the longest lease.
func (g *Gate) resetClock(now Time, clockMS int64) {
	g.clockMS = clockMS
	g.clockAt = now
	g.grantedMS = clockMS + g.options.Lease.Milliseconds()
	g.inheritedMS = min(g.formerGrantedMS, clockMS+g.options.LongestLease.Milliseconds())
}
