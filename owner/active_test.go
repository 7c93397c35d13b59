package owner

import (
	"fmt"
	"testing"
	"time"
)

// Periodic work iterates over the linked gates only, not over the whole fleet.
func TestOwnerLooksAtNearGatesOnly(t *testing.T) {
	for _, fleet := range []int{40, 800, 1600} {
		b := newHarness(t)
		for i := range fleet {
			b.owner.AddGate(fmt.Sprintf("side-%d", i), "zone-a")
		}
		const linked = 30
		links := map[string]uint64{}
		for i := range linked {
			name := fmt.Sprintf("side-%d", i)
			links[name] = b.connect(name)
		}
		b.owner.Tick()
		if n := len(b.owner.activeGates); n != linked {
			t.Errorf("%d gates: %d are active, want %d", fleet, n, linked)
		}
		for name, link := range links {
			b.owner.LinkDown(name, link)
		}
		b.owner.Tick()
		if n := len(b.owner.activeGates); n != linked {
			t.Errorf("%d gates: %d are active right after their links are lost, want %d: they may have runs", fleet, n, linked)
		}
		// The owner ticks meanwhile, so it does not count as suspended.
		for end := b.now + b.owner.overAfter() + 2*busyInterval; b.now < end; b.now += 50 * time.Millisecond {
			b.owner.Tick()
		}
		if n := len(b.owner.activeGates); n != 0 {
			t.Errorf("%d gates: %d are active long after their links are lost, want none", fleet, n)
		}
		b.connect("side-3")
		if n := len(b.owner.activeGates); n != 1 {
			t.Errorf("%d gates: %d are active with a new link, want 1", fleet, n)
		}
	}
}

// BenchmarkTick measures Tick with 30 linked gates in fleets of different sizes.
func BenchmarkTick(b *testing.B) {
	for _, fleet := range []int{30, 800, 1600} {
		b.Run(fmt.Sprintf("%d gates", fleet), func(b *testing.B) {
			h := newHarness(&testing.T{})
			for i := range fleet {
				h.owner.AddGate(fmt.Sprintf("side-%d", i), "zone-a")
			}
			for i := range 30 {
				h.connect(fmt.Sprintf("side-%d", i))
			}
			for b.Loop() {
				h.now += 10 * time.Millisecond
				h.owner.Tick()
			}
		})
	}
}
