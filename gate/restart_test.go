package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// A target that had crashed started again under its id. Its box went on by what it knew of
// the former life: it passed lists over since their clock was behind ("clockMS" below
// "newestMS"), let the newer life forget its ends by the former lastSeen, and dropped
// heartbeats with a lower sequence, "draining" among them. The tests of this file go
// through every word, order and answer that can cross such a restart.

// Lives of a target that starts again under its id.
var (
	firstLife  = Life{ID: "i-1", Born: 1_796_260_000_000}
	secondLife = Life{ID: "i-1", Born: 1_796_260_030_000}
	thirdLife  = Life{ID: "i-1", Born: 1_796_260_031_000}
)

// Clocks of the lives when the gate's own was zero: one that begins anew is behind the
// former one or, as it begins anywhere, ahead of it.
const (
	firstClockAt  = 100_000
	behindClockAt = 2_000
	aheadClockAt  = 900_000
)

// restartBench is a gate beside a target whose lives the test answers for.
type restartBench struct {
	*bench
	life Life
	// sequence counts the heartbeats of the life.
	sequence int64
}

// newRestartBench returns a gate that knows the first life, which has noted some ends.
func newRestartBench(t *testing.T) *restartBench {
	b := &restartBench{bench: &bench{t: t, now: time.Second, clock: firstClockAt}, life: firstLife}
	b.gate = New(Options{
		Node: "gate-1", Lease: time.Second, Contact: 1400 * time.Millisecond, BestEffortContact: 850 * time.Millisecond,
		Unix: func() int64 { return 1_796_260_000_000 + b.now.Milliseconds() },
	})
	for range 9 {
		b.beat(false)
	}
	b.answer(HoldAnswer{})
	b.answer(HoldAnswer{})
	b.gate.Connect(b.now, testOwner, 1, func() {})
	b.noteEnds(5)
	return b
}

// noteEnds has the first life run and note so many tasks.
func (b *restartBench) noteEnds(n int) {
	b.t.Helper()
	for i := range n {
		name := testRun("warm", i, 1)
		b.started(b.orderBy(testOwner, b.now, name))
		b.answer(HoldAnswer{Finished: []Ended{{Number: int64(i + 1), Name: name, Kind: EndDone}}})
		b.verdict(name, VerdictNote)
	}
	if h := b.answer(HoldAnswer{}); h.Call.Seen != int64(n) {
		b.t.Fatalf("noted up to %d, want %d", h.Call.Seen, n)
	}
	b.states()
}

// restart has the target start again.
func (b *restartBench) restart(life Life, clockAt int64) {
	b.life = life
	b.clock = clockAt - b.now.Milliseconds()
	b.sequence = 0
}

// beat sends the next heartbeat of the life.
func (b *restartBench) beat(draining bool) (believed bool) {
	b.sequence++
	_, believed = b.gate.OnHeartbeat(b.now, b.heartbeatOf(b.life, b.sequence, draining))
	return believed
}

func (b *restartBench) heartbeatOf(life Life, sequence int64, draining bool) Heartbeat {
	return Heartbeat{
		Life: life, Service: "engine", Capacity: job.Resources{CPU: 16000, Memory: 32768},
		Draining: draining, ClockMS: b.targetClock(), Sequence: sequence,
	}
}

// answer makes the hold that is due, which the life answers a millisecond later.
func (b *restartBench) answer(lists HoldAnswer) Hold {
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.answered(h, lists)
	return h
}

// answered gives the life's answer to a hold.
func (b *restartBench) answered(h Hold, lists HoldAnswer) {
	b.gate.OnHold(b.now, h, Answer{ClockMS: b.targetClock(), Life: Life{Born: b.life.Born}}, lists, nil)
}

// startRun starts a best-effort run at the life.
func (b *restartBench) startRun(name job.RunName) Actions {
	b.t.Helper()
	a := b.orderBy(testOwner, b.now, name)
	if len(a.Starts) != 1 {
		b.t.Fatalf("%d starts, want 1", len(a.Starts))
	}
	b.started(a)
	return a
}

