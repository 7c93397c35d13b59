package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Guards against an executor that keeps only one run of each task: PROTOCOL.md lets a start
// succeed while a lower run of the same task is running.
func TestSecondRunHidesNone(t *testing.T) {
	e := NewExecutor("i-1", job.Resources{CPU: 2000}, func(job.RunName) (time.Duration, gate.EndKind) { return time.Hour, gate.EndDone })
	ctx := context.Background()
	until := e.Clock() + time.Minute.Milliseconds()
	for run := 1; run <= 2; run++ {
		name := job.RunName{TaskName: job.TaskName{Job: "00000000000000aa"}, Run: run}
		if _, err := e.Start(ctx, gate.Incarnation{}, gate.StartCall{Name: name, Need: job.Resources{CPU: 1000}, UntilMS: until}); err != nil {
			t.Fatal(err)
		}
	}
	_, lists, err := e.Hold(ctx, gate.Incarnation{}, gate.HoldCall{})
	if err != nil || len(lists.Running) != 2 {
		t.Fatalf("%d runs are listed (%v), want 2", len(lists.Running), err)
	}
	second := job.RunName{TaskName: job.TaskName{Job: "00000000000000aa"}, Run: 2}
	if _, err := e.Stop(ctx, gate.Incarnation{}, gate.StopCall{Name: second}); err != nil {
		t.Fatal(err)
	}
	for _, s := range e.Journal() {
		if s.End != gate.EndStopped {
			t.Errorf("a stop of run 2 left run %d with the end %d", s.Name.Run, s.End)
		}
	}
}

// longWork returns a duration longer than any lease in these tests.
func longWork(job.RunName) (time.Duration, gate.EndKind) { return 8 * time.Second, gate.EndDone }

// startLong starts a run with a lease of a second and returns its name.
func startLong(t *testing.T, e *Executor) job.RunName {
	t.Helper()
	name := job.RunName{TaskName: job.TaskName{Job: "a"}, Run: 1}
	if _, err := e.Start(context.Background(), gate.Incarnation{}, gate.StartCall{Name: name, Fence: 1, UntilMS: e.Clock() + 1000}); err != nil {
		t.Fatal(err)
	}
	return name
}

// onlySpan returns the only record in the journal.
func onlySpan(t *testing.T, e *Executor) Span {
	t.Helper()
	j := e.Journal()
	if len(j) != 1 {
		t.Fatalf("%d runs in the journal, want 1", len(j))
	}
	return j[0]
}

// TestSpanEnds checks that the journal holds the time at which a run ended, even if it is
// read much later.
func TestSpanEnds(t *testing.T) {
	cases := []struct {
		name string
		slow float64
		// do is called 400 ms after the start.
		do   func(*testing.T, *Executor, job.RunName)
		ends time.Duration
		end  gate.EndKind
	}{
		{"1 lease lapses", 0, func(*testing.T, *Executor, job.RunName) {}, time.Second, gate.EndLapsed},
		{"2 lease lapses on a slow clock", MaxClockDrift, func(*testing.T, *Executor, job.RunName) {}, 1020408 * time.Microsecond, gate.EndLapsed},
		{"3 crash", 0, func(_ *testing.T, e *Executor, _ job.RunName) { e.Crash() }, 400 * time.Millisecond, gate.EndLost},
		{"4 stop", 0, func(t *testing.T, e *Executor, n job.RunName) {
			if _, err := e.Stop(context.Background(), gate.Incarnation{}, gate.StopCall{Name: n, Fence: 1}); err != nil {
				t.Fatal(err)
			}
		}, 400 * time.Millisecond, gate.EndStopped},
		{"5 hold extends the lease", 0, func(t *testing.T, e *Executor, _ job.RunName) {
			if _, _, err := e.Hold(context.Background(), gate.Incarnation{}, gate.HoldCall{Fence: 1, UntilMS: e.Clock() + 1000}); err != nil {
				t.Fatal(err)
			}
		}, 1400 * time.Millisecond, gate.EndLapsed},
		{"6 lower token", 0, func(t *testing.T, e *Executor, _ job.RunName) {
			if _, _, err := e.Hold(context.Background(), gate.Incarnation{}, gate.HoldCall{UntilMS: e.Clock() + 1000}); err != gate.ErrFenced {
				t.Fatalf("got %v", err)
			}
		}, time.Second, gate.EndLapsed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := NewExecutor("i-1", job.Resources{CPU: 1}, longWork)
				e.ClockDrift = tc.slow
				name := startLong(t, e)
				<-time.After(400 * time.Millisecond)
				tc.do(t, e, name)
				<-time.After(20 * time.Second)
				s := onlySpan(t, e)
				if got := s.Ended.Sub(s.Started).Round(time.Millisecond); got != tc.ends.Round(time.Millisecond) || s.End != tc.end {
					t.Errorf("ended after %v as %v, want %v as %v", got, s.End, tc.ends, tc.end)
				}
			})
		})
	}
}

// TestLateStart checks that a start is refused after the end of its lease, on another
// executor, with a lower fencing token and after a stop.
func TestLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewExecutor("i-1", job.Resources{CPU: 1}, longWork)
		name := job.RunName{TaskName: job.TaskName{Job: "a"}, Run: 1}
		late := gate.StartCall{Name: name, Fence: 1, UntilMS: e.Clock() + 500}
		<-time.After(600 * time.Millisecond)
		if _, err := e.Start(context.Background(), gate.Incarnation{ID: "i-1"}, late); err != gate.ErrLate {
			t.Errorf("after its lease: %v", err)
		}
		if _, err := e.Start(context.Background(), gate.Incarnation{ID: "i-0"}, late); err != gate.ErrOtherIncarnation {
			t.Errorf("on another executor: %v", err)
		}
		if _, err := e.Stop(context.Background(), gate.Incarnation{ID: "i-1"}, gate.StopCall{Name: name, Fence: 2}); err != nil {
			t.Fatal(err)
		}
		late.UntilMS = e.Clock() + 500
		if _, err := e.Start(context.Background(), gate.Incarnation{ID: "i-1"}, late); err != gate.ErrFenced {
			t.Errorf("with a lower token: %v", err)
		}
		late.Fence = 2
		if _, err := e.Start(context.Background(), gate.Incarnation{ID: "i-1"}, late); err != gate.ErrOldRun {
			t.Errorf("after its stop: %v", err)
		}
		if n := len(e.Journal()); n != 0 {
			t.Errorf("%d runs in the journal, want none", n)
		}
	})
}

// TestTwoRunsOfATask starts a lower run beside a higher one that is still running. The start
// is accepted, and each run must have its own end.
func TestTwoRunsOfATask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewExecutor("i-1", job.Resources{CPU: 1}, longWork)
		task := job.TaskName{Job: "a"}
		for _, run := range []int{7, 1} {
			c := gate.StartCall{Name: job.RunName{TaskName: task, Run: run}, Fence: 1, UntilMS: e.Clock() + 1000}
			if _, err := e.Start(context.Background(), gate.Incarnation{}, c); err != nil {
				t.Fatal(err)
			}
			<-time.After(100 * time.Millisecond)
		}
		<-time.After(20 * time.Second)
		j := e.Journal()
		if len(j) != 2 {
			t.Fatalf("%d runs in the journal, want 2", len(j))
		}
		for _, s := range j {
			if s.End != gate.EndLapsed {
				t.Errorf("run %d ended as %v, want lapsed", s.Name.Run, s.End)
			}
		}
	})
}
