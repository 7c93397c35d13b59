package test

import (
	"math/rand/v2"
	"time"
)

// platformBounds are the bounds in the settings of a deployment: the platform's limits
// and what callers and operators may rely on.
type platformBounds struct {
	// maxHold is the longest lease that a target grants.
	maxHold time.Duration
	// retransmit is how long after a lost answer callers submit a job again. evacuate is
	// the time after which nothing may start in an evacuated domain. 0 omits the setting.
	retransmit, evacuate time.Duration
	// keepFinished is how long the state of an ended job can be queried.
	keepFinished time.Duration
	// grace is the time between SIGTERM and SIGKILL.
	grace time.Duration
}

// usualBounds are the bounds of most deployments.
var usualBounds = platformBounds{maxHold: time.Second, keepFinished: 2 * time.Minute, grace: 4 * time.Second}

// settings returns the bounds as they stand in the settings file.
func (b platformBounds) settings() map[string]any {
	s := map[string]any{"maxHoldMs": b.maxHold.Milliseconds(), "status_s": b.keepFinished.Seconds(), "graceS": b.grace.Seconds()}
	if b.retransmit > 0 {
		s["retransmitMs"] = b.retransmit.Milliseconds()
	}
	if b.evacuate > 0 {
		s["evacuateMs"] = b.evacuate.Milliseconds()
	}
	return s
}

// drawnBoundsFrom is the first seed whose soak draws random bounds; lower seeds use
// usualBounds.
const drawnBoundsFrom = 1 << 40

// soakBounds returns the bounds of a soak. No random bound is tighter than what the
// soak's callers and checks rely on.
func soakBounds(seed uint64) platformBounds {
	if seed < drawnBoundsFrom {
		return usualBounds
	}
	random := rand.New(rand.NewPCG(seed, boundsPart))
	pick := func(of ...time.Duration) time.Duration { return of[random.IntN(len(of))] }
	return platformBounds{
		maxHold:      pick(500*time.Millisecond, time.Second, 3*time.Second, 15*time.Second, 5*time.Minute),
		retransmit:   pick(0, time.Second, longResend),
		evacuate:     pick(0, evacuateBound),
		keepFinished: pick(time.Minute, 2*time.Minute, time.Hour),
		grace:        pick(4*time.Second, 6*time.Second, 20*time.Second),
	}
}