// clocksOfRestart runs a test with a clock of the newer life on each side of the former's.
func clocksOfRestart(t *testing.T, test func(t *testing.T, clockAt int64)) {
	t.Run("clock behind", func(t *testing.T) { test(t, behindClockAt) })
	t.Run("clock ahead", func(t *testing.T) { test(t, aheadClockAt) })
}

// What was at work in the former life is over, and its owner is told so once, not before
// the newer one has listed what runs there.
func TestRestartEndsRuns(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		b := newRestartBench(t)
		name := testRun("aa", 0, 1)
		b.startRun(name)
		b.answer(working(name))
		b.states()
		b.restart(secondLife, clockAt)
		b.answer(HoldAnswer{})
		if b.gate.life != secondLife {
			t.Fatalf("life %v after an answer of the newer one", b.gate.life)
		}
		if s, told := b.states()[name]; told {
			t.Errorf("told %+v before the newer life has listed its runs", s)
		}
		b.answer(HoldAnswer{})
		if s := b.states()[name]; s.End != EndLost {
			t.Errorf("told %+v, want the run lost", s)
		}
		b.beat(false)
		if !b.open() || b.gate.used != (job.Resources{}) {
			t.Errorf("open %v, %+v in use, want an open gate with all its room", b.open(), b.gate.used)
		}
	})
}

// A start that was meant for the former life was carried out by the newer one. The run
// goes on and ends there, and its end is told and noted once.
func TestRestartKeepsRunCarriedOutThere(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		for _, answered := range []bool{true, false} {
			b := newRestartBench(t)
			name := testRun("aa", 0, 1)
			a := b.orderBy(testOwner, b.now, name)
			b.restart(secondLife, clockAt)
			if answered {
				b.started(a)
			} else {
				b.gate.OnStart(b.now, a.Life, a.Starts[0], Answer{}, ErrUnanswered)
			}
			b.answer(working(name))
			b.answer(working(name))
			if s := b.states()[name]; s.End != 0 {
				t.Fatalf("told %+v of a run at work (start answered %v)", s, answered)
			}
			b.answer(HoldAnswer{Finished: []Ended{{Number: 1, Name: name, Kind: EndDone}}})
			if s := b.states()[name]; s.End != EndDone {
				t.Errorf("told %+v, want the run done (start answered %v)", s, answered)
			}
			b.verdict(name, VerdictNote)
			if h := b.answer(HoldAnswer{}); h.Call.Seen != 1 {
				t.Errorf("noted up to %d, want 1 (start answered %v)", h.Call.Seen, answered)
			}
			if b.gate.HasRuns(testOwner) {
				t.Error("the run is still known")
			}
		}
	})
}

// Ends of the newer life are numbered from 1. A hold names none of them as noted before
// they were heard, also one that was sent while calls failed and nobody knew of a restart.
func TestRestartForgetsNoEnds(t *testing.T) {
	b := newRestartBench(t)
	h := b.gate.NextHold(b.now, 0)
	b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrUnanswered)
	b.restart(secondLife, behindClockAt)
	if h := b.answer(HoldAnswer{}); h.Call.Seen != 0 {
		t.Errorf("a hold to a target that may have started again notes ends up to %d", h.Call.Seen)
	}
	if h := b.answer(HoldAnswer{}); h.Call.Seen != 0 {
		t.Errorf("the first hold to the newer life notes ends up to %d", h.Call.Seen)
	}
}

// A target was back 2 ms after it had crashed, and no call had failed. It carried out a start
// that was under way, at 02.974 s, and the run was done at 03.008 s. Its first heartbeat was
// heard at 03.06 s, and the hold that followed noted ends up to the former life's number: the
// newer one forgot that end, and the task began again at 03.080 s.
func TestClaimNotesNoEnds(t *testing.T) {
	b := newRestartBench(t)
	b.restart(secondLife, behindClockAt)
	b.beat(false)
	if h := b.answer(HoldAnswer{}); h.Call.Seen != 0 {
		t.Errorf("the hold that asks which life is there notes ends up to %d", h.Call.Seen)
	}
}

