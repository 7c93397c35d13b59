package owner

import (
	"testing"
	"time"
)

// The loads of docs/design/decisions-under-load.md, part 2, each with and without the shared
// view and with the same jobs: it earns more where demand is uneven and no less where it is
// even. Where demand is even the difference between two plays is chance, so the bounds leave
// room for it.
func TestLoadPlayed(t *testing.T) {
	// during returns a rate that is raised to load for one second, for one queue or for all.
	during := func(load float64, queue string) func(Time, string) float64 {
		return func(at Time, q string) float64 {
			if burst(at) && (queue == "" || q == queue) {
				return load
			}
			return 1
		}
	}
	for _, c := range []struct {
		name  string
		load  float64
		rate  func(at Time, queue string) float64
		entry func(at Time, drawn int) int
		// least is the least difference in worth to the play without the shared view.
		least float64
	}{
		{"one box has all clients, 1.8 times the load", 1.8, nil, func(Time, int) int { return 0 }, 0.06},
		{"seven of ten clients move to one box and back, 1.6 times the load", 1.6, nil, func(at Time, drawn int) int {
			if burst(at) {
				return max(6, drawn)
			}
			return drawn
		}, -0.02},
		{"equal demand, all queues at 1.8", 1, during(1.8, ""), nil, -0.02},
		{"equal demand, the narrow queue at 2.4", 1, during(2.4, "narrow"), nil, -0.02},
	} {
		t.Run(c.name, func(t *testing.T) {
			const seeds = 3
			var worth [2]float64
			for i, d := range []Decisions{ownLoad, sharedLoad} {
				for seed := range uint64(seeds) {
					// The usual load is two thirds of the capacity, and ten owners share the frames
					// that a gate sends in a second.
					r := playFleet(t, fleetLoad{
						slowness: targets(12, 0, 1, 1), factor: c.load * 4 / 3, owners: 10, lasts: 3 * time.Second, placing: d, seed: seed,
						reportPause: 100 * time.Millisecond, rate: c.rate, entry: c.entry,
					})
					t.Logf("seed %d, shared %v: %v", seed, d.SharedLoad, r)
					worth[i] += r.meanWorth() / seeds
				}
			}
			t.Logf("worth %.3f with the own view, %.3f with the shared one", worth[0], worth[1])
			if gain := worth[1] - worth[0]; gain < c.least {
				t.Errorf("the shared view changes the worth by %.3f, want %.3f or more", gain, c.least)
			}
		})
	}
}

// burst reports whether a time is in the middle second of the two whose jobs count.
func burst(at Time) bool { return at >= 2500*time.Millisecond && at < 3500*time.Millisecond }
