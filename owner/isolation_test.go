package owner

import (
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

const (
	isolatedJob  = "00000000000000aa"
	isolatedGate = "gate-1"
)

// isolationCase is an owner with a best-effort job whose first task runs at a gate.
type isolationCase struct {
	*bench
	link    uint64
	started []gate.Order
	results []BestEffortResult
}

func newIsolationCase(t *testing.T, tasks int) *isolationCase {
	c := &isolationCase{bench: newBench(t)}
	c.link = c.connect(isolatedGate)
	c.owner.RunBestEffort(testSubmission(isolatedJob, tasks), time.Minute, func(r BestEffortResult) { c.results = append(c.results, r) })
	c.started = c.flush(isolatedGate, c.link).Starts
	if len(c.started) != tasks {
		t.Fatalf("%d starts, want %d", len(c.started), tasks)
	}
	return c
}

// ends tells the owner how runs have ended.
func (c *isolationCase) ends(states ...gate.RunState) {
	c.owner.OnFrame(isolatedGate, c.link, gate.Frame{Clock: c.now, Received: 1, Report: testReport(), States: states})
}

// Symptom: a task is started again of a job that is at work elsewhere.
//
// Sequence: the owner stands still for longer than gates let its runs go on, wakes and
// learns that its run was stopped.
//
// Cause: it started the task anew before it learnt that its callers had left.
func TestOwnerThatWokeStartsNothing(t *testing.T) {
	c := newIsolationCase(t, 1)
	c.now += 3 * time.Second
	c.ends(gate.RunState{Name: c.started[0].Name, End: gate.EndStopped})
	if f := c.flush(isolatedGate, c.link); len(f.Starts) != 0 {
		t.Errorf("started %+v", f.Starts)
	}
	if len(c.results) != 1 || c.results[0].State != "" || c.results[0].Refused {
		t.Errorf("told %+v, want that the job may have run", c.results)
	}
}

// Symptom: as in TestOwnerThatWokeStartsNothing.
//
// Sequence: the owner places a task, stands still, and wakes before the frame with the
// start is sent.
//
// Cause: what was placed before was sent, however long ago that was.
func TestOwnerThatWokeSendsNoOldStart(t *testing.T) {
	b := newBench(t)
	link := b.connect(isolatedGate)
	b.owner.RunBestEffort(testSubmission(isolatedJob, 1), time.Minute, func(BestEffortResult) {})
	b.now += 3 * time.Second
	if f := b.flush(isolatedGate, link); len(f.Starts) != 0 {
		t.Errorf("sent %+v", f.Starts)
	}
}

// What has ended while the owner stood still is told to its callers.
func TestOwnerThatWokeAnswers(t *testing.T) {
	c := newIsolationCase(t, 2)
	c.now += 3 * time.Second
	c.ends(gate.RunState{Name: c.started[0].Name, End: gate.EndDone}, gate.RunState{Name: c.started[1].Name, End: gate.EndDone})
	if len(c.results) != 1 || c.results[0].State != job.StateCompleted {
		t.Errorf("told %+v, want that the job is completed", c.results)
	}
}

// A gate that is lost while callers or other gates are heard of does not hold up its
// jobs: they start elsewhere.
func TestOwnerInTouchStartsAnew(t *testing.T) {
	c := newIsolationCase(t, 1)
	for range 5 {
		c.now += 400 * time.Millisecond
		c.owner.RunBestEffort(testSubmission("00000000000000bb", 1), time.Minute, func(BestEffortResult) {})
	}
	c.ends(gate.RunState{Name: c.started[0].Name, End: gate.EndLost})
	again := false
	for _, s := range c.flush(isolatedGate, c.link).Starts {
		again = again || s.Name.Job == isolatedJob
	}
	if !again {
		t.Error("a run that was lost is not started again")
	}
}

// A gate goes by the age of an owner's life, and not by that of its own last report,
// which an owner without runs gets each 0.6 s only. A gate that is not heard of any more
// must not count as being in contact for long.
func TestEchoCountsFromTheGatesWord(t *testing.T) {
	c := newIsolationCase(t, 1)
	heard := c.now
	c.ends()
	for _, tc := range []struct{ silent, most, least time.Duration }{
		{silent: 0},
		{silent: 250 * time.Millisecond, least: 240 * time.Millisecond, most: 250 * time.Millisecond},
		{silent: 800 * time.Millisecond, least: 500 * time.Millisecond, most: 500 * time.Millisecond},
	} {
		c.now = heard + tc.silent
		if age := c.flush(isolatedGate, c.link).Echo - heard; age < tc.least || age > tc.most {
			t.Errorf("%v after the gate's word the echo is %v younger, want %v to %v", tc.silent, age, tc.least, tc.most)
		}
	}
}