// An older hold that fails says nothing of the target once a newer one was answered: ends
// go on being noted without a pause.
func TestOlderHoldThatFails(t *testing.T) {
	b := newRestartBench(t)
	older := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.answer(HoldAnswer{})
	b.gate.OnHold(b.now, older, Answer{}, HoldAnswer{}, ErrUnanswered)
	if h := b.gate.NextHold(b.now, 0); h.Call.Seen != 5 || !b.gate.Confirmed() {
		t.Errorf("notes up to %d, confirmed %v, want 5 and confirmed", h.Call.Seen, b.gate.Confirmed())
	}
}

// Calls that were meant for the former life are turned away by the newer one from its first
// lists on: the fencing token has risen.
func TestRestartRaisesFence(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		b := newRestartBench(t)
		former := b.gate.fence
		b.restart(secondLife, clockAt)
		b.answer(HoldAnswer{})
		if h := b.answer(HoldAnswer{}); h.Call.Fence <= former {
			t.Errorf("token %d for the newer life, %d for the former", h.Call.Fence, former)
		}
	})
}

// A new process of the gate, whose box's time of day has gone back, gets above the token
// of the process before within a few calls.
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

// Leases, and when they are over, go by the clock of the life that is there.
func TestRestartLease(t *testing.T) {
	clocksOfRestart(t, func(t *testing.T, clockAt int64) {
		b := newRestartBench(t)
		b.startRun(testRun("aa", 0, 1))
		b.restart(secondLife, clockAt)
		b.answer(HoldAnswer{})
		if h := b.answer(HoldAnswer{}); h.Call.UntilMS != 0 {
			t.Errorf("leased until %d before the newer life has listed its runs", h.Call.UntilMS)
		}
		b.beat(false)
		name := testRun("bb", 0, 1)
		b.startRun(name)
		h := b.answer(working(name))
		if left := h.Call.UntilMS - b.targetClock(); left <= 0 || left > 1000 {
			t.Errorf("leased for %d ms from now, want up to 1000", left)
		}
		if b.gate.leaseOver(b.now) {
			t.Error("the lease that was just given counts as over")
		}
	})
}

// A newer life that says that it leaves gets no more work, by its first heartbeat with a
// sequence below the former's, before it has answered a call and after.
func TestRestartDraining(t *testing.T) {
	for _, answered := range []bool{false, true} {
		b := newRestartBench(t)
		b.restart(secondLife, behindClockAt)
		if answered {
			b.answer(HoldAnswer{})
			b.answer(HoldAnswer{})
		}
		if !b.beat(true) {
			t.Error("the heartbeat is not believed")
		}
		if b.open() {
			t.Errorf("open beside a target that leaves (had answered %v)", answered)
		}
		for range 3 {
			b.answer(HoldAnswer{})
		}
		b.beat(false)
		if b.open() {
			t.Errorf("open later on (had answered %v)", answered)
		}
	}
}

// Draining of the former life is not the newer one's, whose description counts.
func TestRestartAfterDraining(t *testing.T) {
	b := newRestartBench(t)
	b.beat(true)
	b.restart(secondLife, behindClockAt)
	b.answer(HoldAnswer{})
	b.answer(HoldAnswer{})
	if b.open() {
		t.Error("open before the newer life has described itself")
	}
	b.beat(false)
	if !b.open() {
		t.Error("closed to the newer life")
	}
}

