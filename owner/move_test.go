package owner

import (
	"testing"
	"time"

	"rackspur/gate"
)

// A run that is behind is stopped, and its task starts on another gate once the run has
// ended. After maxMoves moves it stays.
func TestRunBehindMoves(t *testing.T) {
	b := newHarness(t)
	links := map[string]uint64{"gate-1": b.connect("gate-1"), "gate-2": b.connect("gate-2"), "gate-3": b.connect("gate-3")}
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 1), time.Minute, func(BestEffortResult) {})
	used := map[string]bool{}
	for move := range maxMoves + 1 {
		name, start := b.startedWhere(links)
		if used[name] {
			t.Fatalf("move %d: started again on %s", move, name)
		}
		used[name] = true
		behind := gate.RunState{Name: start.Name, Running: true, Reason: gate.ReasonBehind}
		b.owner.OnFrame(name, links[name], gate.Frame{Clock: b.now, Received: 1 << 20, Report: testReport(), States: []gate.RunState{behind}})
		stops := b.flush(name, links[name]).Stops
		if move == maxMoves {
			if len(stops) != 0 {
				t.Errorf("stopped after %d moves", move)
			}
			return
		}
		if len(stops) != 1 || stops[0] != start.Name {
			t.Fatalf("move %d: stops %v, want %v", move, stops, start.Name)
		}
		for other, link := range links {
			if n := len(b.flush(other, link).Starts); n != 0 {
				t.Fatalf("%d starts on %s before the run has ended", n, other)
			}
		}
		ended := gate.RunState{Name: start.Name, End: gate.EndStopped}
		b.owner.OnFrame(name, links[name], gate.Frame{Clock: b.now, Received: 1 << 20, Report: testReport(), States: []gate.RunState{ended}})
	}
}

// startedWhere returns the gate that was sent a start, and the start.
func (b *harness) startedWhere(links map[string]uint64) (string, gate.Order) {
	b.t.Helper()
	for name, link := range links {
		if f := b.flush(name, link); len(f.Starts) == 1 {
			return name, f.Starts[0]
		}
	}
	b.t.Fatal("no start anywhere")
	return "", gate.Order{}
}

// If runs of a job are behind on many gates, its estimate is wrong: the runs are not
// moved.
func TestWrongEstimateStays(t *testing.T) {
	b := newHarness(t)
	links := map[string]uint64{"gate-1": b.connect("gate-1"), "gate-2": b.connect("gate-2"), "gate-3": b.connect("gate-3"), "gate-4": b.connect("gate-4")}
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 12), time.Minute, func(BestEffortResult) {})
	stops, gates := 0, 0
	for name, link := range links {
		f := b.flush(name, link)
		if len(f.Starts) == 0 {
			continue
		}
		gates++
		behind := gate.RunState{Name: f.Starts[0].Name, Running: true, Reason: gate.ReasonBehind}
		b.owner.OnFrame(name, link, gate.Frame{Clock: b.now, Received: 1 << 20, Report: testReport(), States: []gate.RunState{behind}})
		stops += len(b.flush(name, link).Stops)
	}
	if gates <= maxSlowGates || stops != maxSlowGates {
		t.Errorf("%d runs stopped on %d gates, want %d", stops, gates, maxSlowGates)
	}
}
