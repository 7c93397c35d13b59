package gate

import "testing"

// An order for a task of which another owner's run is active is an event of its own, so that the log
// tells two owners of a job from one owner that has replaced a run.
func TestSecondOwnerIsRecorded(t *testing.T) {
	b := newBench(t)
	run := testRun("aa", 0, 1)
	b.started(b.order(false, run))
	b.gate.TakeEvents()
	b.gate.Connect(b.now, secondOwner, 1, func() {})
	b.orderBy(secondOwner, b.now, testRun("aa", 0, 2))
	events := b.gate.TakeEvents()
	if len(events) != 1 || events[0].Kind != EventSecondOwner || events[0].Run != run || events[0].Owner != testOwner {
		t.Errorf("events %+v, want one of %v of %s", events, run, testOwner)
	}
	if n := b.gate.Counts().SecondOwners; n != 1 {
		t.Errorf("%d second owners counted, want 1", n)
	}
}