// Words of the former life that come late change nothing, and are not believed.
func TestRestartThenLateWords(t *testing.T) {
	tests := []struct {
		name string
		word func(b *restartBench, sentBefore Hold)
	}{
		{"a heartbeat", func(b *restartBench, _ Hold) {
			if _, believed := b.gate.OnHeartbeat(b.now, b.heartbeatOf(firstLife, 90, true)); believed {
				b.t.Error("a heartbeat of the former life is believed")
			}
		}},
		{"a deregistration", func(b *restartBench, _ Hold) { b.gate.OnDeregister(b.now, firstLife) }},
		{"lists", func(b *restartBench, h Hold) {
			lists := HoldAnswer{Finished: []Ended{{Number: 6, Name: testRun("bb", 0, 1), Kind: EndDone}}}
			b.gate.OnHold(b.now, h, Answer{ClockMS: firstClockAt + b.now.Milliseconds(), Life: Life{Born: firstLife.Born}}, lists, nil)
		}},
		{"a call that failed", func(b *restartBench, h Hold) {
			b.gate.OnHold(b.now, h, Answer{ClockMS: firstClockAt * 9}, HoldAnswer{}, ErrFenced)
			b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrOtherLife)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newRestartBench(t)
			name := testRun("bb", 0, 1)
			sentBefore := b.gate.NextHold(b.now, 0)
			b.now += time.Millisecond
			b.restart(secondLife, behindClockAt)
			b.answer(HoldAnswer{})
			b.answer(HoldAnswer{})
			b.beat(false)
			b.startRun(name)
			b.answer(working(name))
			b.states()
			fence := b.gate.fence
			test.word(b, sentBefore)
			b.answer(working(name))
			if b.gate.life != secondLife || b.gate.fence != fence || !b.open() {
				t.Errorf("life %v, token %d (was %d), open %v", b.gate.life, b.gate.fence, fence, b.open())
			}
			if s, told := b.states()[name]; told {
				t.Errorf("told %+v", s)
			}
			if b.gate.leaseOver(b.now) {
				t.Error("the lease counts as over")
			}
		})
	}
}

// A new process of the gate has just heard the newer life. An answer of the former one, to a
// call that was sent before, comes last.
func TestOvertakenAnswerOfFormerLife(t *testing.T) {
	b := newRestartBench(t)
	b.gate = New(b.gate.options)
	b.now += 300 * time.Millisecond
	early := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	b.restart(secondLife, behindClockAt)
	b.answer(HoldAnswer{})
	b.beat(false)
	b.answer(HoldAnswer{})
	b.gate.OnHold(b.now, early, Answer{ClockMS: aheadClockAt, Life: Life{Born: firstLife.Born}}, HoldAnswer{}, nil)
	b.answer(HoldAnswer{})
	if b.gate.life != secondLife || !b.gate.Open(b.now) {
		t.Errorf("life %v, open %v, want the newer one and open", b.gate.life, b.gate.Open(b.now))
	}
}

// A word that does not tell which life it is of is not believed while lives tell it.
func TestWordsThatDoNotTellTheLife(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(working(name))
	b.states()
	untold := Life{ID: firstLife.ID}
	if _, believed := b.gate.OnHeartbeat(b.now, b.heartbeatOf(untold, 99, true)); believed {
		t.Error("a heartbeat is believed")
	}
	if a := b.gate.OnDeregister(b.now, untold); !a.HoldNow {
		t.Error("no call looks whether the target is there after a deregistration")
	}
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	lists := HoldAnswer{Finished: []Ended{{Number: 6, Name: name, Kind: EndDone}}}
	b.gate.OnHold(b.now, h, Answer{ClockMS: b.targetClock()}, lists, nil)
	if s, told := b.states()[name]; told || !b.open() || b.gate.life != firstLife {
		t.Errorf("told %v %+v, open %v, life %v", told, s, b.open(), b.gate.life)
	}
	b.answer(working(name))
	if h := b.answer(working(name)); h.Call.Seen != 5 {
		t.Errorf("noted up to %d, want 5", h.Call.Seen)
	}
}

