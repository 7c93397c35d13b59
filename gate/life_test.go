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
	b.heartbeat("older", true)
	if b.gate.life != testLife || b.gate.draining || !b.open() {
		t.Fatalf("life %q, draining %v, open %v after a late heartbeat", b.gate.life, b.gate.draining, b.open())
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
	b.heartbeat("newer", false)
	if b.gate.life != testLife {
		t.Fatal("the new life was taken in before a call has told of it")
	}
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrOtherLife)
	if b.gate.life != "newer" || !b.gate.known {
		t.Errorf("life %q, known %v after calls were turned away", b.gate.life, b.gate.known)
	}
	b.heartbeat(testLife, false)
	if b.gate.life != "newer" {
		t.Error("a heartbeat of the life that is over was taken in")
	}
}

// A life whose target answers nothing is replaced by the first heartbeat of another.
func TestNewLifeAfterSilence(t *testing.T) {
	b := newBench(t)
	b.now += silentAfter + time.Millisecond
	b.heartbeat("newer", false)
	if b.gate.life != "newer" {
		t.Errorf("life %q", b.gate.life)
	}
}
