package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// The tests in this file cover a target that crashes and restarts under the same id. Every
// message, order and answer that can cross the restart must be attributed to the right
// incarnation.

// Incarnations of a target that restarts under its id.
var (
	firstIncarnation  = Incarnation{ID: "i-1", Born: 1_796_260_000_000}
	secondIncarnation = Incarnation{ID: "i-1", Born: 1_796_260_030_000}
	thirdIncarnation  = Incarnation{ID: "i-1", Born: 1_796_260_031_000}
)

// Clocks of the incarnations at the gate's time zero. The clock of a new incarnation starts
// anywhere, behind or ahead of the previous one.
const (
	firstClockAt  = 100_000
	behindClockAt = 2_000
	aheadClockAt  = 900_000
)

// restartBench is a gate beside a target whose incarnations are simulated by the test.
type restartBench struct {
	*bench
	incarnation Incarnation
	// sequence counts the heartbeats of the incarnation.
	sequence int64
}

// newRestartBench returns a gate that knows the first incarnation and has acknowledged some
// ends.
func newRestartBench(t *testing.T) *restartBench {
	b := &restartBench{bench: &bench{t: t, now: time.Second, clock: firstClockAt}, incarnation: firstIncarnation}
	b.gate = New(Options{
		Node: "gate-1", Lease: time.Second, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond,
		Unix: func() int64 { return 1_796_260_000_000 + b.now.Milliseconds() },
	})
	for range 9 {
		b.sendHeartbeat(false)
	}
	b.answer(HoldAnswer{})
	b.answer(HoldAnswer{})
	b.gate.Connect(b.now, testOwner, 1, func() {})
	b.ackEnds(5)
	return b
}

// ackEnds runs n tasks on the first incarnation and acknowledges their ends.
func (b *restartBench) ackEnds(n int) {
	b.t.Helper()
	for i := range n {
		name := testRun("warm", i, 1)
		b.started(b.orderBy(testOwner, b.now, name))
		b.answer(HoldAnswer{Finished: []Ended{{Number: int64(i + 1), Name: name, Kind: EndDone}}})
		b.verdict(name, VerdictAcknowledge)
	}
	if h := b.answer(HoldAnswer{}); h.Call.Seen != int64(n) {
		b.t.Fatalf("acknowledged up to %d, want %d", h.Call.Seen, n)
	}
	b.states()
}

// restart restarts the target.
func (b *restartBench) restart(incarnation Incarnation, clockAt int64) {
	b.incarnation = incarnation
	b.clock = clockAt - b.now.Milliseconds()
	b.sequence = 0
}

// sendHeartbeat sends the next heartbeat of the current incarnation.
func (b *restartBench) sendHeartbeat(draining bool) (trusted bool) {
	b.sequence++
	_, trusted = b.gate.OnHeartbeat(b.now, b.heartbeatOf(b.incarnation, b.sequence, draining))
	return trusted
}

func (b *restartBench) heartbeatOf(incarnation Incarnation, sequence int64, draining bool) Heartbeat {
	return Heartbeat{
		Incarnation: incarnation, Service: "engine", Capacity: job.Resources{CPU: 16000, Memory: 32768},
		Draining: draining, ClockMS: b.targetClock(), Sequence: sequence,
	}
}

// answer sends the hold that is due, which the target answers a millisecond later.
func (b *restartBench) answer(lists HoldAnswer) Hold {
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.answered(h, lists)
	return h
}

// answered delivers the target's answer to a hold.
func (b *restartBench) answered(h Hold, lists HoldAnswer) {
	b.gate.OnHold(b.now, h, Answer{ClockMS: b.targetClock(), Incarnation: Incarnation{Born: b.incarnation.Born}}, lists, nil)
}

// startRun starts a best-effort run.
func (b *restartBench) startRun(name job.RunName) Actions {
	b.t.Helper()
	a := b.orderBy(testOwner, b.now, name)
	if len(a.Starts) != 1 {
		b.t.Fatalf("%d starts, want 1", len(a.Starts))
	}
	b.started(a)
	return a
}

// clocksOfRestart runs a test with the new clock behind and ahead of the previous one.
func clocksOfRestart(t *testing.T, test func(t *testing.T, clockAt int64)) {
	t.Run("clock behind", func(t *testing.T) { test(t, behindClockAt) })
	t.Run("clock ahead", func(t *testing.T) { test(t, aheadClockAt) })
}

