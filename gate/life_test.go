package gate

import (
	"testing"
	"time"
)

// A heartbeat of an older life that was held up changes nothing, also if this
// process of the gate has never heard of that life.
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

// Once calls to the life that was known are turned away, the one that has sent
// heartbeats since is taken in at once.
func TestNewLifeAfterQuickRestart(t *testing.T) {
	b := newBench(t)
	b.heartbeat(newerLife, false)
	if b.gate.life != testLife {
		t.Fatal("the new life was taken in before a call has told of it")
	}
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrOtherLife)
	if b.gate.life != newerLife || !b.gate.known {
		t.Errorf("life %v, known %v after calls were turned away", b.gate.life, b.gate.known)
	}
	b.heartbeat(testLife, false)
	if b.gate.life != newerLife {
		t.Error("a heartbeat of the life that is over was taken in")
	}
}

// A life whose target answers nothing is replaced by the first heartbeat of another.
func TestNewLifeAfterSilence(t *testing.T) {
	b := newBench(t)
	b.now += silentAfter + time.Millisecond
	b.heartbeat(newerLife, false)
	if b.gate.life != newerLife {
		t.Errorf("life %v", b.gate.life)
	}
}

// Symptom: an agent never gave its target work again. Sequence: the agent's process is
// new; a cut holds back a heartbeat of the target's former life, which arrives after the
// next life has registered at the same address, at a moment when the gate can't be sure
// of the life that it knows. Cause: the gate took the life that it knew for over, for
// good, on the word of another's heartbeat. Now only a call that was turned away, or the
// life's own word, ends it.
func TestHeldBackHeartbeat(t *testing.T) {
	tests := []struct {
		name string
		// before brings the gate to the moment at which the late heartbeat arrives.
		before func(t *testing.T) *bench
	}{
		{"the newer life is recalled and has not answered yet", func(t *testing.T) *bench { return restarted(t, recalled) }},
		{"the newer life is known and says nothing for a while", func(t *testing.T) *bench {
			b := newBench(t)
			b.now += 5 * time.Second
			return b
		}},
		{"nothing is known yet", func(t *testing.T) *bench {
			b := restarted(t, Description{})
			return b
		}},
		{"the newer life answers and is at work", func(t *testing.T) *bench {
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
				// The target answers, as the newer life.
				for range 4 {
					b.holdOf(testLife)
				}
				b.now += 700 * time.Millisecond
				b.heartbeat(testLife, false)
				for range 4 {
					b.holdOf(testLife)
				}
				if b.gate.life != testLife || !b.gate.Open(b.now) {
					t.Errorf("life %v, open %v, want the newer life and open", b.gate.life, b.gate.Open(b.now))
				}
				b.gate.OnDeregister(b.now, olderLife)
				if !b.gate.Open(b.now) {
					t.Error("closed by a late word of the older life that it ends")
				}
				b.now += 700 * time.Millisecond
				b.heartbeat(testLife, true)
				b.holdOf(testLife)
				if b.gate.Open(b.now) {
					t.Error("open although the newer life has said that it drains")
				}
			})
		}
	}
}

// holdOf makes the hold that is due; a target of one life answers it.
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
