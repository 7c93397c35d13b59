package node

import (
	"testing"
	"time"
)

// All runs that a lost entry box has started must end before its callers resubmit.
func TestBestEffortContact(t *testing.T) {
	for _, tc := range []struct{ resubmit, want time.Duration }{
		{0, 850 * time.Millisecond},
		{1300 * time.Millisecond, 850 * time.Millisecond},
		{5 * time.Second, 850 * time.Millisecond},
		{time.Second, 550 * time.Millisecond},
		{700 * time.Millisecond, minBestEffortContactTimeout},
	} {
		o := Options{ResubmitDelay: tc.resubmit}
		if got := o.bestEffortContactTimeout(); got != tc.want {
			t.Errorf("resubmission after %v: contact %v, want %v", tc.resubmit, got, tc.want)
		}
	}
}

// No gate may continue a best-effort run beyond the time after which owners presume the
// runs of a silent gate ended, whatever the resubmission delay.
func TestBestEffortRunsAreOverWhenOwnersThinkSo(t *testing.T) {
	// sinceHeard and lapse are constants of packages owner (maxSinceHeard) and gate
	// (bestEffortGrace); over is computed as owner.overAfter does.
	const sinceHeard, lapse = 500 * time.Millisecond, 400 * time.Millisecond
	for _, resubmit := range []time.Duration{1300 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		o := Options{ResubmitDelay: resubmit, MaxLease: time.Second}
		g := gateOptions(o, "a~1")
		over := g.ContactTimeout + g.Lease*103/100 + 250*time.Millisecond
		if most := sinceHeard + g.BestEffortContactTimeout + lapse; most > over {
			t.Errorf("resubmission after %v: runs continue for %v after the last frame of their gate, owners replace them after %v", resubmit, most, over)
		}
	}
}