// Active runs of the previous incarnation are reported as lost, once, after the new one has
// listed its runs.
func TestRestartEndsRuns(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		b := newRestartBench(t)
		name := testRun("aa", 0, 1)
		b.startRun(name)
		b.answer(runningLists(name))
		b.states()
		b.restart(secondIncarnation, clockAt)
		b.answer(HoldAnswer{})
		if b.gate.current != secondIncarnation {
			t.Fatalf("incarnation %v after an answer of the new one", b.gate.current)
		}
		if s, told := b.states()[name]; told {
			t.Errorf("reported %+v before the new incarnation has listed its runs", s)
		}
		b.answer(HoldAnswer{})
		if s := b.states()[name]; s.End != EndLost {
			t.Errorf("reported %+v, want the run lost", s)
		}
		b.sendHeartbeat(false)
		if !b.open() || b.gate.used != (job.Resources{}) {
			t.Errorf("open %v, %+v in use, want an open gate with all its capacity", b.open(), b.gate.used)
		}
	})
}

// If a start meant for the previous incarnation is carried out by the new one, the run
// continues there, and its end is reported and acknowledged once.
func TestRestartKeepsRunCarriedOutThere(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		for _, answered := range []bool{true, false} {
			b := newRestartBench(t)
			name := testRun("aa", 0, 1)
			a := b.orderBy(testOwner, b.now, name)
			b.restart(secondIncarnation, clockAt)
			if answered {
				b.started(a)
			} else {
				b.gate.OnStart(b.now, a.Incarnation, a.Starts[0], Answer{}, ErrUnanswered)
			}
			b.answer(runningLists(name))
			b.answer(runningLists(name))
			if s := b.states()[name]; s.End != 0 {
				t.Fatalf("reported %+v of an active run (start answered %v)", s, answered)
			}
			b.answer(HoldAnswer{Finished: []Ended{{Number: 1, Name: name, Kind: EndDone}}})
			if s := b.states()[name]; s.End != EndDone {
				t.Errorf("reported %+v, want the run done (start answered %v)", s, answered)
			}
			b.verdict(name, VerdictAcknowledge)
			if h := b.answer(HoldAnswer{}); h.Call.Seen != 1 {
				t.Errorf("acknowledged up to %d, want 1 (start answered %v)", h.Call.Seen, answered)
			}
			if b.gate.HasRuns(testOwner) {
				t.Error("the run is still known")
			}
		}
	})
}

// The new incarnation numbers its ends from 1. No hold acknowledges them before they are
// reported, not even one sent after a failed call and before the restart is known.
func TestRestartForgetsNoEnds(t *testing.T) {
	b := newRestartBench(t)
	h := b.gate.NextHold(b.now, 0)
	b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrUnanswered)
	b.restart(secondIncarnation, behindClockAt)
	if h := b.answer(HoldAnswer{}); h.Call.Seen != 0 {
		t.Errorf("a hold to a target that may have restarted acknowledges ends up to %d", h.Call.Seen)
	}
	if h := b.answer(HoldAnswer{}); h.Call.Seen != 0 {
		t.Errorf("the first hold to the new incarnation acknowledges ends up to %d", h.Call.Seen)
	}
}

// The hold that follows the new incarnation's first heartbeat acknowledges no ends, even if no
// call has failed.
func TestClaimNotesNoEnds(t *testing.T) {
	b := newRestartBench(t)
	b.restart(secondIncarnation, behindClockAt)
	b.sendHeartbeat(false)
	if h := b.answer(HoldAnswer{}); h.Call.Seen != 0 {
		t.Errorf("the hold that asks which incarnation is running acknowledges ends up to %d", h.Call.Seen)
	}
}

// If an older hold fails after a newer one was answered, ends are still acknowledged without a
// pause.
func TestOlderHoldThatFails(t *testing.T) {
	b := newRestartBench(t)
	older := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.answer(HoldAnswer{})
	b.gate.OnHold(b.now, older, Answer{}, HoldAnswer{}, ErrUnanswered)
	if h := b.gate.NextHold(b.now, 0); h.Call.Seen != 5 || !b.gate.Confirmed() {
		t.Errorf("acknowledges up to %d, confirmed %v, want 5 and confirmed", h.Call.Seen, b.gate.Confirmed())
	}
}

// The fencing token is raised before the new incarnation's lists count, so that it rejects
// calls meant for the previous one.
func TestRestartRaisesFence(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		b := newRestartBench(t)
		former := b.gate.fence
		b.restart(secondIncarnation, clockAt)
		b.answer(HoldAnswer{})
		if h := b.answer(HoldAnswer{}); h.Call.Fence <= former {
			t.Errorf("token %d for the new incarnation, %d for the previous one", h.Call.Fence, former)
		}
	})
}

