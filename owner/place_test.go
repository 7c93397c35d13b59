package owner

import (
	"fmt"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Waiting tasks that no gate can take, however many, must not hide those behind them that a gate has
// room for.
func TestTasksWithoutGateHideNoOthers(t *testing.T) {
	const full, gone = "full", "gone"
	capacity := job.Resources{CPU: 64_000_000, Memory: 1 << 20}
	tests := map[string]struct {
		// step is the step of the tasks that can't be placed, other what has become of the other
		// gate that could hold them.
		step  job.Step
		other string
	}{
		"gate of the label is gone":  {job.Step{Label: "rack-2"}, gone},
		"gate of the label is full":  {job.Step{Label: "rack-2"}, full},
		"gate that is large is gone": {job.Step{Need: job.Resources{CPU: 17000, Memory: 64}}, gone},
	}
	for name, test := range tests {
		for _, bySpeed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/by speed %v", name, bySpeed), func(t *testing.T) {
				b := newHarness(t)
				b.owner.options.Decisions.PlaceBySpeed = bySpeed
				link, other := b.connect("gate-1"), b.connect("gate-2")
				room := testReport()
				room.Labels = []string{"rack-1"}
				b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Report: room})
				noRoom := gate.Report{TargetID: "i-2", Service: testService, Open: true, Labels: []string{"rack-2"}, Capacity: capacity, Queued: capacity}
				b.owner.OnFrame("gate-2", other, gate.Frame{Clock: b.now, Report: noRoom})
				for i := range 300 {
					b.submitStep(job.ID(fmt.Sprintf("%016x", i+1)), test.step)
				}
				if test.other == gone {
					b.owner.LinkDown("gate-2", other)
				}
				b.submitStep("000000000000ffff", job.Step{Label: "rack-1"})
				starts := 0
				for range 20 {
					b.now += 10 * time.Millisecond
					b.owner.Tick()
					starts += len(b.flush("gate-1", link).Starts)
				}
				if starts != 1 {
					t.Errorf("%d starts in 0.2 s behind 300 tasks that can't be placed, want 1", starts)
				}
			})
		}
	}
}

// submitStep submits a durable job of one task with the requirements of a step.
func (b *harness) submitStep(id job.ID, step job.Step) {
	b.t.Helper()
	s := testSubmission(id, 1)
	s.BestEffort = false
	s.Steps[0].Label = step.Label
	if step.Need != (job.Resources{}) {
		s.Steps[0].Need = step.Need
	}
	b.owner.Submit(s, func(r SubmitResult) {
		if r != SubmitAccepted {
			b.t.Fatalf("job %s: result %v", id, r)
		}
	})
	b.writeRecords()
}
