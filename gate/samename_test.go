package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// Runs of two owners of a best-effort job may have the same name: both number them from 1.

// A run of an owner may wait in the queue when the target lists the end of another owner's run of
// the same name, which was given up before. The end is reported for the name, so its owner replaces
// the waiting run, which must not start then.
func TestQueuedRunOfEndedNameDoesNotStart(t *testing.T) {
	b := newBench(t)
	run := testRun("aa", 0, 1)
	b.started(b.order(false, run))
	for b.gate.runs[run] != nil {
		if b.now += 50 * time.Millisecond; b.now > 10*time.Second {
			t.Fatal("the run of the silent target is never given up")
		}
		b.gate.Tick(b.now)
	}
	// The target answers again, first without lists.
	b.gate.OnHold(b.now, b.gate.NextHold(b.now, 0), Answer{ClockMS: b.targetClock()}, HoldAnswer{}, ErrUnhealthy)
	b.gate.Connect(b.now, secondOwner, 1, func() {})
	var others []job.RunName
	for i := range 10 {
		others = append(others, testRun("bb", i, 1))
	}
	a := b.orderBy(secondOwner, b.now, append(others, run)...)
	b.started(a)
	if r := b.gate.runs[run]; r == nil || r.phase != phaseQueued {
		t.Fatalf("run %+v, want it queued", r)
	}
	lists := runningLists(others[1:]...)
	lists.Finished = []Ended{{Number: 1, Name: run, Kind: EndLapsed}, {Number: 2, Name: others[0], Kind: EndDone}}
	_, a = b.hold(lists)
	f, _ := b.gate.Flush(b.now, secondOwner, 1)
	told := false
	for _, s := range f.States {
		told = told || s.Name == run && s.End != 0
	}
	if !told {
		t.Errorf("told %+v, want an end of %v", f.States, run)
	}
	for _, c := range a.Starts {
		if c.Name == run {
			t.Errorf("started %v, whose end was reported", run)
		}
	}
}

// A run whose stop was ordered while its start was not answered yet must not wait for room and
// start again when the target turns it away.
func TestStoppedRunDoesNotWaitForRoom(t *testing.T) {
	b := newBench(t)
	run := testRun("aa", 0, 1)
	a := b.order(false, run)
	if len(a.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(a.Starts))
	}
	b.hold(runningLists(testRun("bb", 0, 1))) // A run of an earlier process, whose need is unknown.
	b.states()                                // An inventory, which has no rejected runs.
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Stops: []job.RunName{run}})
	b.gate.OnStart(b.now, a.Incarnation, a.Starts[0], Answer{ClockMS: b.targetClock()}, ErrNoRoom)
	if s := b.states()[run]; s.End != EndRejected {
		t.Errorf("state %+v, want rejected", s)
	}
}
