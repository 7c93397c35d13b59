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

// isolationCase is an owner with a best-effort job whose tasks were sent to a gate.
type isolationCase struct {
	*harness
	link    uint64
	started []gate.Order
	results []BestEffortResult
}

func newIsolationCase(t *testing.T, tasks int) *isolationCase {
	c := &isolationCase{harness: newHarness(t)}
	c.link = c.connect(isolatedGate)
	c.owner.RunBestEffort(testSubmission(isolatedJob, tasks), time.Minute, func(r BestEffortResult) { c.results = append(c.results, r) })
	c.started = c.flush(isolatedGate, c.link).Starts
	if len(c.started) != tasks {
		t.Fatalf("%d starts, want %d", len(c.started), tasks)
	}
	return c
}

// reportEnds sends the owner a frame with the ends of runs.
func (c *isolationCase) reportEnds(states ...gate.RunState) {
	c.owner.OnFrame(isolatedGate, c.link, gate.Frame{Clock: c.now, Received: 1, Report: testReport(), States: states})
}

// An owner that was suspended must not start a stopped task again, since its callers
// may have submitted the job elsewhere.
func TestOwnerThatWokeStartsNothing(t *testing.T) {
	c := newIsolationCase(t, 1)
	c.now += 3 * time.Second
	c.reportEnds(gate.RunState{Name: c.started[0].Name, End: gate.EndStopped})
	if f := c.flush(isolatedGate, c.link); len(f.Starts) != 0 {
		t.Errorf("started %+v", f.Starts)
	}
	if len(c.results) != 1 || c.results[0].State != "" || c.results[0].Refused {
		t.Errorf("results %+v, want one that the job may have run", c.results)
	}
}

// A start that was queued before the owner was suspended must not be sent afterwards.
func TestOwnerThatWokeSendsNoOldStart(t *testing.T) {
	b := newHarness(t)
	link := b.connect(isolatedGate)
	b.owner.RunBestEffort(testSubmission(isolatedJob, 1), time.Minute, func(BestEffortResult) {})
	b.now += 3 * time.Second
	if f := b.flush(isolatedGate, link); len(f.Starts) != 0 {
		t.Errorf("sent %+v", f.Starts)
	}
}

// Ends that arrive after the owner was suspended are still reported to its callers.
func TestOwnerThatWokeAnswers(t *testing.T) {
	c := newIsolationCase(t, 2)
	c.now += 3 * time.Second
	c.reportEnds(gate.RunState{Name: c.started[0].Name, End: gate.EndDone}, gate.RunState{Name: c.started[1].Name, End: gate.EndDone})
	if len(c.results) != 1 || c.results[0].State != job.StateCompleted {
		t.Errorf("results %+v, want completed once", c.results)
	}
}

// A lost run is started again if the owner was in contact with callers meanwhile.
func TestOwnerInTouchStartsAnew(t *testing.T) {
	c := newIsolationCase(t, 1)
	for range 5 {
		c.now += 400 * time.Millisecond
		c.owner.RunBestEffort(testSubmission("00000000000000bb", 1), time.Minute, func(BestEffortResult) {})
	}
	c.reportEnds(gate.RunState{Name: c.started[0].Name, End: gate.EndLost})
	again := false
	for _, s := range c.flush(isolatedGate, c.link).Starts {
		again = again || s.Name.Job == isolatedJob
	}
	if !again {
		t.Error("the task of a lost run is not started again")
	}
}

// The echo advances with the time since the gate's last frame, up to a limit, so that a
// gate whose frames don't reach the owner doesn't count as being in contact for long.
func TestEchoCountsFromTheGatesWord(t *testing.T) {
	c := newIsolationCase(t, 1)
	heard := c.now
	c.reportEnds()
	for _, tc := range []struct{ silent, most, least time.Duration }{
		{silent: 0},
		{silent: 250 * time.Millisecond, least: 240 * time.Millisecond, most: 250 * time.Millisecond},
		{silent: 800 * time.Millisecond, least: 500 * time.Millisecond, most: 500 * time.Millisecond},
	} {
		c.now = heard + tc.silent
		if age := c.flush(isolatedGate, c.link).Echo - heard; age < tc.least || age > tc.most {
			t.Errorf("%v after the gate's frame the echo is %v later, want %v to %v", tc.silent, age, tc.least, tc.most)
		}
	}
}

// Over a new link the owner says nothing that it has read or decided for the former one: no time
// on the clock of a gate's former process, and no start that was not sent yet.
func TestNewLinkCarriesNothingOver(t *testing.T) {
	b := newHarness(t)
	b.now = time.Hour / 2
	link := b.connect("gate-1")
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 1), time.Minute, func(BestEffortResult) {})
	link++
	b.owner.LinkUp("gate-1", link, nil)
	if _, ok := b.owner.Flush("gate-1", link-1); ok {
		t.Error("a frame was sent over the former link")
	}
	if f := b.flush("gate-1", link); f.Echo != 0 || f.DurableEcho != 0 || len(f.Starts) != 0 || f.Sequence != 1 {
		t.Errorf("first frame %+v", f)
	}
	b.owner.OnFrame("gate-1", link-1, gate.Frame{Clock: time.Hour, Report: testReport()})
	if b.owner.gates["gate-1"].linked {
		t.Error("a frame over the former link was accepted")
	}
	const clock = 5 * time.Second
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: clock, Report: testReport(), Inventory: true})
	if f := b.flush("gate-1", link); f.Echo != clock || f.DurableEcho != clock || len(f.Starts) != 1 || f.Starts[0].Name.Run != 2 {
		t.Errorf("frame %+v, want the echoes %v and run 2", f, clock)
	}
}
