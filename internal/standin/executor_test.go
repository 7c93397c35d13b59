package standin

import (
	"context"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Symptom: a check of the journal took a run for one that works on and on, and its gate
// took it for lost.
//
// Sequence: a run of a task starts at an executor where a lower one of that task works.
//
// Cause: the executor kept one run for each task. PROTOCOL.md has no such rule: a start
// is turned away for its fencing token, an earlier stop or end, its lease, or for room.
func TestSecondRunHidesNone(t *testing.T) {
	e := NewExecutor("i-1", job.Resources{CPU: 2000}, func(job.RunName) (time.Duration, gate.EndKind) { return time.Hour, gate.EndDone })
	ctx := context.Background()
	until := e.Clock() + time.Minute.Milliseconds()
	for run := 1; run <= 2; run++ {
		name := job.RunName{TaskName: job.TaskName{Job: "00000000000000aa"}, Run: run}
		if _, err := e.Start(ctx, "", gate.StartCall{Name: name, Need: job.Resources{CPU: 1000}, UntilMS: until}); err != nil {
			t.Fatal(err)
		}
	}
	_, lists, err := e.Hold(ctx, "", gate.HoldCall{})
	if err != nil || len(lists.Running) != 2 {
		t.Fatalf("%d runs are listed (%v), want 2", len(lists.Running), err)
	}
	second := job.RunName{TaskName: job.TaskName{Job: "00000000000000aa"}, Run: 2}
	if _, err := e.Stop(ctx, "", gate.StopCall{Name: second}); err != nil {
		t.Fatal(err)
	}
	for _, s := range e.Journal() {
		if s.End != gate.EndStopped {
			t.Errorf("a stop of run 2 left run %d with the end %d", s.Name.Run, s.End)
		}
	}
}