// A new process of the gate on a box whose clock was set back exceeds the token of the earlier
// process within a few calls.
func TestFenceAboveEarlierProcess(t *testing.T) {
	b := newRestartBench(t)
	seen := b.gate.fence + 5000
	for calls := 1; ; calls++ {
		h := b.gate.NextHold(b.now, 0)
		b.now += time.Millisecond
		if h.Call.Fence >= seen {
			return
		}
		if calls > 5 {
			t.Fatalf("token %d after %d calls, %d was seen", h.Call.Fence, calls, seen)
		}
		b.gate.OnHold(b.now, h, Answer{ClockMS: b.targetClock()}, HoldAnswer{}, ErrFenced)
	}
}

// Leases and their expiry follow the clock of the current incarnation.
func TestRestartLease(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		b := newRestartBench(t)
		b.startRun(testRun("aa", 0, 1))
		b.restart(secondIncarnation, clockAt)
		b.answer(HoldAnswer{})
		if h := b.answer(HoldAnswer{}); h.Call.UntilMS != 0 {
			t.Errorf("leased until %d before the new incarnation has listed its runs", h.Call.UntilMS)
		}
		b.sendHeartbeat(false)
		name := testRun("bb", 0, 1)
		b.startRun(name)
		h := b.answer(runningLists(name))
		if left := h.Call.UntilMS - b.targetClock(); left <= 0 || left > 1000 {
			t.Errorf("leased for %d ms from now, want up to 1000", left)
		}
		if b.gate.leaseOver(b.now) {
			t.Error("the lease that was just granted counts as expired")
		}
	})
}

// A new incarnation that reports draining gets no more runs, even if the heartbeat's sequence
// number is below the previous incarnation's, whether or not it has answered a call.
func TestRestartDraining(t *testing.T) {
	for _, answered := range []bool{false, true} {
		b := newRestartBench(t)
		b.restart(secondIncarnation, behindClockAt)
		if answered {
			b.answer(HoldAnswer{})
			b.answer(HoldAnswer{})
		}
		if !b.sendHeartbeat(true) {
			t.Error("the heartbeat is not trusted")
		}
		if b.open() {
			t.Errorf("open beside a draining target (had answered %v)", answered)
		}
		for range 3 {
			b.answer(HoldAnswer{})
		}
		b.sendHeartbeat(false)
		if b.open() {
			t.Errorf("open later on (had answered %v)", answered)
		}
	}
}

// Draining does not carry over from the previous incarnation.
func TestRestartAfterDraining(t *testing.T) {
	b := newRestartBench(t)
	b.sendHeartbeat(true)
	b.restart(secondIncarnation, behindClockAt)
	b.answer(HoldAnswer{})
	b.answer(HoldAnswer{})
	if b.open() {
		t.Error("open before the new incarnation has sent a heartbeat")
	}
	b.sendHeartbeat(false)
	if !b.open() {
		t.Error("closed to the new incarnation")
	}
}

// Late messages of the previous incarnation are not trusted and change nothing.
func TestRestartThenLateWords(t *testing.T) {
	tests := []struct {
		name string
		word func(b *restartBench, sentBefore Hold)
	}{
		{"a heartbeat", func(b *restartBench, _ Hold) {
			if _, trusted := b.gate.OnHeartbeat(b.now, b.heartbeatOf(firstIncarnation, 90, true)); trusted {
				b.t.Error("a heartbeat of the previous incarnation is trusted")
			}
		}},
		{"a deregistration", func(b *restartBench, _ Hold) { b.gate.OnDeregister(b.now, firstIncarnation) }},
		{"lists", func(b *restartBench, h Hold) {
			lists := HoldAnswer{Finished: []Ended{{Number: 6, Name: testRun("bb", 0, 1), Kind: EndDone}}}
			b.gate.OnHold(b.now, h, Answer{ClockMS: firstClockAt + b.now.Milliseconds(), Incarnation: Incarnation{Born: firstIncarnation.Born}}, lists, nil)
		}},
		{"a call that failed", func(b *restartBench, h Hold) {
			b.gate.OnHold(b.now, h, Answer{ClockMS: firstClockAt * 9}, HoldAnswer{}, ErrFenced)
			b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrOtherIncarnation)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newRestartBench(t)
			name := testRun("bb", 0, 1)
			sentBefore := b.gate.NextHold(b.now, 0)
			b.now += time.Millisecond
			b.restart(secondIncarnation, behindClockAt)
			b.answer(HoldAnswer{})
			b.answer(HoldAnswer{})
			b.sendHeartbeat(false)
			b.startRun(name)
			b.answer(runningLists(name))
			b.states()
			fence := b.gate.fence
			test.word(b, sentBefore)
			b.answer(runningLists(name))
			if b.gate.current != secondIncarnation || b.gate.fence != fence || !b.open() {
				t.Errorf("incarnation %v, token %d (was %d), open %v", b.gate.current, b.gate.fence, fence, b.open())
			}
			if s, told := b.states()[name]; told {
				t.Errorf("reported %+v", s)
			}
			if b.gate.leaseOver(b.now) {
				t.Error("the lease counts as expired")
			}
		})
	}
}

