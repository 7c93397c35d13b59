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
	b.heartbeat(olderLife, true)
	if b.gate.life != testLife || b.gate.draining || !b.open() {
		t.Fatalf("life %v, draining %v, open %v after a late heartbeat", b.gate.life, b.gate.draining, b.open())
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
	b.heartbeat(newerLife, false)
	if b.gate.life != testLife {
		t.Fatal("the new incarnation was accepted before an answer has confirmed it")
	}
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrOtherLife)
	if b.gate.life != newerLife || !b.gate.known {
		t.Errorf("life %v, known %v after calls were rejected", b.gate.life, b.gate.known)
	}
	b.heartbeat(testLife, false)
	if b.gate.life != newerLife {
		t.Error("a heartbeat of the ended incarnation was accepted")
	}
}

// A target that answers nothing is replaced by the first heartbeat of another incarnation.
func TestNewLifeAfterSilence(t *testing.T) {
	b := newBench(t)
	b.now += silentAfter + time.Millisecond
	b.heartbeat(newerLife, false)
	if b.gate.life != newerLife {
		t.Errorf("life %v", b.gate.life)
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
				b.heartbeat(olderLife, draining)
				// The target answers as the newer incarnation.
				for range 4 {
					b.holdOf(testLife)
				}
				b.now += 700 * time.Millisecond
				b.heartbeat(testLife, false)
				for range 4 {
					b.holdOf(testLife)
				}
				if b.gate.life != testLife || !b.gate.Open(b.now) {
					t.Errorf("life %v, open %v, want the new incarnation and open", b.gate.life, b.gate.Open(b.now))
				}
				b.gate.OnDeregister(b.now, olderLife)
				if !b.gate.Open(b.now) {
					t.Error("closed by a late message of the older incarnation that it ends")
				}
				b.now += 700 * time.Millisecond
				b.heartbeat(testLife, true)
				b.holdOf(testLife)
				if b.gate.Open(b.now) {
					t.Error("open although the new incarnation has said that it drains")
				}
			})
		}
	}
}

// holdOf sends the hold that is due, which is answered by a target of the given incarnation.
func (b *bench) holdOf(life Life) {
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	answer := Answer{ClockMS: b.targetClock(), Life: life}
	if h.Life != (Life{}) && h.Life != life {
		b.gate.OnHold(b.now, h, answer, HoldAnswer{}, ErrOtherLife)
		return
	}
	b.gate.OnHold(b.now, h, answer, HoldAnswer{}, nil)
}
