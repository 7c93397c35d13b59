package speed

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// fill adds runs with an estimate of 100 ms that ended at the same time.
func fill(w *Window, at time.Duration, ratios ...float64) {
	for _, r := range ratios {
		w.Add(at, time.Duration(r*float64(100*ms)), 100*ms)
	}
}

// The slowness is the median of the newest runs only: not moved by tasks that take seven times
// as long, and unknown when few runs have ended lately.
func TestWindow(t *testing.T) {
	many := func(n int, ratio float64) []float64 {
		all := make([]float64, n)
		for i := range all {
			all[i] = ratio
		}
		return all
	}
	tests := []struct {
		name string
		fill func(w *Window)
		now  time.Duration
		want float64
	}{
		{"empty", func(*Window) {}, 0, 0},
		{"too few", func(w *Window) { fill(w, 0, many(MinSamples-1, 2)...) }, 0, 0},
		{"just enough", func(w *Window) { fill(w, 0, many(MinSamples, 2)...) }, 0, 2},
		{"even number", func(w *Window) { fill(w, 0, 1, 1, 1, 2, 2, 2) }, 0, 1.5},
		{"long tasks", func(w *Window) { fill(w, 0, 1, 7, 1, 1, 7, 0.6, 1.4) }, 0, 1},
		{"older runs are replaced", func(w *Window) { fill(w, 0, many(40, 1)...); fill(w, ms, many(16, 2)...) }, ms, 2},
		{"as many older as newer", func(w *Window) { fill(w, 0, many(40, 1)...); fill(w, ms, many(15, 2)...) }, ms, 1},
		{"still young enough", func(w *Window) { fill(w, 0, many(9, 2)...) }, maxAge, 2},
		{"too old", func(w *Window) { fill(w, 0, many(9, 2)...) }, maxAge + 1, 0},
		{"few young enough", func(w *Window) { fill(w, 0, many(9, 2)...); fill(w, 2*ms, many(4, 1)...) }, maxAge + ms, 0},
		{"unknown run time or estimate", func(w *Window) {
			for range 9 {
				w.Add(0, 0, 100*ms)
				w.Add(0, 100*ms, 0)
				w.Add(0, -ms, 100*ms)
			}
		}, 0, 0},
		{"reset", func(w *Window) { fill(w, 0, many(40, 1)...); w.Reset(); fill(w, 0, many(4, 3)...) }, 0, 0},
		{"refilled after a reset", func(w *Window) { fill(w, 0, many(40, 1)...); w.Reset(); fill(w, 0, many(5, 3)...) }, 0, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var w Window
			test.fill(&w)
			if got := w.Slowness(test.now); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("slowness %v, want %v", got, test.want)
			}
		})
	}
}

// Speeds count only where they differ by more than the error of their measurement, and no
// single target decides what counts as fast.
func TestCompare(t *testing.T) {
	tests := []struct {
		name     string
		measured []float64
		cold     bool
		want     Fleet
	}{
		{"nothing known", []float64{0, 0}, false, Fleet{}},
		{"no targets", nil, false, Fleet{}},
		{"nothing known, one cold", []float64{0, 0}, true, Fleet{Reference: 1, Fast: 1, Differ: true}},
		{"equal", []float64{1, 1.1, 0.9, 1, 0}, false, Fleet{Reference: 1, Fast: 1}},
		{"equally slow", []float64{2.2, 2.2, 2.4}, false, Fleet{Reference: 2.2, Fast: 2.2}},
		{"one cold", []float64{1, 1, 1, 0}, true, Fleet{Reference: 1, Fast: 1, Differ: true}},
		{"one slow", []float64{1, 2.2, 1, 1}, false, Fleet{Reference: 1, Fast: 1, Differ: true}},
		{"a third slow", []float64{1, 1, 2.2, 1, 1, 2.2}, false, Fleet{Reference: 1, Fast: 1, Differ: true}},
		{"most slow", []float64{2.2, 2.2, 1, 2.2, 2.2, 1}, false, Fleet{Reference: 2.2, Fast: 1, Differ: true}},
		{"one fast", []float64{1, 1, 1, 1, 1, 0.5}, false, Fleet{Reference: 1, Fast: 1}},
		{"a third fast", []float64{1, 1, 0.6, 1, 1, 0.6}, false, Fleet{Reference: 1, Fast: 1}},
		// Run times are usually somewhat above their estimates. The chance differences of targets that
		// are alike must not count as slowness.
		{"some above their estimates, a third fast", []float64{1.1, 1.35, 0.85, 1.1, 1.1, 0.85, 1.1}, false, Fleet{Reference: 1.1, Fast: 1.1}},
		{"a third fast, the others somewhat slower than estimated", []float64{1.6, 1.6, 1.1, 1.6, 1.6, 1.1}, false, Fleet{Reference: 1.6, Fast: 1.1}},
		{"a third fast, the others slow", []float64{2.1, 2.1, 1.1, 2.1, 2.1, 1.1}, false, Fleet{Reference: 2.1, Fast: 1.1, Differ: true}},
		{"a third somewhat slower", []float64{1, 1, 1.5, 1, 1, 1.5}, false, Fleet{Reference: 1, Fast: 1}},
		{"unknown don't count", []float64{0, 0, 0, 0, 2, 1, 1, -1}, false, Fleet{Reference: 1, Fast: 1, Differ: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Compare(test.measured, test.cold); got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
		})
	}
}

