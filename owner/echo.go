package owner

import (
	"time"

	"rackspur/gate"
)

// echo returns the newest time on a gate's clock at which the owner was certainly
// alive: the time of the gate's newest frame plus the time since it arrived, as bounded
// by sinceHeard.
func (o *Owner) echo(v *gateView) gate.Time {
	if v.clock == 0 {
		return 0
	}
	return v.clock + sinceHeard(o.options.Now(), v.heard)
}

// sinceHeard returns how far the echo is ahead of the time in a gate's newest frame.
// The gate uses the echo to decide how long runs may go on. It is bounded, since a gate
// whose frames don't reach its owner must not count as being in contact for long.
func sinceHeard(now, heard Time) time.Duration {
	age := time.Duration(float64(now-heard) * minClockRate)
	return min(age, maxSinceHeard)
}

const (
	// minClockRate is the lowest rate of a gate's monotonic clock relative to the
	// owner's: each may deviate by 2%.
	minClockRate = 0.96
	// maxSinceHeard bounds sinceHeard. It keeps the time after which a best-effort run
	// ends well below overAfter: 0.5 + 0.85 + 0.4 s after its gate was last heard from.
	maxSinceHeard = 500 * time.Millisecond
)