// A new process of the gate ignores an answer of the previous incarnation that arrives after
// the new one's, to a call sent before.
func TestOvertakenAnswerOfFormerLife(t *testing.T) {
	b := newRestartBench(t)
	b.gate = New(b.gate.options)
	b.now += 300 * time.Millisecond
	early := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.restart(secondIncarnation, behindClockAt)
	b.answer(HoldAnswer{})
	b.sendHeartbeat(false)
	b.answer(HoldAnswer{})
	b.gate.OnHold(b.now, early, Answer{ClockMS: aheadClockAt, Incarnation: Incarnation{Born: firstIncarnation.Born}}, HoldAnswer{}, nil)
	b.answer(HoldAnswer{})
	if b.gate.current != secondIncarnation || !b.gate.Open(b.now) {
		t.Errorf("incarnation %v, open %v, want the new one and open", b.gate.current, b.gate.Open(b.now))
	}
}

// The same before a heartbeat has told the id, while no call names one. Otherwise the former
// incarnation would count as the newer one, and the gate would close to the target.
func TestOvertakenAnswerBeforeHeartbeat(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		b := newRestartBench(t)
		former := b.targetClock()
		b.gate = New(b.gate.options)
		b.now += 300 * time.Millisecond
		early := b.gate.NextHold(b.now, 0)
		b.now += time.Millisecond
		b.restart(secondIncarnation, clockAt)
		b.answer(HoldAnswer{})
		b.answer(HoldAnswer{})
		fence := b.gate.fence
		b.gate.OnHold(b.now, early, Answer{ClockMS: former, Incarnation: Incarnation{Born: firstIncarnation.Born}}, HoldAnswer{}, nil)
		if b.gate.current.Born != secondIncarnation.Born || b.gate.fence != fence {
			t.Errorf("incarnation %v, token %d (was %d), want the new one", b.gate.current, b.gate.fence, fence)
		}
		if !b.sendHeartbeat(false) {
			t.Error("a heartbeat of the new incarnation was not trusted")
		}
		if !b.gate.Open(b.now) {
			t.Error("closed to the new incarnation")
		}
	})
}

// A message that does not identify its incarnation is not trusted if the target's incarnations
// can be identified.
func TestWordsThatDoNotTellTheLife(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(runningLists(name))
	b.states()
	unidentified := Incarnation{ID: firstIncarnation.ID}
	if _, trusted := b.gate.OnHeartbeat(b.now, b.heartbeatOf(unidentified, 99, true)); trusted {
		t.Error("a heartbeat is trusted")
	}
	if a := b.gate.OnDeregister(b.now, unidentified); !a.HoldNow {
		t.Error("no hold is requested after a deregistration")
	}
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	lists := HoldAnswer{Finished: []Ended{{Number: 6, Name: name, Kind: EndDone}}}
	b.gate.OnHold(b.now, h, Answer{ClockMS: b.targetClock()}, lists, nil)
	if s, told := b.states()[name]; told || !b.open() || b.gate.current != firstIncarnation {
		t.Errorf("reported %v %+v, open %v, incarnation %v", told, s, b.open(), b.gate.current)
	}
	b.answer(runningLists(name))
	if h := b.answer(runningLists(name)); h.Call.Seen != 5 {
		t.Errorf("acknowledged up to %d, want 5", h.Call.Seen)
	}
}

// An end that was reported but not acknowledged before the restart is reported until its owner
// has accepted or discarded it.
func TestRestartBeforeEndIsNoted(t *testing.T) {
	for _, kind := range []VerdictKind{VerdictAcknowledge, VerdictDiscard} {
		b := newRestartBench(t)
		name := testRun("aa", 0, 1)
		b.started(b.order(true, name))
		b.answer(HoldAnswer{Finished: []Ended{{Number: 6, Name: name, Kind: EndDone}}})
		b.restart(secondIncarnation, behindClockAt)
		b.answer(HoldAnswer{})
		b.answer(HoldAnswer{})
		b.sendHeartbeat(false)
		if s := b.states()[name]; s.End != EndDone {
			t.Errorf("reported %+v, want the run done", s)
		}
		b.verdict(name, kind)
		if b.gate.HasRuns(testOwner) || b.gate.Lapsing() || !b.open() {
			t.Errorf("run known %v, lapsing %v, open %v after the verdict", b.gate.HasRuns(testOwner), b.gate.Lapsing(), b.open())
		}
	}
}