func TestSlowness(t *testing.T) {
	f := Fleet{Reference: 1, Fast: 1, Differ: true}
	tests := []struct {
		name   string
		target Target
		want   float64
		known  bool
	}{
		{"unknown", Target{}, 1, false},
		{"cold", Target{Cold: true}, 2, true},
		{"cold and measured", Target{Cold: true, Measured: 1.5}, 1.5, true},
		{"within the tolerance", Target{Measured: 1.15}, 1, true},
		{"just above it, probably by chance", Target{Measured: 1.2}, 1.1, true},
		{"just below it", Target{Measured: 0.8}, 0.9, true},
		{"slow", Target{Measured: 2.2}, 2.2, true},
		{"fast", Target{Measured: 0.5}, 0.5, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, known := f.Slowness(test.target); math.Abs(got-test.want) > 1e-9 || known != test.known {
				t.Errorf("%v, %v; want %v, %v", got, known, test.want, test.known)
			}
		})
	}
}

// A slow target has fewer cores in terms of work. Targets that are equally slow keep theirs: what
// admission control does then must not change.
func TestWeight(t *testing.T) {
	tests := []struct {
		name     string
		fleet    Fleet
		slowness float64
		want     float64
	}{
		{"equal", Fleet{Reference: 2.2, Fast: 2.2}, 2.2, 1},
		{"slow", Fleet{Reference: 1, Fast: 1, Differ: true}, 2.2, 1 / 2.2},
		{"not slow", Fleet{Reference: 1, Fast: 1, Differ: true}, 1, 1},
		{"fast, where the others are as estimated", Fleet{Reference: 1, Fast: 0.5, Differ: true}, 0.5, 2},
		{"where most are slow", Fleet{Reference: 2.2, Fast: 1, Differ: true}, 2.2, 1 / 2.2},
		{"the median, where all are slow", Fleet{Reference: 2, Fast: 2, Differ: true}, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.fleet.Weight(test.slowness); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("weight %v, want %v", got, test.want)
			}
		})
	}
}

func TestExpect(t *testing.T) {
	tests := []struct {
		name     string
		task     Task
		slowness float64
		wait     time.Duration
		late     float64
		inTime   bool
	}{
		{"in time although its estimate is too low by 40%", Task{100 * ms, 140 * ms, 8}, 1, 0, 0, true},
		{"in time half of the times", Task{100 * ms, 100 * ms, 1}, 1, 0, 0.5, true},
		{"one of four ends late", Task{100 * ms, 120 * ms, 1}, 1, 0, 0.25, true},
		{"one of four, eight tasks", Task{100 * ms, 120 * ms, 8}, 1, 0, 2, true},
		{"slow target", Task{100 * ms, 200 * ms, 1}, 2, 0, 0.5, true},
		{"the wait counts", Task{100 * ms, 150 * ms, 1}, 1, 50 * ms, 0.5, true},
		{"late for certain", Task{100 * ms, 100 * ms, 2}, 2, 0, 3, false},
		{"overdue", Task{100 * ms, -100 * ms, 1}, 1, 0, 3, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.task.Expect(test.slowness, test.wait)
			if math.Abs(got.Late-test.late) > 1e-9 || got.InTime != test.inTime {
				t.Errorf("%+v, want %v, %v", got, test.late, test.inTime)
			}
		})
	}
}

// A task goes where it ends in time; among such targets to the one with most free capacity, or
// to a slow one if capacity is scarce; if it ends late everywhere, to where it ends first.
func TestScore(t *testing.T) {
	f := Fleet{Reference: 1, Fast: 1, Differ: true}
	short := Task{60 * ms, 200 * ms, 8}
	long := Task{800 * ms, 1300 * ms, 4}
	overdue := Task{800 * ms, -100 * ms, 4}
	score := func(task Task, slowness, free, used float64) float64 {
		return f.Score(slowness, task.Expect(slowness, 0), Room{Free: free, Used: used})
	}
	tests := []struct {
		name          string
		better, worse float64
	}{
		{"long: fast and nearly full before slow and empty", score(long, 1, 0, 0.7), score(long, 2.2, 1, 0.7)},
		{"long: the emptier of the fast ones", score(long, 1, 0.6, 0.7), score(long, 1, 0.5, 0.7)},
		{"short: the emptier one while there is capacity", score(short, 1, 0.8, 0.1), score(short, 2.2, 0.5, 0.1)},
		{"short: the slow one while capacity is scarce", score(short, 2.2, 0.1, 0.9), score(short, 1, 0.2, 0.9)},
		{"overdue: the fast one", score(overdue, 1, 0, 0.9), score(overdue, 2.2, 1, 0.9)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.better <= test.worse {
				t.Errorf("scores %v and %v", test.better, test.worse)
			}
		})
	}
}

// Waiting is bounded by the time left: a task that could not end in time any more after the wait
// starts now, as does one that gains little.
func TestWorthWaiting(t *testing.T) {
	long := Task{800 * ms, 1300 * ms, 4}
	tests := []struct {
		name      string
		now, then End
		want      bool
	}{
		{"a short wait for a fast target", long.Expect(2.2, 0), long.Expect(1, 30*ms), true},
		{"a wait that uses up the slack", long.Expect(2.2, 0), long.Expect(1, 510*ms), false},
		{"in time now", long.Expect(1, 0), long.Expect(1, 30*ms), false},
		{"a slow target that is fast enough", Task{60 * ms, 200 * ms, 8}.Expect(2.2, 0), Task{60 * ms, 200 * ms, 8}.Expect(1, 30*ms), false},
		{"nearly the same", End{Late: 1, InTime: true}, End{Late: 0.9, InTime: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := WorthWaiting(test.now, test.then); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// The queue of a slow target takes longer.
func TestQueueDelay(t *testing.T) {
	if got := QueueDelay(0.1, 1, 150*ms); got != 15*ms {
		t.Errorf("delay %v, want 15ms", got)
	}
	if got := QueueDelay(0.1, 2, 150*ms); got != 30*ms {
		t.Errorf("delay %v at a slow target, want 30ms", got)
	}
}
