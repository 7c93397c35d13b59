package leaving

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// A wrong remaining time stops runs that would have ended, or leaves others to die with their
// target.
func TestRemaining(t *testing.T) {
	tests := []struct {
		name  string
		run   Run
		want  time.Duration
		known bool
	}{
		{"by progress", Run{Elapsed: 300 * ms, Percent: 25, Estimate: 400 * ms}, 900 * ms, true},
		{"by progress from 10% on", Run{Elapsed: 100 * ms, Percent: 10, Estimate: 400 * ms}, 900 * ms, true},
		{"by the estimate below 10%", Run{Elapsed: 100 * ms, Percent: 9, Estimate: 400 * ms}, 300 * ms, true},
		{"by the estimate and the slowness", Run{Elapsed: 100 * ms, Percent: 2, Estimate: 400 * ms, Slowness: 2.2}, 780 * ms, true},
		{"by the estimate without progress", Run{Elapsed: 100 * ms, Percent: PercentUnknown, Estimate: 400 * ms}, 300 * ms, true},
		{"progress goes before slowness", Run{Elapsed: 100 * ms, Percent: 50, Estimate: 400 * ms, Slowness: 5}, 100 * ms, true},
		{"all done", Run{Elapsed: 100 * ms, Percent: 100}, 0, true},
		{"progress above 100", Run{Elapsed: 100 * ms, Percent: 130}, 0, true},
		{"longer than expected", Run{Elapsed: 500 * ms, Percent: PercentUnknown, Estimate: 400 * ms}, 0, false},
		{"start unknown", Run{Percent: 40}, 0, false},
		{"start unknown, estimate known", Run{Percent: 40, Estimate: 400 * ms}, 400 * ms, true},
		{"nothing known", Run{Elapsed: 500 * ms, Percent: PercentUnknown}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, known := test.run.Remaining()
			if known != test.known || (known && got != test.want) {
				t.Errorf("remaining %v, %v, want %v, %v", got, known, test.want, test.known)
			}
		})
	}
}

// A run that may end must not be moved, since that loses its work; one that can't must be moved
// while a stop is still in time.
func TestCannotEnd(t *testing.T) {
	half := Run{Elapsed: 1000 * ms, Percent: 50, Estimate: 900 * ms}
	with := func(change func(r *Run)) Run {
		r := half
		change(&r)
		return r
	}
	tests := []struct {
		name  string
		left  time.Duration
		run   Run
		moved bool
	}{
		{"much time left", 2000 * ms, half, false},
		{"ends just before a stop would have to begin", 1050 * ms, half, false},
		{"ends within the time that a stop takes", 1049 * ms, half, true},
		{"ends later", 500 * ms, half, true},
		{"no time left", 0, half, true},
		{"time already over", -300 * ms, half, true},
		{"already moved", 500 * ms, with(func(r *Run) { r.Moved = true }), false},
		{"checkpointed, time left", 500 * ms, with(func(r *Run) { r.Checkpointed = true }), false},
		{"checkpointed, last chance", LastChance, with(func(r *Run) { r.Checkpointed = true }), true},
		{"checkpointed and ends in time", LastChance, Run{Elapsed: 900 * ms, Percent: 90, Checkpointed: true}, false},
		{"checkpointed, moved, last chance", LastChance, with(func(r *Run) { r.Checkpointed, r.Moved = true, true }), false},
		{"seven times as long, just started", 2000 * ms, Run{Elapsed: 700 * ms, Percent: 11, Estimate: 900 * ms}, true},
		{"not started well, estimate fits", 2000 * ms, Run{Elapsed: 100 * ms, Percent: 1, Estimate: 900 * ms}, false},
		{"not started well, estimate doesn't fit", 600 * ms, Run{Elapsed: 100 * ms, Percent: 1, Estimate: 900 * ms}, true},
		{"fits only on a target of usual speed", 1200 * ms, Run{Elapsed: 100 * ms, Percent: 1, Estimate: 900 * ms, Slowness: 1.8}, true},
		{"longer than expected, time left", 400 * ms, Run{Elapsed: 1000 * ms, Percent: PercentUnknown, Estimate: 900 * ms}, false},
		{"longer than expected, last chance", LastChance, Run{Elapsed: 1000 * ms, Percent: PercentUnknown, Estimate: 900 * ms}, true},
		{"nothing known, time left", LastChance + ms, Run{Percent: PercentUnknown}, false},
		{"nothing known, last chance", LastChance, Run{Percent: PercentUnknown}, true},
		{"nearly done at the last chance", LastChance, Run{Elapsed: 900 * ms, Percent: 95}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := CannotEnd(test.left, []Run{test.run}); (len(got) == 1) != test.moved {
				t.Errorf("moved %v, want %v", len(got) == 1, test.moved)
			}
		})
	}
}

// The result must name the runs by their place, whatever is decided about those before them.
func TestCannotEndNamesRuns(t *testing.T) {
	ends := Run{Elapsed: 900 * ms, Percent: 90}
	tooLong := Run{Elapsed: 900 * ms, Percent: 10}
	if got := CannotEnd(time.Second, []Run{ends, tooLong, ends, tooLong}); !slices.Equal(got, []int{1, 3}) {
		t.Errorf("moved %v, want [1 3]", got)
	}
	if got := CannotEnd(time.Second, nil); len(got) != 0 {
		t.Errorf("moved %v of no runs", got)
	}
}