// Queued runs are returned to their owners, since the new incarnation may be of another kind.
func TestRestartGivesQueueBack(t *testing.T) {
	b := newRestartBench(t)
	b.startRun(testRun("aa", 0, 1))
	waiting := fullOrder("bb")
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 3, Starts: []Order{waiting}})
	b.states()
	b.restart(secondIncarnation, behindClockAt)
	b.answer(HoldAnswer{})
	if s := b.states()[waiting.Name]; s.End != EndRejected {
		t.Errorf("reported %+v of the queued run, want it returned", s)
	}
}

// Two restarts happen between two answers, the second one also under another id but with the
// same start time.
func TestRestartTwice(t *testing.T) {
	for _, last := range []Incarnation{thirdIncarnation, {ID: "i-2", Born: firstIncarnation.Born}} {
		b := newRestartBench(t)
		name := testRun("aa", 0, 1)
		b.startRun(name)
		b.answer(runningLists(name))
		b.states()
		b.restart(secondIncarnation, behindClockAt)
		b.sendHeartbeat(false)
		b.restart(last, behindClockAt)
		b.sendHeartbeat(false)
		h := b.gate.NextHold(b.now, 0)
		b.now += time.Millisecond
		if last.ID != firstIncarnation.ID {
			b.gate.OnHold(b.now, h, Answer{Incarnation: Incarnation{ID: last.ID}}, HoldAnswer{}, ErrOtherIncarnation)
		} else {
			b.answered(h, HoldAnswer{})
		}
		b.answer(HoldAnswer{})
		b.answer(HoldAnswer{})
		if s := b.states()[name]; s.End != EndLost {
			t.Errorf("reported %+v, want the run lost", s)
		}
		if b.gate.current != last || !b.open() {
			t.Errorf("incarnation %v, open %v, want %v and open", b.gate.current, b.open(), last)
		}
	}
}

// If the new incarnation never answers, runs that it may have carried out count as over once
// their lease has expired.
func TestRestartIntoSilence(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(runningLists(name))
	b.states()
	b.restart(secondIncarnation, behindClockAt)
	b.answer(HoldAnswer{})
	for begun := b.now; b.now-begun < 1500*time.Millisecond; b.now += tickInterval {
		b.gate.Tick(b.now)
		if b.now-begun > time.Second {
			continue
		}
		if s, told := b.states()[name]; told {
			t.Errorf("reported %+v %v after the restart", s, b.now-begun)
		}
	}
	if s := b.states()[name]; s.End != EndLost {
		t.Errorf("reported %+v, want the run lost", s)
	}
}

// A new process of the gate does not apply a stored description of a previous incarnation, nor
// one that does not identify its incarnation.
func TestRecallOfFormerLife(t *testing.T) {
	for _, incarnation := range []Incarnation{firstIncarnation, {ID: firstIncarnation.ID}} {
		b := newRestartBench(t)
		b.gate = New(b.gate.options)
		b.restart(secondIncarnation, behindClockAt)
		b.gate.RestoreDescription(Description{Incarnation: incarnation, Service: "engine", Capacity: job.Resources{CPU: 16000}, Draining: true})
		for range 3 {
			b.answer(HoldAnswer{})
		}
		if d, known := b.gate.Description(); known {
			t.Errorf("described as %+v by a description of %v", d, incarnation)
		}
		b.sendHeartbeat(false)
		b.answer(HoldAnswer{})
		if !b.gate.Open(b.now) {
			t.Error("closed to the new incarnation")
		}
	}
}

// A heartbeat that names another service is ignored, also as the first one; earlier and later
// ones count.
func TestHeartbeatOfOtherService(t *testing.T) {
	b := newRestartBench(t)
	b.gate.options.Service = "engine"
	bad := b.heartbeatOf(firstIncarnation, 1_000_000, true)
	bad.Service = "somebody-elses"
	bad.Capacity = job.Resources{CPU: 1}
	if _, trusted := b.gate.OnHeartbeat(b.now, bad); trusted {
		t.Error("believed")
	}
	if d, _ := b.gate.Description(); !b.open() || d.Service != "engine" || d.Capacity.CPU != 16000 {
		t.Errorf("open %v, described as %+v", b.open(), d)
	}
	if !b.sendHeartbeat(true) || b.open() {
		t.Error("the next valid heartbeat is skipped")
	}
	// The first heartbeat that a new process of the gate receives.
	b.gate = New(b.gate.options)
	if _, trusted := b.gate.OnHeartbeat(b.now, bad); trusted {
		t.Error("trusted as the first heartbeat")
	}
}

