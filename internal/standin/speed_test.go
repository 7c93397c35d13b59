package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Guards against a speed that counts for new runs only, or that restarts the work of a run whose
// target becomes slower or faster while it is in progress.
func TestSpeed(t *testing.T) {
	const task = time.Second
	cases := []struct {
		name string
		// first is the speed at the start, second that from 400 ms on.
		first, second float64
		percent       int
		ends          time.Duration
	}{
		{"usual", 1, 1, 40, time.Second},
		{"half", 0.5, 0.5, 20, 2 * time.Second},
		{"double", 2, 2, 80, 500 * time.Millisecond},
		{"slower while it runs", 1, 0.5, 40, 1600 * time.Millisecond},
		{"faster while it runs", 0.5, 1, 20, 1200 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := NewExecutor("i-1", job.Resources{CPU: 1}, func(job.RunName) (time.Duration, gate.EndKind) { return task, gate.EndDone })
				e.MaxHold = time.Minute
				e.SetSpeed(tc.first)
				name := job.RunName{TaskName: job.TaskName{Job: "a"}, Run: 1}
				if _, err := e.Start(context.Background(), gate.Incarnation{}, gate.StartCall{Name: name, UntilMS: e.Clock() + 10_000}); err != nil {
					t.Fatal(err)
				}
				<-time.After(400 * time.Millisecond)
				e.SetSpeed(tc.second)
				_, lists, err := e.Hold(context.Background(), gate.Incarnation{}, gate.HoldCall{})
				if err != nil || len(lists.Running) != 1 || lists.Running[0].Percent != tc.percent {
					t.Errorf("running %+v (%v), want one run at %d%%", lists.Running, err, tc.percent)
				}
				<-time.After(5 * time.Second)
				s := onlySpan(t, e)
				if got := s.Ended.Sub(s.Started).Round(time.Millisecond); got != tc.ends || s.End != gate.EndDone {
					t.Errorf("ended after %v as %v, want %v as done", got, s.End, tc.ends)
				}
			})
		})
	}
}

// Guards against a wait for the next end that goes by the former speed: the end would be listed
// late, and the gate would measure a slower target.
func TestSpeedWakesHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewExecutor("i-1", job.Resources{CPU: 1}, func(job.RunName) (time.Duration, gate.EndKind) { return 900 * time.Millisecond, gate.EndDone })
		name := job.RunName{TaskName: job.TaskName{Job: "a"}, Run: 1}
		if _, err := e.Start(context.Background(), gate.Incarnation{}, gate.StartCall{Name: name, UntilMS: e.Clock() + 1000}); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(100*time.Millisecond, func() { e.SetSpeed(4) })
		began := time.Now()
		_, lists, err := e.Hold(context.Background(), gate.Incarnation{}, gate.HoldCall{WaitMS: 5000})
		// 100 ms of work at speed 1, 800 ms at speed 4. nextEnd waits a millisecond at least.
		if lasted := time.Since(began); err != nil || len(lists.Finished) != 1 || lasted > 302*time.Millisecond {
			t.Errorf("%d ends listed after %v (%v), want one after 300 ms", len(lists.Finished), lasted, err)
		}
	})
}

// Guards against a target that announces another end than its process has, or that goes on with
// its runs after it.
func TestLeave(t *testing.T) {
	for _, drift := range []float64{0, MaxClockDrift} {
		synctest.Test(t, func(t *testing.T) {
			e := NewExecutor("i-1", job.Resources{CPU: 1}, longWork)
			e.MaxHold, e.ClockDrift = time.Minute, drift
			p := &ExecutorPort{KeepConnections: true}
			p.SetExecutor(e)
			name := job.RunName{TaskName: job.TaskName{Job: "a"}, Run: 1}
			if _, err := e.Start(context.Background(), gate.Incarnation{}, gate.StartCall{Name: name, UntilMS: e.Clock() + 20_000}); err != nil {
				t.Fatal(err)
			}
			if b, ok := e.NextHeartbeat(); !ok || b.Draining || p.heartbeatBody(b).RemainingMS != 0 {
				t.Errorf("before: %+v, %v", b, ok)
			}
			began, clock := time.Now(), e.Clock()
			ended := p.Leave(2 * time.Second)
			<-time.After(500 * time.Millisecond)
			b, ok := e.NextHeartbeat()
			if !ok || !b.Draining || b.ClockMS+b.RemainingMS != clock+2000 || p.heartbeatBody(b).RemainingMS != b.RemainingMS {
				t.Errorf("after 500 ms: %+v, %v, want an end at %d", b, ok, clock+2000)
			}
			<-ended
			s := onlySpan(t, e)
			want := time.Duration(float64(2*time.Second) / (1 - drift))
			if off := s.Ended.Sub(began) - want; off.Abs() > 2*time.Millisecond || s.End != gate.EndLost {
				t.Errorf("the run ended %v after the announcement as %v, want %v as lost", s.Ended.Sub(began), s.End, want)
			}
			if _, ok := e.NextHeartbeat(); ok {
				t.Error("a heartbeat follows the end")
			}
		})
	}
}
