package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// deregisteredBench returns a bench whose target has deregistered while it had a run, and the
// hold that was in flight then.
func deregisteredBench(t *testing.T, name job.RunName) (b *bench, before Hold) {
	b = newBench(t)
	b.started(b.order(false, name))
	b.hold(runningLists(name))
	b.states()
	before = b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	a := b.gate.OnDeregister(b.now, testIncarnation)
	if len(a.Stops) != 1 || !a.HoldNow {
		t.Fatalf("actions %+v after the deregistration, want a stop and a hold", a)
	}
	return b, before
}

// fail sends a hold, which fails.
func (b *bench) fail(a Answer, err error) {
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.gate.OnHold(b.now, h, a, HoldAnswer{}, err)
}

// Guards against runs that are replaced while the process of their target goes on: its
// deregistration does not end them.
func TestRunsOfDeregisteredTarget(t *testing.T) {
	name := testRun("aa", 0, 1)
	tests := []struct {
		name string
		then func(b *bench, before Hold)
		// want is the end that is reported; 0 if the run may be active.
		want EndKind
	}{
		{"nothing", func(*bench, Hold) {}, 0},
		{"lists with the run", func(b *bench, _ Hold) { b.hold(runningLists(name)) }, 0},
		{"call unanswered", func(b *bench, _ Hold) { b.fail(Answer{}, ErrUnanswered) }, 0},
		{"no connection", func(b *bench, _ Hold) { b.fail(Answer{}, ErrUnreachable) }, 0},
		{"earlier call refused", func(b *bench, before Hold) {
			b.gate.OnHold(b.now, before, Answer{}, HoldAnswer{}, ErrNotListening)
		}, 0},
		{"silence until the lease may be over", func(b *bench, _ Hold) { b.tickFor(900 * time.Millisecond) }, 0},
		{"call refused", func(b *bench, _ Hold) { b.fail(Answer{}, ErrNotListening) }, EndLost},
		{"another target answers", func(b *bench, _ Hold) {
			b.fail(Answer{ClockMS: 1, Incarnation: newerIncarnation}, ErrOtherIncarnation)
		}, EndLost},
		{"lists without the run", func(b *bench, _ Hold) { b.hold(HoldAnswer{}) }, EndLost},
		{"end listed", func(b *bench, _ Hold) {
			b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: name, Kind: EndDone}}})
		}, EndDone},
		{"silence beyond the lease", func(b *bench, _ Hold) { b.tickFor(1400 * time.Millisecond) }, EndLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b, before := deregisteredBench(t, name)
			test.then(b, before)
			if got := b.states()[name].End; got != test.want {
				t.Errorf("end %v, want %v", got, test.want)
			}
			if b.gate.Open(b.now) {
				t.Error("the gate is open")
			}
		})
	}
}

// tickFor lets time pass in which the target answers nothing and the owner stays in contact.
func (b *bench) tickFor(passes time.Duration) {
	for end := b.now + passes; b.now < end; b.now += tickInterval {
		b.order(false)
		b.gate.Tick(b.now)
	}
}

// A deregistered target that goes on gets no more lease and no work, and its late heartbeats are
// not trusted. The next target takes its place.
func TestDeregisteredTargetGetsNoLease(t *testing.T) {
	name := testRun("aa", 0, 1)
	b, _ := deregisteredBench(t, name)
	for range 3 {
		if h, _ := b.hold(runningLists(name)); h.Call.UntilMS != 0 {
			t.Errorf("lease until %d requested after the deregistration", h.Call.UntilMS)
		}
	}
	if a := b.order(false, testRun("aa", 1, 1)); len(a.Starts) > 0 {
		t.Error("a run was started after the deregistration")
	}
	if _, trusted := b.gate.OnHeartbeat(b.now, Heartbeat{Incarnation: testIncarnation, Service: "engine", Sequence: b.now.Milliseconds()}); trusted {
		t.Error("a heartbeat was trusted after the deregistration")
	}
	b.heartbeat(newerIncarnation, false)
	b.fail(Answer{ClockMS: 1, Incarnation: newerIncarnation}, ErrOtherIncarnation)
	b.hold(HoldAnswer{})
	b.hold(HoldAnswer{})
	if !b.gate.Open(b.now) || b.gate.current != newerIncarnation {
		t.Errorf("open %v for target %v, want open for the next one", b.gate.Open(b.now), b.gate.current)
	}
}