// The clock in a heartbeat does not expire a lease; only the target's answers do.
func TestClockOfHeartbeatEndsNoLease(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(runningLists(name))
	b.states()
	bad := b.heartbeatOf(firstIncarnation, 1_000_000, false)
	bad.ClockMS = 1 << 50
	b.gate.OnHeartbeat(b.now, bad)
	b.now += 800 * time.Millisecond // Exceeds maxHoldSilence.
	b.gate.Tick(b.now)
	if s, told := b.states()[name]; told {
		t.Errorf("reported %+v", s)
	}
}

// A run missing from a partial list is not ended; one missing from a complete list is.
func TestPartialListEndsNoRun(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(runningLists(name))
	b.states()
	b.answer(HoldAnswer{Partial: true})
	if s, told := b.states()[name]; told {
		t.Errorf("reported %+v", s)
	}
	b.answer(HoldAnswer{})
	if s := b.states()[name]; s.End != EndLost {
		t.Errorf("reported %+v, want the run lost", s)
	}
}

// An end without a run's name does not block those after it.
func TestEndOfUnknownRun(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(HoldAnswer{Finished: []Ended{{Number: 6, Kind: EndLost}, {Number: 7, Name: name, Kind: EndDone}}})
	if s := b.states()[name]; s.End != EndDone {
		t.Errorf("reported %+v, want the run done", s)
	}
	b.verdict(name, VerdictAcknowledge)
	if h := b.answer(HoldAnswer{}); h.Call.Seen != 7 || b.gate.HasRuns(testOwner) {
		t.Errorf("acknowledged up to %d, run known %v", h.Call.Seen, b.gate.HasRuns(testOwner))
	}
}

// The new incarnation is not suspect because of the previous one's failures.
func TestRestartEndsSuspicion(t *testing.T) {
	b := newRestartBench(t)
	for i, id := range []job.ID{"aa", "bb", "cc"} {
		name := testRun(id, 0, 1)
		b.startRun(name)
		b.answer(HoldAnswer{Finished: []Ended{{Number: int64(6 + i), Name: name, Kind: EndFailed}}})
	}
	if !b.gate.health.suspect {
		t.Fatal("not suspect after three failures")
	}
	b.restart(secondIncarnation, behindClockAt)
	b.answer(HoldAnswer{})
	b.answer(HoldAnswer{})
	b.sendHeartbeat(false)
	b.startRun(testRun("dd", 0, 1))
}

// A late answer of the previous incarnation to a stop neither confirms a stop of the new
// incarnation's run nor changes its clock.
func TestRestartThenLateAnswerToStop(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	a := b.startRun(name)
	stop := StopCall{Name: name, Fence: a.Starts[0].Fence}
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Stops: []job.RunName{name}})
	b.restart(secondIncarnation, behindClockAt)
	b.answer(runningLists(name))
	b.answer(runningLists(name))
	clock := b.gate.targetClock(b.now)
	b.gate.OnStop(b.now, a.Incarnation, stop, Answer{ClockMS: aheadClockAt}, nil)
	b.gate.OnStart(b.now, a.Incarnation, a.Starts[0], Answer{ClockMS: aheadClockAt}, nil)
	if r := b.gate.runs[name]; r == nil || r.stopConfirmed != 0 {
		t.Errorf("run %+v, want one whose stop is not confirmed", r)
	}
	if got := b.gate.targetClock(b.now); got != clock {
		t.Errorf("clock %d, want %d", got, clock)
	}
}

// Draining counts even if a heartbeat sent later arrives first, because the overtaken heartbeat
// is acknowledged.
func TestOvertakenDraining(t *testing.T) {
	b := newRestartBench(t)
	leaving := b.heartbeatOf(firstIncarnation, b.sequence+1, true)
	b.sequence++
	b.sendHeartbeat(false)
	if _, trusted := b.gate.OnHeartbeat(b.now, leaving); !trusted || b.open() {
		t.Errorf("trusted %v, open %v", trusted, b.open())
	}
}

// A hold sent beside a waiting one acknowledges no ends if the last answer is too old: the
// target may have restarted, and the new incarnation would drop an unreported end of a late
// start.
func TestHoldBesideWaitingOneNotesNothing(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(HoldAnswer{Finished: []Ended{{Number: 6, Name: name, Kind: EndDone}}})
	b.gate.NextHold(b.now, holdWait)
	b.restart(secondIncarnation, behindClockAt)
	b.now += 80 * time.Millisecond
	b.verdict(name, VerdictAcknowledge)
	beside := b.gate.NextHold(b.now, 0)
	if beside.Call.Seen != 0 {
		t.Errorf("acknowledges ends up to %d of an incarnation that last answered 80 ms ago, want none", beside.Call.Seen)
	}
}

