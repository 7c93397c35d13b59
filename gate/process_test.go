package gate

import (
	"testing"
	"time"
)

// The tests in this file cover messages that were meant for an earlier process of the gate, and
// calls of a process that does not know its target yet.

// A frame over a link that the process has not accepted starts nothing, and neither does one over
// a link that a newer one has replaced.
func TestFrameOfOtherLink(t *testing.T) {
	b := newBench(t)
	order := OwnerFrame{Echo: time.Hour, DurableEcho: time.Hour, Sequence: 1, Starts: []Order{{Name: testRun("aa", 0, 1)}}}
	b.gate.Connect(b.now, testOwner, 2, func() {})
	if a, ok := b.gate.OnFrame(b.now, testOwner, 1, order); ok || len(a.Starts) != 0 {
		t.Errorf("a frame over the former link was accepted (%v), %d starts", ok, len(a.Starts))
	}
	if b.gate.Connect(b.now, testOwner, 1, func() {}) {
		t.Error("the former link was accepted after the newer one")
	}
	b.gate = New(b.gate.options)
	b.heartbeat(testIncarnation, false)
	b.hold(HoldAnswer{})
	b.hold(HoldAnswer{})
	if a, ok := b.gate.OnFrame(b.now, testOwner, 2, order); ok || len(a.Starts) != 0 {
		t.Errorf("a frame for the former process was accepted (%v), %d starts", ok, len(a.Starts))
	}
	if _, ok := b.gate.Flush(b.now, testOwner, 2); ok {
		t.Error("a frame was sent over a link of the former process")
	}
}

// An order that was held up on its way for longer than its owner may be out of contact starts
// nothing, since the owner may have been replaced.
func TestOrderHeldUp(t *testing.T) {
	for name, bestEffort := range map[string]bool{"durable": false, "best effort": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			most := b.gate.options.ContactTimeout
			if bestEffort {
				most = b.gate.options.BestEffortContactTimeout
			}
			f := OwnerFrame{Echo: b.now, DurableEcho: b.now, Sequence: 1, Starts: []Order{{Name: testRun("aa", 0, 1), BestEffort: bestEffort}}}
			for sent := b.now; b.now-sent <= most; b.now += 50 * time.Millisecond {
				b.hold(HoldAnswer{})
			}
			if a, ok := b.gate.OnFrame(b.now, testOwner, 1, f); !ok || len(a.Starts) != 0 {
				t.Errorf("%d starts, frame accepted: %v", len(a.Starts), ok)
			}
		})
	}
}

// Until the target has answered, calls name no incarnation, so that any may carry them out. They
// then extend no lease and acknowledge no end, and nothing is started before the id is known.
func TestCallsBeforeIncarnationIsKnown(t *testing.T) {
	for name, incarnation := range map[string]Incarnation{"start told": firstIncarnation, "start not told": testIncarnation} {
		t.Run(name, func(t *testing.T) {
			b := restarted(t, Description{})
			answer := func(lists HoldAnswer) Hold {
				h := b.gate.NextHold(b.now, holdWait)
				b.now += time.Millisecond
				b.gate.OnHold(b.now, h, Answer{ClockMS: b.targetClock(), Incarnation: Incarnation{Born: incarnation.Born}}, lists, nil)
				return h
			}
			if h := answer(HoldAnswer{}); h.Call != (HoldCall{}) || h.Incarnation != (Incarnation{}) {
				t.Errorf("first hold %+v", h)
			}
			ended := Ended{Number: 58, Name: testRun("aa", 0, 1), Kind: EndDone}
			if h := answer(HoldAnswer{Finished: []Ended{ended}}); h.Call.UntilMS != 0 || h.Call.Seen != 0 || h.Incarnation.Born != incarnation.Born {
				t.Errorf("second hold %+v", h)
			}
			if !b.gate.Connect(b.now, testOwner, 1, func() {}) {
				t.Fatal("no link after the target has listed its runs")
			}
			if a := b.order(false, testRun("bb", 0, 1)); len(a.Starts) != 0 {
				t.Errorf("%d starts before the id is known", len(a.Starts))
			}
		})
	}
}

// A target that does not tell its start restarts after a new process of the gate has listed its
// runs and before a heartbeat has told its id. The id is then that of the newer incarnation, whose
// ends are numbered anew and whose clock may be behind.
func TestRestartBeforeIDIsKnown(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		b := restarted(t, Description{})
		b.hold(HoldAnswer{})
		found := testRun("old", 0, 1)
		lists := HoldAnswer{Finished: []Ended{{Number: 58, Name: testRun("old", 1, 1), Kind: EndDone}}, Running: []Running{{Name: found}}}
		b.hold(lists)
		b.gate.Connect(b.now, testOwner, 1, func() {})
		b.verdict(testRun("old", 1, 1), VerdictAcknowledge)
		b.verdict(found, VerdictClaim)
		b.hold(lists)
		b.states()

		b.clock = clockAt - b.now.Milliseconds()
		b.heartbeat(newerIncarnation, false)
		b.holdOf(newerIncarnation)
		b.holdOf(newerIncarnation)
		b.holdOf(newerIncarnation)
		if s := b.states()[found]; s.End != EndLost {
			t.Errorf("state %+v of a run of the former incarnation, want it lost", s)
		}
		name := testRun("aa", 0, 1)
		a := b.order(true, name)
		if len(a.Starts) != 1 {
			t.Fatalf("%d starts at the newer incarnation, want 1", len(a.Starts))
		}
		b.started(a)
		h, _ := b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: name, Kind: EndDone}}})
		if h.Call.Seen != 0 {
			t.Errorf("acknowledged ends up to %d of the newer incarnation", h.Call.Seen)
		}
		if s := b.states()[name]; s.End != EndDone {
			t.Errorf("state %+v, want its end", s)
		}
	})
}