// An end that was told but not noted when the target started again is told until its owner
// has judged it, and is forgotten then.
func TestRestartBeforeEndIsNoted(t *testing.T) {
	for _, kind := range []VerdictKind{VerdictNote, VerdictDiscard} {
		b := newRestartBench(t)
		name := testRun("aa", 0, 1)
		b.started(b.order(true, name))
		b.answer(HoldAnswer{Finished: []Ended{{Number: 6, Name: name, Kind: EndDone}}})
		b.restart(secondLife, behindClockAt)
		b.answer(HoldAnswer{})
		b.answer(HoldAnswer{})
		b.beat(false)
		if s := b.states()[name]; s.End != EndDone {
			t.Errorf("told %+v, want the run done", s)
		}
		b.verdict(name, kind)
		if b.gate.HasRuns(testOwner) || b.gate.Lapsing() || !b.open() {
			t.Errorf("run known %v, lapsing %v, open %v after the verdict", b.gate.HasRuns(testOwner), b.gate.Lapsing(), b.open())
		}
	}
}

// Runs that wait go back to their owners: the newer life may be of another kind.
func TestRestartGivesQueueBack(t *testing.T) {
	b := newRestartBench(t)
	b.startRun(testRun("aa", 0, 1))
	waiting := wide("bb")
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 3, Starts: []Order{waiting}})
	b.states()
	b.restart(secondLife, behindClockAt)
	b.answer(HoldAnswer{})
	if s := b.states()[waiting.Name]; s.End != EndRejected {
		t.Errorf("told %+v of the run that waits, want it back", s)
	}
}

// Two restarts between two words, and one of another target within the same millisecond.
func TestRestartTwice(t *testing.T) {
	for _, last := range []Life{thirdLife, {ID: "i-2", Born: firstLife.Born}} {
		b := newRestartBench(t)
		name := testRun("aa", 0, 1)
		b.startRun(name)
		b.answer(working(name))
		b.states()
		b.restart(secondLife, behindClockAt)
		b.beat(false)
		b.restart(last, behindClockAt)
		b.beat(false)
		h := b.gate.NextHold(b.now, 0)
		b.now += time.Millisecond
		if last.ID != firstLife.ID {
			b.gate.OnHold(b.now, h, Answer{Life: Life{ID: last.ID}}, HoldAnswer{}, ErrOtherLife)
		} else {
			b.answered(h, HoldAnswer{})
		}
		b.answer(HoldAnswer{})
		b.answer(HoldAnswer{})
		if s := b.states()[name]; s.End != EndLost {
			t.Errorf("told %+v, want the run lost", s)
		}
		if b.gate.life != last || !b.open() {
			t.Errorf("life %v, open %v, want %v and open", b.gate.life, b.open(), last)
		}
	}
}

// The newer life answers nothing after its heartbeat: what may have been carried out there
// counts as over once its lease is.
func TestRestartIntoSilence(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(working(name))
	b.states()
	b.restart(secondLife, behindClockAt)
	b.answer(HoldAnswer{})
	for begun := b.now; b.now-begun < 1500*time.Millisecond; b.now += tickPause {
		b.gate.Tick(b.now)
		if b.now-begun > time.Second {
			continue
		}
		if s, told := b.states()[name]; told {
			t.Errorf("told %+v %v after the restart", s, b.now-begun)
		}
	}
	if s := b.states()[name]; s.End != EndLost {
		t.Errorf("told %+v, want the run lost", s)
	}
}

// An agent that starts beside a life which it has not met goes by no description of a
// former one, nor by one that does not tell its life.
func TestRecallOfFormerLife(t *testing.T) {
	for _, life := range []Life{firstLife, {ID: firstLife.ID}} {
		b := newRestartBench(t)
		b.gate = New(b.gate.options)
		b.restart(secondLife, behindClockAt)
		b.gate.Recall(Description{Life: life, Service: "engine", Capacity: job.Resources{CPU: 16000}, Draining: true})
		for range 3 {
			b.answer(HoldAnswer{})
		}
		if d, known := b.gate.Description(); known {
			t.Errorf("described as %+v by what was known of %v", d, life)
		}
		b.beat(false)
		b.answer(HoldAnswer{})
		if !b.gate.Open(b.now) {
			t.Error("closed to the newer life")
		}
	}
}