// An end that was withheld from a hold beside a waiting one is acknowledged as soon as that
// hold is answered.
func TestEndIsNotedOnceTheLifeHasAnswered(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(HoldAnswer{Finished: []Ended{{Number: 6, Name: name, Kind: EndDone}}})
	b.now += 80 * time.Millisecond
	b.verdict(name, VerdictAcknowledge)
	beside := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	a := b.gate.OnHold(b.now, beside, Answer{ClockMS: b.targetClock(), Incarnation: Incarnation{Born: b.incarnation.Born}}, HoldAnswer{}, nil)
	if !a.HoldNow {
		t.Fatal("no hold follows that acknowledges the end")
	}
	next := b.answer(HoldAnswer{})
	if next.Call.Seen != 6 {
		t.Errorf("acknowledges ends up to %d, want 6", next.Call.Seen)
	}
	if h := b.gate.NextHold(b.now, 0); b.gate.hasUnsentAcks() {
		t.Errorf("asks for another hold after %d was acknowledged", h.Call.Seen)
	}
}

// If a hold meant for the previous incarnation reaches a new one whose clock is behind, that is
// granted a long lease. Its runs count as over only after that lease has expired.
func TestLeaseByFormerClock(t *testing.T) {
	const longest = 15 * time.Second
	tests := []struct {
		name    string
		longest time.Duration
		clockAt int64
		// over is when the runs count as over at the latest, after the target's last answer.
		over time.Duration
	}{
		{name: "clock behind, long leases", longest: longest, clockAt: behindClockAt, over: longest},
		{name: "clock behind, leases as long as ours", longest: time.Second, clockAt: behindClockAt, over: time.Second},
		{name: "clock ahead", longest: longest, clockAt: aheadClockAt, over: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newRestartBench(t)
			b.gate.options.LongestLease = test.longest
			b.gate.NextHold(b.now, holdWait)
			b.restart(secondIncarnation, test.clockAt)
			b.sendHeartbeat(false)
			b.answer(HoldAnswer{})
			b.answer(HoldAnswer{})
			name := testRun("aa", 0, 1)
			b.startRun(name)
			b.answer(runningLists(name))
			last := b.now
			lost := func(after time.Duration) bool {
				b.now = last + after
				b.gate.Tick(b.now)
				r := b.gate.runs[name]
				return r == nil || r.phase == phaseEnded
			}
			if lost(test.over) {
				t.Errorf("the run counts as over %v after the target's last answer; its lease may be valid", test.over)
			}
			if !lost(test.over*110/100 + lapseMargin + 100*time.Millisecond) {
				t.Error("the run never counts as over")
			}
		})
	}
}

// A target that leaves comes back under its id. Nothing that the previous incarnation has announced
// counts for the new one, whose runs would be moved at once.
func TestRestartForgetsLeaving(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		b := newRestartBench(t)
		b.gate.options.MoveLeaving = true
		former, next := testRun("aa", 0, 1), testRun("bb", 0, 1)
		b.startRun(former)
		announcement := b.heartbeatOf(firstIncarnation, b.sequence+1, true)
		announcement.Remaining, announcement.Cold = 300*time.Millisecond, 5*time.Second
		b.sequence++
		b.gate.OnHeartbeat(b.now, announcement)
		if r := b.gate.report(b.now); r.Leaving == 0 || r.Cold == 0 {
			t.Fatalf("report %+v, want the times announced", r)
		}
		b.restart(secondIncarnation, clockAt)
		b.answer(HoldAnswer{})
		if r := b.gate.report(b.now); r.Leaving != 0 || r.Cold != 0 {
			t.Errorf("leaving in %v, cold for %v after a restart", r.Leaving, r.Cold)
		}
		b.answer(HoldAnswer{})
		b.sendHeartbeat(false)
		// A delayed heartbeat of the previous incarnation changes nothing.
		b.gate.OnHeartbeat(b.now, announcement)
		b.startRun(next)
		b.states()
		for range 8 {
			b.now += 49 * time.Millisecond
			b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now})
			b.answer(runningLists(next))
		}
		if s, told := b.states()[next]; told || b.gate.Counts().RunsLeaving != 0 {
			t.Errorf("reported %+v, %d runs leave", s, b.gate.Counts().RunsLeaving)
		}
		if r := b.gate.report(b.now); r.Leaving != 0 || r.Cold != 0 || !r.Open {
			t.Errorf("report %+v", r)
		}
	})
}

