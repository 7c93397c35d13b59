package owner

import (
	"time"

	"rackspur/gate"
)

// echo is the newest time of a gate at which the owner surely was alive: that of the
// newest word of the gate and what has passed since.
func (o *Owner) echo(v *gateView) gate.Time {
	if v.clock == 0 {
		return 0
	}
	return v.clock + sinceHeard(o.options.Now(), v.heard)
}

// sinceHeard is how much younger than the newest word of a gate the owner's own life is
// known to be: a gate goes by it to tell how long runs may go on. It is bounded, since a
// gate that does not reach its owner must not count as being in contact for long.
func sinceHeard(now, heard Time) time.Duration {
	age := time.Duration(float64(now-heard) * slowestClock)
	return min(age, mostSinceHeard)
}

const (
	// slowestClock is how fast a gate's steady clock runs at least beside the owner's, in
	// parts of its speed: the platform's 2% slow, twice.
	slowestClock = 0.96
	// mostSinceHeard bounds sinceHeard. With it a best-effort run ends at most 0.5 + 0.85
	// + 0.4 s after its gate was last heard of, well below overAfter.
	mostSinceHeard = 500 * time.Millisecond
)