// A heartbeat of the life that is known names a service that is not the target's: it is
// another writer's. The ones before and after hold, whichever comes last.
func TestHeartbeatOfOtherService(t *testing.T) {
	b := newRestartBench(t)
	b.gate.options.Service = "engine"
	bad := b.heartbeatOf(firstLife, 1_000_000, true)
	bad.Service = "somebody-elses"
	bad.Capacity = job.Resources{CPU: 1}
	if _, believed := b.gate.OnHeartbeat(b.now, bad); believed {
		t.Error("believed")
	}
	if d, _ := b.gate.Description(); !b.open() || d.Service != "engine" || d.Capacity.CPU != 16000 {
		t.Errorf("open %v, described as %+v", b.open(), d)
	}
	if !b.beat(true) || b.open() {
		t.Error("the next good heartbeat is passed over")
	}
	// The first word that a new process of the gate hears.
	b.gate = New(b.gate.options)
	if _, believed := b.gate.OnHeartbeat(b.now, bad); believed {
		t.Error("believed as the first word")
	}
}

// The clock that a heartbeat tells ends no lease: only the target's own answers do.
func TestClockOfHeartbeatEndsNoLease(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(working(name))
	b.states()
	bad := b.heartbeatOf(firstLife, 1_000_000, false)
	bad.ClockMS = 1 << 50
	b.gate.OnHeartbeat(b.now, bad)
	b.now += 800 * time.Millisecond // Beyond the patience with holds.
	b.gate.Tick(b.now)
	if s, told := b.states()[name]; told {
		t.Errorf("told %+v", s)
	}
}

// A list of which not all can be read ends no run by what it leaves out; one that can does.
func TestPartialListEndsNoRun(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(working(name))
	b.states()
	b.answer(HoldAnswer{Partial: true})
	if s, told := b.states()[name]; told {
		t.Errorf("told %+v", s)
	}
	b.answer(HoldAnswer{})
	if s := b.states()[name]; s.End != EndLost {
		t.Errorf("told %+v, want the run lost", s)
	}
}

// An end of a run that nobody knows holds up none of those after it.
func TestEndOfUnknownRun(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(HoldAnswer{Finished: []Ended{{Number: 6, Kind: EndLost}, {Number: 7, Name: name, Kind: EndDone}}})
	if s := b.states()[name]; s.End != EndDone {
		t.Errorf("told %+v, want the run done", s)
	}
	b.verdict(name, VerdictNote)
	if h := b.answer(HoldAnswer{}); h.Call.Seen != 7 || b.gate.HasRuns(testOwner) {
		t.Errorf("noted up to %d, run known %v", h.Call.Seen, b.gate.HasRuns(testOwner))
	}
}

// What made the former life suspect says nothing of the newer one.
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
	b.restart(secondLife, behindClockAt)
	b.answer(HoldAnswer{})
	b.answer(HoldAnswer{})
	b.beat(false)
	b.startRun(testRun("dd", 0, 1))
}

// The former life's answer to a stop comes late: the run that the newer one has is not
// stopped by it, and the newer clock stays what it is.
func TestRestartThenLateAnswerToStop(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	a := b.startRun(name)
	stop := StopCall{Name: name, Fence: a.Starts[0].Fence}
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Stops: []job.RunName{name}})
	b.restart(secondLife, behindClockAt)
	b.answer(working(name))
	b.answer(working(name))
	clock := b.gate.targetClock(b.now)
	b.gate.OnStop(b.now, a.Life, stop, Answer{ClockMS: aheadClockAt}, nil)
	b.gate.OnStart(b.now, a.Life, a.Starts[0], Answer{ClockMS: aheadClockAt}, nil)
	if r := b.gate.runs[name]; r == nil || r.stopConfirmed != 0 {
		t.Errorf("run %+v, want one whose stop is not confirmed", r)
	}
	if got := b.gate.targetClock(b.now); got != clock {
		t.Errorf("clock %d, want %d", got, clock)
	}
}