// The new incarnation announces its end before it has answered a call. All that its heartbeats told
// counts once it answers, also what an overtaken one told, counted from their arrival.
func TestRestartIntoLeaving(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		for _, test := range []struct{ withClock, overtaken bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
			b := newRestartBench(t)
			b.gate.options.MoveLeaving = true
			b.restart(secondIncarnation, clockAt)
			long, short := b.heartbeatOf(secondIncarnation, 2, true), b.heartbeatOf(secondIncarnation, 1, true)
			long.Remaining, short.Remaining = 3*time.Second, time.Second
			if !test.withClock {
				long.ClockMS, short.ClockMS = 0, 0
			}
			told := []Heartbeat{short, long}
			if test.overtaken {
				told = []Heartbeat{long, short}
			}
			ends := b.now + time.Second
			for _, h := range told {
				b.gate.OnHeartbeat(b.now, h)
			}
			b.now += 100 * time.Millisecond
			b.answer(HoldAnswer{})
			if left, ok := b.gate.timeLeft(b.now); !ok || left > ends-b.now || left < ends-b.now-10*time.Millisecond {
				t.Errorf("time left %v (%v), want %v (%+v)", left, ok, ends-b.now, test)
			}
		}
	})
}

// Guards against times of a newer incarnation's clock that count as the former one's: a start that
// may still be carried out would then count as expired.
func TestClockOfNewerIncarnationExpiresNoStart(t *testing.T) {
	b := newRestartBench(t)
	unanswered := testRun("aa", 0, 1)
	order := b.orderBy(testOwner, b.now, unanswered)
	turnedAway := b.orderBy(testOwner, b.now, testRun("bb", 0, 1))
	b.gate.OnStart(b.now, order.Incarnation, order.Starts[0], Answer{}, ErrUnanswered)
	b.now += time.Millisecond
	b.answer(HoldAnswer{})
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	former := Answer{ClockMS: b.targetClock(), Incarnation: Incarnation{Born: firstIncarnation.Born}}
	b.restart(secondIncarnation, aheadClockAt)
	b.gate.OnStart(b.now, turnedAway.Incarnation, turnedAway.Starts[0], Answer{ClockMS: b.targetClock(), Incarnation: Incarnation{Born: secondIncarnation.Born}}, ErrOtherIncarnation)
	b.states()
	b.gate.OnHold(b.now, h, former, HoldAnswer{}, nil)
	if s, told := b.states()[unanswered]; told {
		t.Errorf("reported %+v while the start may still be carried out", s)
	}
}

// Guards against a newer incarnation that answers an order, but stays unnoticed until the next
// hold.
func TestOrderAnsweredByNewerIncarnation(t *testing.T) {
	tests := []struct {
		name   string
		answer func(b *restartBench, start Actions, a Answer) Actions
	}{
		{"start turned away", func(b *restartBench, start Actions, a Answer) Actions {
			return b.gate.OnStart(b.now, start.Incarnation, start.Starts[0], a, ErrOtherIncarnation)
		}},
		{"start turned away after unanswered tries", func(b *restartBench, start Actions, a Answer) Actions {
			return b.gate.OnStart(b.now, start.Incarnation, start.Starts[0], a, ErrUnanswered)
		}},
		{"start carried out", func(b *restartBench, start Actions, a Answer) Actions {
			return b.gate.OnStart(b.now, start.Incarnation, start.Starts[0], a, nil)
		}},
		{"stop turned away", func(b *restartBench, start Actions, a Answer) Actions {
			stop := StopCall{Name: start.Starts[0].Name, Fence: start.Starts[0].Fence}
			return b.gate.OnStop(b.now, start.Incarnation, stop, a, ErrOtherIncarnation)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newRestartBench(t)
			start := b.orderBy(testOwner, b.now, testRun("aa", 0, 1))
			if len(start.Starts) != 1 {
				t.Fatalf("%d starts, want 1", len(start.Starts))
			}
			fence := start.Starts[0].Fence
			b.restart(secondIncarnation, behindClockAt)
			answer := Answer{ClockMS: b.targetClock(), Incarnation: Incarnation{Born: secondIncarnation.Born}}
			a := test.answer(b, start, answer)
			if !a.ReplaceHolds {
				t.Errorf("%+v, want the holds replaced", a)
			}
			h := b.gate.NextHold(b.now, 0)
			if h.Call.Fence <= fence || h.Call.Seen != 0 {
				t.Errorf("hold %+v, want a token above %d and no ends acknowledged", h.Call, fence)
			}
			// The hold that is under way is not replaced again.
			if a := test.answer(b, start, answer); a.ReplaceHolds {
				t.Errorf("%+v after another answer", a)
			}
			b.now += time.Millisecond
			b.answered(h, HoldAnswer{})
			if b.gate.current != secondIncarnation {
				t.Errorf("incarnation %v, want %v", b.gate.current, secondIncarnation)
			}
		})
	}
}
