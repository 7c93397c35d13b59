package owner

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"rackspur/gate"
	"rackspur/job"
)

const leavingJob = "00000000000000aa"

// leavingCase is an owner with one task that runs on a gate whose target leaves.
type leavingCase struct {
	*harness
	links map[string]uint64
	on    string
	run   job.RunName
	logs  []string
}

// newLeavingCase links gates and starts a task of a best-effort job.
func newLeavingCase(t *testing.T, gates ...string) *leavingCase {
	c := &leavingCase{harness: newHarness(t), links: map[string]uint64{}}
	c.owner.log = funcr.New(func(_, args string) { c.logs = append(c.logs, args) }, funcr.Options{})
	for _, name := range gates {
		c.links[name] = c.connect(name)
	}
	c.owner.RunBestEffort(testSubmission(leavingJob, 1), time.Minute, func(BestEffortResult) {})
	on, start := c.startedWhere(c.links)
	c.on, c.run = on, start.Name
	return c
}

// report sends the owner a frame with the state of the run from the gate that leaves.
func (c *leavingCase) report(s gate.RunState) gate.OwnerFrame {
	r := testReport()
	r.Open = false
	r.Leaving = 700 * time.Millisecond
	s.Name = c.run
	c.owner.OnFrame(c.on, c.links[c.on], gate.Frame{Clock: c.now, Received: 1 << 20, Report: r, States: []gate.RunState{s}})
	return c.flush(c.on, c.links[c.on])
}

// reportOthers sends the owner a frame of each other gate.
func (c *leavingCase) reportOthers(change func(r *gate.Report)) {
	for name, link := range c.links {
		if name != c.on {
			r := testReport()
			change(&r)
			c.owner.OnFrame(name, link, gate.Frame{Clock: c.now, Received: 1 << 20, Report: r})
		}
	}
}

// startedElsewhere returns the starts at all gates but the one that leaves.
func (c *leavingCase) startedElsewhere() []gate.Order {
	var starts []gate.Order
	for name, link := range c.links {
		if name != c.on {
			starts = append(starts, c.flush(name, link).Starts...)
		}
	}
	return starts
}

var leavingState = gate.RunState{Running: true, Reason: gate.ReasonLeaving}

// A run that can't end before its target leaves is stopped, and its task goes on elsewhere from its
// checkpoint once the run has ended. Started before that it would run twice; the gate must not
// count as slow, since its target only leaves.
func TestLeavingRunMoves(t *testing.T) {
	c := newLeavingCase(t, "gate-1", "gate-2")
	if f := c.report(leavingState); len(f.Stops) != 1 || f.Stops[0] != c.run {
		t.Fatalf("stops %v, want %v", f.Stops, c.run)
	}
	if starts := c.startedElsewhere(); len(starts) != 0 {
		t.Fatalf("started %+v before the run has ended", starts)
	}
	c.report(gate.RunState{End: gate.EndStopped, Checkpoint: "0bb8"})
	starts := c.startedElsewhere()
	if len(starts) != 1 || starts[0].Name.Run != c.run.Run+1 || starts[0].Checkpoint != "0bb8" {
		t.Errorf("started %+v, want the next run from the checkpoint", starts)
	}
	task := c.owner.jobs[leavingJob].tasks[0]
	if s := c.owner.Stats(); s.MovedLeaving != 1 || s.Moved != 0 || task.moves != 0 || len(task.avoid) != 0 || len(task.job.slowGates) != 0 {
		t.Errorf("stats %+v, task %+v, slow gates %v", s, task, task.job.slowGates)
	}
	want := `"level"=0 "msg"="Run can't end before its target leaves and is moved." "job"="00000000000000aa" "task"=0 "run"=1 "gate"="` + c.on + `" "timeLeftMS"=700`
	if len(c.logs) != 1 || c.logs[0] != want {
		t.Errorf("logged %q, want %q", c.logs, want)
	}
}

// Without the reason, as gates send it with the setting off or in an earlier build, the run goes on.
func TestRunOnLeavingTargetGoesOn(t *testing.T) {
	c := newLeavingCase(t, "gate-1", "gate-2")
	if f := c.report(gate.RunState{Running: true}); len(f.Stops) != 0 || c.owner.Stats().MovedLeaving != 0 {
		t.Errorf("stops %v", f.Stops)
	}
}

