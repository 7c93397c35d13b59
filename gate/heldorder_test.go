package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// An order that is held up on its way while the target restarts must not start there: the newer
// incarnation may have other labels, which the order does not name.
func TestOrderHeldUpOverRestart(t *testing.T) {
	for _, kept := range []bool{false, true} {
		b := newRestartBench(t)
		sent := b.now
		b.now += 300 * time.Millisecond
		b.restart(secondIncarnation, behindClockAt)
		b.sendHeartbeat(false)
		b.answer(HoldAnswer{})
		b.answer(HoldAnswer{})
		if !b.gate.Open(b.now) {
			t.Fatal("the gate is closed after the restart")
		}
		order := func(echo Time, run job.RunName) Actions {
			f := OwnerFrame{Echo: echo, DurableEcho: echo, Sequence: 1, Starts: []Order{{
				Name: run, Spec: "s", Need: job.Resources{CPU: 1600, Memory: 64}, BestEffort: !kept,
			}}}
			a, ok := b.gate.OnFrame(b.now, testOwner, 1, f)
			if !ok {
				t.Fatal("frame rejected")
			}
			return a
		}
		if a := order(sent, testRun("aa", 0, 1)); len(a.Starts) != 0 {
			t.Errorf("kept %v: an order of before the restart starts %v", kept, a.Starts[0].Name)
		}
		if s := b.states()[testRun("aa", 0, 1)]; s.End != EndRejected {
			t.Errorf("kept %v: state %+v, want the order rejected", kept, s)
		}
		if a := order(b.now, testRun("aa", 0, 2)); len(a.Starts) != 1 {
			t.Errorf("kept %v: an order of after the restart starts %d runs, want 1", kept, len(a.Starts))
		}
	}
}
