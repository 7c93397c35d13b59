package owner

import (
	"testing"
	"time"

	"rackspur/gate"
)

// A gate is busy from the moment when runs are sent there until their ends are
// confirmed.
func TestBusyWhileRunsAreThere(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	b.connect("gate-2")
	busyAfterTick := func() bool {
		b.now += busyInterval
		b.owner.Tick()
		return b.owner.Busy("gate-1")
	}
	if busyAfterTick() {
		t.Error("busy without runs")
	}
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 12), time.Minute, func(BestEffortResult) {})
	if !b.owner.Busy("gate-1") {
		t.Fatal("not busy though runs were sent")
	}
	f := b.flush("gate-1", link)
	if !busyAfterTick() {
		t.Error("not busy while the gate has runs")
	}
	var ends []gate.RunState
	for _, s := range f.Starts {
		ends = append(ends, gate.RunState{Name: s.Name, End: gate.EndDone})
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: testReport(), States: ends})
	if !busyAfterTick() {
		t.Error("not busy though verdicts are to be sent")
	}
	b.flush("gate-1", link)
	if busyAfterTick() {
		t.Error("busy though all runs have ended")
	}
}

// Any gate may have runs of the jobs while an adoption is in progress.
func TestBusyWhileTakingOver(t *testing.T) {
	b := newHarness(t)
	b.connect("gate-1")
	b.owner.StartAdoption([]string{"entry~0"})
	for range 10 {
		if !b.owner.Busy("gate-1") {
			t.Fatal("not busy before the jobs are read")
		}
		b.now += busyInterval
		b.owner.Tick()
	}
	b.owner.Adopt([]string{"entry~0"}, b.now, nil)
	b.now += busyInterval
	b.owner.Tick()
	if b.owner.Busy("gate-1") || b.owner.Adopting() {
		t.Error("busy after an adoption without jobs")
	}
}

// HasRuns becomes false with the frame that reports the last end, before the next
// update of the busy flags.
func TestHasRunsGoesByTheNewestFrame(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 1), time.Minute, func(BestEffortResult) {})
	f := b.flush("gate-1", link)
	if len(f.Starts) != 1 || !b.owner.HasRuns("gate-1") {
		t.Fatalf("%d starts, has runs %v, want one", len(f.Starts), b.owner.HasRuns("gate-1"))
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{
		Clock: b.now, Received: f.Sequence, Report: testReport(),
		States: []gate.RunState{{Name: f.Starts[0].Name, End: gate.EndDone}},
	})
	if b.owner.HasRuns("gate-1") {
		t.Error("the gate has runs after its only one has ended")
	}
}