// A task is moved at most once because its target leaves: where targets leave one after the other
// it would never end. The same run is stopped again, since a stop is lost with its link.
func TestLeavingRunMovesOnce(t *testing.T) {
	c := newLeavingCase(t, "gate-1", "gate-2", "gate-3")
	c.report(leavingState)
	c.link++
	c.links[c.on] = c.link
	c.owner.LinkUp(c.on, c.link, nil)
	if f := c.report(leavingState); len(f.Stops) != 1 || f.Stops[0] != c.run {
		t.Errorf("stops %v over a new link, want %v", f.Stops, c.run)
	}
	c.report(gate.RunState{End: gate.EndStopped})
	on, start := c.startedWhere(c.links)
	c.on, c.run = on, start.Name
	if f := c.report(leavingState); len(f.Stops) != 0 {
		t.Errorf("moved again: %v", f.Stops)
	}
	if s := c.owner.Stats(); s.MovedLeaving != 1 || len(c.logs) != 1 {
		t.Errorf("%d moves, logged %q, want one", s.MovedLeaving, c.logs)
	}
}

// Without another gate that can hold the task the run goes on, since it may end in time after all.
// Full gates count: the task waits there for less time than it would take to find the run dead.
func TestLeavingRunWithoutOtherGate(t *testing.T) {
	tests := []struct {
		name   string
		others func(r *gate.Report)
		moves  bool
	}{
		{"usable", func(*gate.Report) {}, true},
		{"full", func(r *gate.Report) { r.Free = job.Resources{} }, true},
		{"closed", func(r *gate.Report) { r.Open = false }, false},
		{"suspect", func(r *gate.Report) { r.Suspect = true }, false},
		{"of another service", func(r *gate.Report) { r.Service = "other" }, false},
		{"too small", func(r *gate.Report) { r.Capacity = job.Resources{CPU: 800, Memory: 32768} }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newLeavingCase(t, "gate-1", "gate-2", "gate-3")
			c.reportOthers(test.others)
			if f := c.report(leavingState); (len(f.Stops) == 1) != test.moves || (c.owner.Stats().MovedLeaving == 1) != test.moves {
				t.Errorf("stops %v, want moved %v", f.Stops, test.moves)
			}
		})
	}
	// The run's own gate is no other gate, also if its report of being closed comes later.
	c := newLeavingCase(t, "gate-1")
	state := leavingState
	state.Name = c.run
	c.owner.OnFrame(c.on, c.links[c.on], gate.Frame{Clock: c.now, Received: 1 << 20, Report: testReport(), States: []gate.RunState{state}})
	if f := c.flush(c.on, c.links[c.on]); len(f.Stops) != 0 {
		t.Errorf("stops %v beside no other gate", f.Stops)
	}
}

// The gates that lack the label of a task are no place for it.
func TestLeavingRunNeedsLabel(t *testing.T) {
	for _, labelled := range []bool{true, false} {
		c := newLeavingCase(t, "gate-1", "gate-2")
		c.owner.jobs[leavingJob].tasks[0].step.Label = "ssd"
		c.reportOthers(func(r *gate.Report) {
			if labelled {
				r.Labels = []string{"ssd"}
			}
		})
		if f := c.report(leavingState); (len(f.Stops) == 1) != labelled {
			t.Errorf("stops %v, another gate with the label %v", f.Stops, labelled)
		}
	}
}

// A job that may not start tasks any more, because its owner was isolated or has no lease, must
// not lose a run that may still end.
func TestLeavingRunOfJobThatStartsNothing(t *testing.T) {
	c := newLeavingCase(t, "gate-1", "gate-2")
	c.owner.jobs[leavingJob].closed = true
	if f := c.report(leavingState); len(f.Stops) != 0 {
		t.Errorf("stops %v of a closed job", f.Stops)
	}
	c = newLeavingCase(t, "gate-1", "gate-2")
	c.owner.jobs[leavingJob].record.BestEffort = false
	c.owner.leaseUntil = c.now
	if f := c.report(leavingState); len(f.Stops) != 0 {
		t.Errorf("stops %v of a durable job without a lease", f.Stops)
	}
	c.owner.leaseUntil = c.now + time.Second
	if f := c.report(leavingState); len(f.Stops) != 1 {
		t.Errorf("stops %v of a durable job with a lease, want one", f.Stops)
	}
}

// If the run is lost with its target before the stop is carried out, its task starts again as after
// any lost run.
func TestLeavingRunThatIsLost(t *testing.T) {
	c := newLeavingCase(t, "gate-1", "gate-2")
	c.report(leavingState)
	c.report(gate.RunState{End: gate.EndLost})
	if starts := c.startedElsewhere(); len(starts) != 1 || starts[0].Name.Run != c.run.Run+1 {
		t.Errorf("started %+v, want the next run", starts)
	}
}

// If the run ends while its stop is on the way, its result counts.
func TestLeavingRunThatEndsFirst(t *testing.T) {
	c := newLeavingCase(t, "gate-1", "gate-2")
	c.report(leavingState)
	c.report(gate.RunState{End: gate.EndDone})
	if starts := c.startedElsewhere(); len(starts) != 0 || c.owner.Stats().Completed != 1 {
		t.Errorf("started %+v, %d jobs completed", starts, c.owner.Stats().Completed)
	}
}
