package gate

import (
	"testing"
	"time"
)

// The first call after a broken connection, which may reach a newer incarnation, carries a
// higher token than the starts that may be carried out late.
func TestFirstCallAfterCrashFencesLateStarts(t *testing.T) {
	b := newRestartBench(t)
	start := b.startRun(testRun("aa", 0, 1)).Starts[0]
	b.gate.recordLateOrder(b.now)
	lost := b.gate.NextHold(b.now, 0)
	b.gate.OnConnectionLost(b.now)
	b.gate.OnHold(b.now, lost, Answer{}, HoldAnswer{}, ErrUnanswered)
	first := b.gate.NextHold(b.now, 0)
	if first.Call.Fence <= start.Fence {
		t.Errorf("token %d after the connection was lost, want one above %d", first.Call.Fence, start.Fence)
	}
	// Further failures need no higher token, since no start has carried this one.
	b.gate.OnConnectionLost(b.now)
	if again := b.gate.NextHold(b.now, 0); again.Call.Fence != first.Call.Fence {
		t.Errorf("token %d after another failure, want %d still", again.Call.Fence, first.Call.Fence)
	}
}

// Without late starts a broken connection does not raise the fencing token: starts in flight to
// a target that keeps running would be rejected.
func TestBrokenConnectionAloneKeepsToken(t *testing.T) {
	b := newRestartBench(t)
	b.startRun(testRun("aa", 0, 1))
	before := b.gate.NextHold(b.now, 0)
	b.gate.OnConnectionLost(b.now)
	if after := b.gate.NextHold(b.now, 0); after.Call.Fence != before.Call.Fence {
		t.Errorf("token %d after a broken connection, want %d still", after.Call.Fence, before.Call.Fence)
	}
}

// Holds wait less while starts may be carried out late, and no longer than that.
func TestHoldsWhileStartsMayComeLate(t *testing.T) {
	b := newRestartBench(t)
	usual := b.gate.NextHold(b.now, holdWait).Call.WaitMS
	b.gate.recordLateOrder(b.now)
	if ms := b.gate.NextHold(b.now, holdWait).Call.WaitMS; ms > int(lateOrderWait.Milliseconds()) {
		t.Errorf("holds wait %d ms, want %v at most", ms, lateOrderWait)
	}
	b.now += lateOrderMaxDelay + time.Millisecond
	if ms := b.gate.NextHold(b.now, holdWait).Call.WaitMS; ms != usual {
		t.Errorf("holds wait %d ms afterwards, want %d", ms, usual)
	}
}

// mayComeLate reports whether a try of an order may still be carried out.
func TestOrderThatMayComeLate(t *testing.T) {
	tests := []struct {
		name string
		call retriedCall
		want bool
	}{
		{name: "answered", call: retriedCall{tries: 1}},
		{name: "a try is open", call: retriedCall{tries: 2, open: 1}, want: true},
		{name: "a try ended unanswered", call: retriedCall{tries: 2, lost: 1}, want: true},
	}
	for _, test := range tests {
		if got := test.call.mayComeLate(); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a first call to a newer incarnation that carries no token, after which starts
// for the former one are still carried out.
func TestFirstCallAfterDeregistrationFencesLateStarts(t *testing.T) {
	tests := []struct {
		name string
		over func(b *restartBench)
	}{
		{"deregistration", func(b *restartBench) { b.gate.OnDeregister(b.now, firstIncarnation) }},
		{"heartbeat without a clock", func(b *restartBench) {
			b.now += 5 * time.Second
			h := b.heartbeatOf(secondIncarnation, 1, false)
			h.ClockMS = 0
			b.gate.OnHeartbeat(b.now, h)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newRestartBench(t)
			start := b.startRun(testRun("aa", 0, 1)).Starts[0]
			b.gate.recordLateOrder(b.now)
			test.over(b)
			if b.gate.current == firstIncarnation {
				t.Fatal("the first incarnation is still the current one")
			}
			if first := b.gate.NextHold(b.now, 0); first.Call.Fence <= start.Fence {
				t.Errorf("token %d, want one above %d", first.Call.Fence, start.Fence)
			}
		})
	}
}

// Guards against a clock probe that is sent again and again with a token that the target refuses.
func TestRefusedClockProbe(t *testing.T) {
	b := newRestartBench(t)
	b.gate.OnDeregister(b.now, firstIncarnation)
	refused := b.gate.NextHold(b.now, 0)
	b.gate.OnHold(b.now, refused, Answer{ClockMS: b.targetClock()}, HoldAnswer{}, ErrFenced)
	if next := b.gate.NextHold(b.now, 0); next.Call.Fence <= refused.Call.Fence {
		t.Errorf("token %d after a refused one of %d", next.Call.Fence, refused.Call.Fence)
	}
}
