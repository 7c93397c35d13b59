package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/rowstore"
)

// AwaitEnd on a job whose last task has ended waits until the end is durable, even
// beyond its patience.
func TestAwaitEndOfEndingJob(t *testing.T) {
	tests := []struct {
		name string
		// ended is set if the job's task has ended.
		ended bool
		// written is how long the final write takes.
		written time.Duration
		want    job.State
		took    time.Duration
	}{
		{"its task runs", false, 0, job.StateRunning, 40 * time.Millisecond},
		{"its end is written", true, 200 * time.Millisecond, job.StateCompleted, 200 * time.Millisecond},
		{"its end is not written in time", true, time.Second, job.StateRunning, 500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t)
				id := b.runDurable(test.ended)
				durable := make(chan struct{})
				if test.ended {
					final := b.writer.take()
					time.AfterFunc(test.written, func() {
						final[len(final)-1].Done(rowstore.Outcome{Version: 2}, nil)
						close(durable)
					})
				}
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				asked := time.Now()
				state, ok := b.owner.AwaitEnd(ctx, id, 40*time.Millisecond)
				if !ok || state != test.want || time.Since(asked) != test.took {
					t.Errorf("%q, %v after %v, want %q after %v", state, ok, time.Since(asked), test.want, test.took)
				}
				if test.ended {
					<-durable
				}
			})
		})
	}
}

// runDurable runs a durable job of one task on a gate, and ends its run if end is set.
func (b *harness) runDurable(end bool) job.ID {
	b.t.Helper()
	link := b.connect("gate-1")
	s := testSubmission("0000000000000001", 1)
	s.BestEffort = false
	b.owner.Submit(s, func(SubmitResult) {})
	b.writer.take()[0].Done(rowstore.Outcome{Version: 1}, nil)
	f := b.flush("gate-1", link)
	state := gate.RunState{Name: f.Starts[0].Name, Running: !end}
	if end {
		state.End = gate.EndDone
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: testReport(), States: []gate.RunState{state}})
	return s.ID
}
