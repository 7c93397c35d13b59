package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

var recalled = Description{Incarnation: testIncarnation, Service: "engine", Capacity: job.Resources{CPU: 16000, Memory: 32768}, Labels: []string{"r1"}}

// restarted returns a bench whose gate has just started and restores a description.
func restarted(t *testing.T, d Description) *bench {
	b := &bench{t: t, now: time.Second, clock: 100000}
	b.gate = New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond})
	b.gate.RestoreDescription(d)
	return b
}

// A restored description takes effect as soon as the incarnation that it names has answered.
func TestRecallOpensGate(t *testing.T) {
	b := restarted(t, recalled)
	if b.gate.Open(b.now) {
		t.Error("open before the target has answered")
	}
	b.hold(HoldAnswer{})
	b.hold(HoldAnswer{})
	d, ok := b.gate.Description()
	if !b.gate.Open(b.now) || !ok || !d.Equal(recalled) {
		t.Errorf("open %v, described %v as %v", b.gate.Open(b.now), ok, d)
	}
}

// A restored incarnation that rejects a call is not the target's current one.
func TestRecallOfOtherLife(t *testing.T) {
	b := restarted(t, recalled)
	h := b.gate.NextHold(b.now, 0)
	b.gate.OnHold(b.now, h, Answer{Incarnation: Incarnation{ID: "i-2"}}, HoldAnswer{}, ErrOtherIncarnation)
	b.hold(HoldAnswer{})
	b.hold(HoldAnswer{})
	if b.gate.Open(b.now) {
		t.Error("open with the description of another incarnation")
	}
	b.heartbeat(Incarnation{ID: "i-2"}, false)
	b.hold(HoldAnswer{})
	b.hold(HoldAnswer{})
	if !b.gate.Open(b.now) {
		t.Error("closed after the heartbeat")
	}
}

// A target whose restored description says draining gets no orders, and a heartbeat takes
// precedence over a description restored later.
func TestRecallOfDrainingAndLate(t *testing.T) {
	draining := recalled
	draining.Draining = true
	b := restarted(t, draining)
	b.hold(HoldAnswer{})
	b.hold(HoldAnswer{})
	if b.gate.Open(b.now) {
		t.Error("open beside a draining target")
	}
	b = newBench(t)
	b.gate.RestoreDescription(Description{Incarnation: Incarnation{ID: "i-0"}, Service: "other"})
	if d, _ := b.gate.Description(); d.Incarnation != testIncarnation || d.Service != "engine" {
		t.Errorf("described as %v", d)
	}
}

// A late heartbeat, from before the target said that it leaves, does not hide that this is in the
// stored description, whichever comes first.
func TestRecallOfDrainingBesideLateHeartbeat(t *testing.T) {
	draining := recalled
	draining.Draining = true
	tests := map[string]func(b *bench){
		"restored first": func(b *bench) {
			b.gate.RestoreDescription(draining)
			b.heartbeat(testIncarnation, false)
		},
		"restored after": func(b *bench) {
			b.heartbeat(testIncarnation, false)
			b.gate.RestoreDescription(draining)
		},
		"restored after an answer": func(b *bench) {
			b.heartbeat(testIncarnation, false)
			b.hold(HoldAnswer{})
			b.hold(HoldAnswer{})
			b.gate.RestoreDescription(draining)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := restarted(t, Description{})
			test(b)
			b.hold(HoldAnswer{})
			b.hold(HoldAnswer{})
			if d, ok := b.gate.Description(); !ok || !d.Draining || b.gate.Open(b.now) {
				t.Errorf("described as %+v, open %v, want it draining", d, b.gate.Open(b.now))
			}
		})
	}
}