// A target says that it leaves; a heartbeat that it sent after that arrives first. The one
// that was overtaken is acknowledged, so it counts.
func TestOvertakenDraining(t *testing.T) {
	b := newRestartBench(t)
	leaving := b.heartbeatOf(firstLife, b.sequence+1, true)
	b.sequence++
	b.beat(false)
	if _, believed := b.gate.OnHeartbeat(b.now, leaving); !believed || b.open() {
		t.Errorf("believed %v, open %v", believed, b.open())
	}
}

// Symptom: a kept task began again after a newer life had run it to its end, which was done and
// noted there, unheard.
//
// Sequence: a hold waits at the former life as that crashes. The newer one carries out a late
// start, whose run ends. An owner's word that an earlier end is durable brings a hold beside the
// one that waits.
//
// Cause: that hold named the former life's noted ends, since no call had failed yet.
func TestHoldBesideWaitingOneNotesNothing(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(HoldAnswer{Finished: []Ended{{Number: 6, Name: name, Kind: EndDone}}})
	b.gate.NextHold(b.now, holdWait)
	b.restart(secondLife, behindClockAt)
	b.now += 80 * time.Millisecond
	b.verdict(name, VerdictNote)
	beside := b.gate.NextHold(b.now, 0)
	if beside.Call.Seen != 0 {
		t.Errorf("notes ends up to %d of a life that last answered 80 ms ago, want none", beside.Call.Seen)
	}
}

// An end that could not be noted with the hold beside a waiting one is noted as soon as that is
// answered.
func TestEndIsNotedOnceTheLifeHasAnswered(t *testing.T) {
	b := newRestartBench(t)
	name := testRun("aa", 0, 1)
	b.startRun(name)
	b.answer(HoldAnswer{Finished: []Ended{{Number: 6, Name: name, Kind: EndDone}}})
	b.now += 80 * time.Millisecond
	b.verdict(name, VerdictNote)
	beside := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	a := b.gate.OnHold(b.now, beside, Answer{ClockMS: b.targetClock(), Life: Life{Born: b.life.Born}}, HoldAnswer{}, nil)
	if !a.HoldNow {
		t.Fatal("no hold follows that notes the end")
	}
	next := b.answer(HoldAnswer{})
	if next.Call.Seen != 6 {
		t.Errorf("notes ends up to %d, want 6", next.Call.Seen)
	}
	if h := b.gate.NextHold(b.now, 0); b.gate.notesToTell() {
		t.Errorf("asks for another hold after %d was noted", h.Call.Seen)
	}
}

// Symptom: two runs of a task at one time for 0.4 s, where the platform allows leases of 15 s.
//
// Sequence: a hold that is meant for the former life reaches the newer one, whose clock is behind:
// it gets a lease of seconds. The target is then not heard of for longer than the gate leases.
//
// Cause: the lease counted as over by what the gate had asked of the newer life. The runs counted
// as over with it and were started elsewhere.
func TestLeaseByFormerClock(t *testing.T) {
	const longest = 15 * time.Second
	tests := []struct {
		name    string
		longest time.Duration
		clockAt int64
		// over is when the runs count as over after the target's last word at the latest.
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
			b.restart(secondLife, test.clockAt)
			b.beat(false)
			b.answer(HoldAnswer{})
			b.answer(HoldAnswer{})
			name := testRun("aa", 0, 1)
			b.startRun(name)
			b.answer(working(name))
			last := b.now
			lost := func(after time.Duration) bool {
				b.now = last + after
				b.gate.Tick(b.now)
				r := b.gate.runs[name]
				return r == nil || r.phase == phaseEnded
			}
			if lost(test.over) {
				t.Errorf("the run counts as over %v after the target's last word; its lease may hold", test.over)
			}
			if !lost(test.over*110/100 + lapseMargin + 100*time.Millisecond) {
				t.Error("the run never counts as over")
			}
		})
	}
}
