package gate

import (
	"testing"
	"time"
)

// A delayed heartbeat of an older incarnation changes nothing, even if this process of the gate
// has never seen that incarnation.
func TestLateHeartbeatOfOlderLife(t *testing.T) {
	b := newBench(t)
	running := testRun("aa", 0, 1)
	b.started(b.order(true, running))
	b.heartbeat(olderIncarnation, true)
	if b.gate.current != testIncarnation || b.gate.draining || !b.open() {
		t.Fatalf("incarnation %v, draining %v, open %v after a late heartbeat", b.gate.current, b.gate.draining, b.open())
	}
	b.hold(HoldAnswer{Running: []Running{{Name: running}}})
	if r := b.gate.runs[running]; r == nil || r.phase != phaseRunning {
		t.Errorf("run %+v, want it running", r)
	}
}

// Once calls to the current incarnation are rejected, the one that has sent heartbeats replaces
// it at once.
func TestNewLifeAfterQuickRestart(t *testing.T) {
	b := newBench(t)
	b.heartbeat(newerIncarnation, false)
	if b.gate.current != testIncarnation {
		t.Fatal("the new incarnation was accepted before an answer has confirmed it")
	}
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrOtherIncarnation)
	if b.gate.current != newerIncarnation || !b.gate.known {
		t.Errorf("incarnation %v, known %v after calls were rejected", b.gate.current, b.gate.known)
	}
	b.heartbeat(testIncarnation, false)
	if b.gate.current != newerIncarnation {
		t.Error("a heartbeat of the ended incarnation was accepted")
	}
}

// A target that answers nothing is replaced by the first heartbeat of another incarnation.
func TestNewLifeAfterSilence(t *testing.T) {
	b := newBench(t)
	b.now += silentAfter + time.Millisecond
	b.heartbeat(newerIncarnation, false)
	if b.gate.current != newerIncarnation {
		t.Errorf("incarnation %v", b.gate.current)
	}
}

// A delayed heartbeat of an older incarnation does not end the current one for good. Only a
// rejected call or a deregistration does.
func TestHeldBackHeartbeat(t *testing.T) {
	tests := []struct {
		name string
		// before brings the gate into the state in which the delayed heartbeat arrives.
		before func(t *testing.T) *bench
	}{
		{"the newer incarnation is recalled and has not answered yet", func(t *testing.T) *bench { return restarted(t, recalled) }},
		{"the newer incarnation is known and silent for a while", func(t *testing.T) *bench {
			b := newBench(t)
			b.now += 5 * time.Second
			return b
		}},
		{"nothing is known yet", func(t *testing.T) *bench {
			b := restarted(t, Description{})
			return b
		}},
		{"the newer incarnation answers and has active runs", func(t *testing.T) *bench {
			b := newBench(t)
			b.started(b.order(false, testRun("aa", 0, 1)))
			return b
		}},
	}
	for _, test := range tests {
		for _, draining := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				b := test.before(t)
				b.heartbeat(olderIncarnation, draining)
				// The target answers as the newer incarnation.
				for range 4 {
					b.holdOf(testIncarnation)
				}
				b.now += 700 * time.Millisecond
				b.heartbeat(testIncarnation, false)
				for range 4 {
					b.holdOf(testIncarnation)
				}
				if b.gate.current != testIncarnation || !b.gate.Open(b.now) {
					t.Errorf("incarnation %v, open %v, want the new incarnation and open", b.gate.current, b.gate.Open(b.now))
				}
				b.gate.OnDeregister(b.now, olderIncarnation)
				if !b.gate.Open(b.now) {
					t.Error("closed by a late deregistration of the older incarnation")
				}
				b.now += 700 * time.Millisecond
				b.heartbeat(testIncarnation, true)
				b.holdOf(testIncarnation)
				if b.gate.Open(b.now) {
					t.Error("open although the new incarnation drains")
				}
			})
		}
	}
}

// holdOf sends the hold that is due, which is answered by a target of the given incarnation.
func (b *bench) holdOf(incarnation Incarnation) {
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	answer := Answer{ClockMS: b.targetClock(), Incarnation: incarnation}
	if h.Incarnation != (Incarnation{}) && h.Incarnation != incarnation {
		b.gate.OnHold(b.now, h, answer, HoldAnswer{}, ErrOtherIncarnation)
		return
	}
	b.gate.OnHold(b.now, h, answer, HoldAnswer{}, nil)
}
