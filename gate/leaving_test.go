package gate

import (
	"testing"
	"time"

	"rackspur/job"
	"rackspur/leaving"
)

// leavingBench is a gate beside a target whose runs take a given time.
type leavingBench struct {
	*bench
	runs map[job.RunName]*simulatedRun
	ends int64
	// reported has the time after the announcement at which each run was reported as one that
	// can't end.
	reported  map[job.RunName]time.Duration
	announced Time
}

// simulatedRun is a run on the simulated target.
type simulatedRun struct {
	began, takes Time
	// silent says that the run reports no progress, checkpoints that it takes checkpoints.
	silent, checkpoints bool
	// last is the run's entry in the newest list.
	last Running
}

func newLeavingBench(t *testing.T, move bool) *leavingBench {
	b := &leavingBench{bench: newBench(t), runs: map[job.RunName]*simulatedRun{}, reported: map[job.RunName]time.Duration{}}
	b.gate.options.MoveLeaving = move
	return b
}

// start starts a run that takes some time.
func (b *leavingBench) start(name job.RunName, estimate, takes time.Duration) *simulatedRun {
	b.t.Helper()
	f := OwnerFrame{Echo: b.now, DurableEcho: b.now, Sequence: 1, Starts: []Order{{Name: name, Need: job.Resources{CPU: 1600, Memory: 64}, Estimate: estimate, BestEffort: true}}}
	a, _ := b.gate.OnFrame(b.now, testOwner, 1, f)
	if len(a.Starts) != 1 {
		b.t.Fatalf("%d starts, want 1", len(a.Starts))
	}
	b.started(a)
	r := &simulatedRun{began: b.now, takes: takes}
	b.runs[name] = r
	return r
}

// announcement returns a heartbeat of a draining target.
func (b *leavingBench) announcement(remaining time.Duration) Heartbeat {
	return Heartbeat{
		Incarnation: testIncarnation, Service: "engine", Capacity: job.Resources{CPU: 16000, Memory: 32768},
		Draining: true, ClockMS: b.targetClock(), Sequence: b.now.Milliseconds(), Remaining: remaining,
	}
}

// announce makes the target say that it leaves.
func (b *leavingBench) announce(remaining time.Duration) {
	b.announced = b.now
	b.gate.OnHeartbeat(b.now, b.announcement(remaining))
}

// lists returns the target's lists at the current time.
func (b *leavingBench) lists() HoldAnswer {
	var lists HoldAnswer
	for name, r := range b.runs {
		if b.now-r.began >= r.takes {
			b.ends++
			lists.Finished = append(lists.Finished, Ended{Number: b.ends, Name: name, Kind: EndDone})
			delete(b.runs, name)
			continue
		}
		r.last = Running{Name: name, Percent: int(100 * (b.now - r.began) / r.takes)}
		if r.checkpoints {
			r.last.Checkpoint = (b.now - r.began).String()
		}
		if r.silent {
			r.last.Percent = PercentUnknown
		}
		lists.Running = append(lists.Running, r.last)
	}
	return lists
}

// proceed lets time pass while the owner is in contact and the target lists its runs. It fails if
// a run is reported more than once.
func (b *leavingBench) proceed(most time.Duration) {
	b.t.Helper()
	for until := b.now + most; b.now < until; {
		b.now += min(watchWait-time.Millisecond, until-b.now)
		b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now})
		b.hold(b.lists())
		for name, s := range b.states() {
			if s.Reason != ReasonLeaving || s.End != 0 {
				continue
			}
			if _, again := b.reported[name]; again {
				b.t.Errorf("%v is reported again", name)
			}
			b.reported[name] = b.now - b.announced
		}
	}
}

// While long tasks run, a target leaves with 2 s notice. Runs that can't end there must be reported
// in time for a stop, and no others: a moved run starts over.
func TestRunsOnLeavingTarget(t *testing.T) {
	const notice = 2 * time.Second
	usual, ending, tooLong, resumable, silent := testRun("aa", 0, 1), testRun("aa", 1, 1), testRun("bb", 0, 1), testRun("cc", 0, 1), testRun("dd", 0, 1)
	for _, move := range []bool{true, false} {
		b := newLeavingBench(t, move)
		b.start(tooLong, 900*time.Millisecond, 6300*time.Millisecond)
		b.start(resumable, 900*time.Millisecond, 6300*time.Millisecond).checkpoints = true
		b.start(silent, 900*time.Millisecond, 6300*time.Millisecond).silent = true
		b.proceed(300 * time.Millisecond)
		b.start(usual, 900*time.Millisecond, 900*time.Millisecond)
		b.start(ending, 900*time.Millisecond, 1750*time.Millisecond)
		b.announce(notice)
		b.proceed(notice)
		if !move {
			if len(b.reported) != 0 || b.gate.Counts().RunsLeaving != 0 {
				t.Errorf("reported %v with the setting off", b.reported)
			}
			continue
		}
		if len(b.reported) != 3 || b.gate.Counts().RunsLeaving != 3 {
			t.Errorf("reported %v, counted %d", b.reported, b.gate.Counts().RunsLeaving)
		}
		// A tenth of the run is done 630 ms after its start.
		if at, ok := b.reported[tooLong]; !ok || at > 400*time.Millisecond {
			t.Errorf("a run that takes seven times as long is reported %v after the announcement (%v)", at, ok)
		}
		for _, name := range []job.RunName{resumable, silent} {
			if at, ok := b.reported[name]; !ok || notice-at > leaving.LastChance || notice-at < leaving.StopTime {
				t.Errorf("%v is reported %v after the announcement (%v), want it at the last chance", name, at, ok)
			}
		}
	}
}

// A target that drains and doesn't say for how long, or tells nonsense, which is decoded as 0,
// changes nothing.
func TestLeavingTargetThatDoesNotTell(t *testing.T) {
	b := newLeavingBench(t, true)
	b.start(testRun("aa", 0, 1), 900*time.Millisecond, 6300*time.Millisecond)
	b.announce(0)
	b.proceed(2 * time.Second)
	if r := b.gate.report(b.now); r.Leaving != 0 || r.Open || len(b.reported) != 0 {
		t.Errorf("report %+v, reported runs %v", r, b.reported)
	}
	if len(b.gate.TakeEvents()) != 0 {
		t.Error("an event says that the target leaves")
	}
}

// A target that doesn't drain has no end, whatever its heartbeats carry.
func TestTimeLeftOfReadyTarget(t *testing.T) {
	b := newLeavingBench(t, true)
	b.start(testRun("aa", 0, 1), 900*time.Millisecond, 6300*time.Millisecond)
	h := b.announcement(time.Second)
	h.Draining = false
	b.gate.OnHeartbeat(b.now, h)
	b.proceed(900 * time.Millisecond)
	if r := b.gate.report(b.now); r.Leaving != 0 || !r.Open || len(b.reported) != 0 {
		t.Errorf("report %+v, reported runs %v", r, b.reported)
	}
	// What it told while it was ready doesn't count once it drains.
	b.announce(0)
	if r := b.gate.report(b.now); r.Leaving != 0 {
		t.Errorf("report %+v", r)
	}
}

// The time left only falls. A run would otherwise be left to die with its target because of a
// heartbeat that was on its way for long.
func TestTimeLeftOnlyFalls(t *testing.T) {
	const notice = 2 * time.Second
	const late = 800 * time.Millisecond
	tests := []struct {
		name string
		// later returns the heartbeat that arrives late, given the first one.
		later func(b *leavingBench, first Heartbeat) Heartbeat
	}{
		{"newer, sent with the first and held back", func(_ *leavingBench, h Heartbeat) Heartbeat {
			h.Sequence++
			return h
		}},
		{"newer without a clock", func(_ *leavingBench, h Heartbeat) Heartbeat {
			h.Sequence++
			h.ClockMS = 0
			return h
		}},
		{"newer with a clock far ahead", func(_ *leavingBench, h Heartbeat) Heartbeat {
			h.Sequence++
			h.ClockMS = 1<<63 - 1
			return h
		}},
		{"newer and tells more", func(b *leavingBench, _ Heartbeat) Heartbeat { return b.announcement(time.Hour) }},
		{"newer and tells nothing", func(b *leavingBench, _ Heartbeat) Heartbeat { return b.announcement(0) }},
		{"of an earlier sequence, held back", func(_ *leavingBench, h Heartbeat) Heartbeat {
			h.Sequence--
			return h
		}},
		{"of an earlier sequence without a clock", func(_ *leavingBench, h Heartbeat) Heartbeat {
			h.Sequence--
			h.ClockMS = 0
			return h
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newLeavingBench(t, true)
			first := b.announcement(notice)
			b.gate.OnHeartbeat(b.now, first)
			ends := b.now + notice
			b.proceed(late)
			if _, trusted := b.gate.OnHeartbeat(b.now, test.later(b, first)); !trusted {
				t.Fatal("the late heartbeat is not trusted")
			}
			if left, ok := b.gate.timeLeft(b.now); !ok || left > ends-b.now || left < ends-b.now-20*time.Millisecond {
				t.Errorf("time left %v (%v), want %v", left, ok, ends-b.now)
			}
		})
	}
}

// A heartbeat that tells less time than the one before counts, in whatever order they arrive.
func TestTimeLeftMayBecomeShorter(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		b := newLeavingBench(t, true)
		short, long := b.announcement(500*time.Millisecond), b.announcement(2*time.Second)
		if overtaken {
			long.Sequence++
			b.gate.OnHeartbeat(b.now, long)
			b.gate.OnHeartbeat(b.now, short)
		} else {
			short.Sequence++
			b.gate.OnHeartbeat(b.now, long)
			b.gate.OnHeartbeat(b.now, short)
		}
		if left, ok := b.gate.timeLeft(b.now); !ok || left != 500*time.Millisecond {
			t.Errorf("time left %v (%v), overtaken %v", left, ok, overtaken)
		}
	}
}

// A heartbeat that was on its way for long tells its time on the target's clock. Counted from its
// arrival, runs would be moved too late.
func TestTimeLeftOfLateHeartbeat(t *testing.T) {
	b := newLeavingBench(t, true)
	tooLong := testRun("aa", 0, 1)
	b.start(tooLong, 900*time.Millisecond, 900*time.Millisecond)
	sent := b.announcement(time.Second)
	b.now += 400 * time.Millisecond
	b.hold(b.lists())
	b.announced = b.now
	b.gate.OnHeartbeat(b.now, sent)
	if r := b.gate.report(b.now); r.Leaving > 600*time.Millisecond || r.Leaving < 570*time.Millisecond {
		t.Errorf("leaving in %v, want 600 ms", r.Leaving)
	}
	later := b.announcement(800 * time.Millisecond)
	later.Sequence++
	b.gate.OnHeartbeat(b.now, later)
	if r := b.gate.report(b.now); r.Leaving > 600*time.Millisecond {
		t.Errorf("leaving in %v after a heartbeat that tells more than is left", r.Leaving)
	}
	b.proceed(700 * time.Millisecond)
	if r := b.gate.report(b.now); r.Leaving != time.Millisecond {
		t.Errorf("leaving in %v after the time, want that it is known and over", r.Leaving)
	}
}

// An owner that doesn't answer must not keep the gate from going on as before: the run is reported
// once, again over a new link, and counts as lost once it is known to be over.
func TestLeavingRunOfSilentOwner(t *testing.T) {
	b := newLeavingBench(t, true)
	name := testRun("aa", 0, 1)
	b.start(name, 900*time.Millisecond, 6300*time.Millisecond)
	b.proceed(700 * time.Millisecond)
	b.announce(2 * time.Second)
	b.proceed(500 * time.Millisecond)
	if len(b.reported) != 1 {
		t.Fatalf("reported %v, want the run", b.reported)
	}
	b.gate.Connect(b.now, testOwner, 2, func() {})
	f, _ := b.gate.Flush(b.now, testOwner, 2)
	if len(f.States) != 1 || f.States[0].Reason != ReasonLeaving || !f.States[0].Running || f.Report.Leaving == 0 {
		t.Errorf("reported %+v, %v over a new link", f.States, f.Report.Leaving)
	}
	b.gate.OnDeregister(b.now, testIncarnation)
	b.gate.OnHold(b.now, b.gate.NextHold(b.now, 0), Answer{}, HoldAnswer{}, ErrNotListening)
	f, _ = b.gate.Flush(b.now, testOwner, 2)
	if len(f.States) != 1 || f.States[0].End != EndLost || f.States[0].Reason == ReasonLeaving {
		t.Errorf("reported %+v after the target's end, want the run lost", f.States)
	}
	if n := b.gate.Counts().RunsLeaving; n != 1 {
		t.Errorf("counted %d, want 1", n)
	}
}

// A run that its owner has already stopped is not reported.
func TestStoppedRunIsNotReportedAsLeaving(t *testing.T) {
	b := newLeavingBench(t, true)
	name := testRun("aa", 0, 1)
	b.start(name, 900*time.Millisecond, 6300*time.Millisecond)
	b.proceed(700 * time.Millisecond)
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now, Stops: []job.RunName{name}})
	b.announce(time.Second)
	b.proceed(900 * time.Millisecond)
	if len(b.reported) != 0 {
		t.Errorf("reported %v", b.reported)
	}
}

// The gate's process restarts while its target leaves. What the former process knew is gone; the
// next heartbeat tells the time again, and the progress that is observed tells which runs can't
// end.
func TestAgentRestartsBesideLeavingTarget(t *testing.T) {
	tooLong, ending := testRun("aa", 0, 1), testRun("bb", 0, 1)
	draining := recalled
	draining.Draining = true
	b := &leavingBench{bench: restarted(t, draining), runs: map[job.RunName]*simulatedRun{}, reported: map[job.RunName]time.Duration{}}
	b.gate.options.MoveLeaving = true
	b.runs[tooLong] = &simulatedRun{began: b.now - 2*time.Second, takes: 6300 * time.Millisecond}
	b.runs[ending] = &simulatedRun{began: b.now - 500*time.Millisecond, takes: 900 * time.Millisecond}
	b.hold(HoldAnswer{})
	b.hold(b.lists())
	b.gate.Connect(b.now, testOwner, 1, func() {})
	b.states()
	for name := range b.runs {
		b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now, Verdicts: []Verdict{{Name: name, Kind: VerdictClaim, BestEffort: true}}})
	}
	b.states()
	b.proceed(200 * time.Millisecond)
	if r := b.gate.report(b.now); r.Open || r.Leaving != 0 || len(b.reported) != 0 {
		t.Fatalf("report %+v, reported runs %v before a heartbeat", r, b.reported)
	}
	if h := b.gate.NextHold(b.now, holdWait); h.Call.WaitMS != int(holdWait.Milliseconds()) {
		t.Errorf("a hold waits %d ms before the target tells its end", h.Call.WaitMS)
	}
	b.announce(1200 * time.Millisecond)
	// The estimates of found runs are not known, so only their leaving has them listed more often.
	if h := b.gate.NextHold(b.now, holdWait); h.Call.WaitMS > int(leaving.ListInterval.Milliseconds()) {
		t.Errorf("a hold waits %d ms beside a target that leaves", h.Call.WaitMS)
	}
	b.proceed(1200 * time.Millisecond)
	if at, ok := b.reported[tooLong]; !ok || at > 600*time.Millisecond || len(b.reported) != 1 {
		t.Errorf("reported %v, want only the run that can't end, once a tenth of it was observed", b.reported)
	}
}

// A delayed heartbeat of an older incarnation, with which the gate's process began, tells nothing
// of the target's current one.
func TestTimeLeftOfOtherIncarnation(t *testing.T) {
	b := &leavingBench{bench: restarted(t, Description{})}
	delayed := b.announcement(time.Second)
	delayed.Incarnation, delayed.Cold = olderIncarnation, time.Second
	b.gate.OnHeartbeat(b.now, delayed)
	for range 4 {
		b.holdOf(testIncarnation)
	}
	b.heartbeat(testIncarnation, false)
	b.holdOf(testIncarnation)
	if r := b.gate.report(b.now); b.gate.current != testIncarnation || !r.Open || r.Leaving != 0 || r.Cold != 0 {
		t.Errorf("incarnation %v, report %+v", b.gate.current, r)
	}
	b.heartbeat(testIncarnation, true)
	if r := b.gate.report(b.now); r.Leaving != 0 {
		t.Errorf("leaving in %v by a heartbeat of an older incarnation", r.Leaving)
	}
}

// A target that takes a new id announces its end before calls to its former id are rejected. All its
// heartbeats count, from their arrival on.
func TestTimeLeftOfAdoptedCandidate(t *testing.T) {
	b := newLeavingBench(t, true)
	first, second := b.announcement(time.Second), b.announcement(3*time.Second)
	first.Incarnation, second.Incarnation = newerIncarnation, newerIncarnation
	second.Sequence++
	first.ClockMS, second.ClockMS = 0, 0
	ends := b.now + time.Second
	b.gate.OnHeartbeat(b.now, first)
	b.gate.OnHeartbeat(b.now, second)
	b.now += 100 * time.Millisecond
	b.gate.OnHold(b.now, b.gate.NextHold(b.now, 0), Answer{}, HoldAnswer{}, ErrOtherIncarnation)
	if left, ok := b.gate.timeLeft(b.now); b.gate.current != newerIncarnation || !ok || left != ends-b.now {
		t.Errorf("incarnation %v, time left %v (%v), want %v", b.gate.current, left, ok, ends-b.now)
	}
}

// The event about a leaving target is recorded once for each incarnation, with the time left.
func TestLeavingIsLoggedOnce(t *testing.T) {
	b := newLeavingBench(t, true)
	b.start(testRun("aa", 0, 1), 900*time.Millisecond, 6300*time.Millisecond)
	b.announce(0)
	for _, remaining := range []time.Duration{1700, 1600, 0, 900} {
		b.proceed(50 * time.Millisecond)
		b.announce(remaining * time.Millisecond)
	}
	var found []Event
	for _, e := range b.gate.TakeEvents() {
		if e.Kind == EventLeaving {
			found = append(found, e)
		}
	}
	if len(found) != 1 || found[0].TimeLeft != 1700*time.Millisecond || found[0].ActiveRuns != 1 || !found[0].Moves || found[0].Incarnation != testIncarnation {
		t.Errorf("events %+v, want one", found)
	}
}

// A cold target is reported as such until its time is over, once; what was measured in that time
// is dropped then.
func TestColdTarget(t *testing.T) {
	tests := []struct {
		name string
		// again changes the heartbeat that follows after 400 ms; nil for none.
		again func(h *Heartbeat)
	}{
		{"one heartbeat", nil},
		{"told again", func(h *Heartbeat) { h.Cold = 600 * time.Millisecond }},
		{"told late", func(h *Heartbeat) { h.Cold, h.ClockMS = time.Second, h.ClockMS-400 }},
		{"told late without a clock", func(h *Heartbeat) { h.Cold, h.ClockMS = time.Second, 0 }},
		{"nothing told", func(h *Heartbeat) { h.Cold = 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newLeavingBench(t, false)
			tell := func(change func(h *Heartbeat)) {
				h := b.announcement(0)
				h.Draining = false
				change(&h)
				b.gate.OnHeartbeat(b.now, h)
			}
			tell(func(h *Heartbeat) { h.Cold = time.Second })
			ends := b.now + time.Second
			b.proceed(400 * time.Millisecond)
			if test.again != nil {
				tell(test.again)
			}
			b.proceed(ends - b.now - 60*time.Millisecond)
			if r := b.gate.report(b.now); r.Cold > ends-b.now || r.Cold < ends-b.now-20*time.Millisecond || !r.Open {
				t.Errorf("cold for %v, open %v, want %v", r.Cold, r.Open, ends-b.now)
			}
			if b.gate.lifetime.warm {
				t.Error("ended before its time")
			}
			b.proceed(80 * time.Millisecond)
			if r := b.gate.report(b.now); r.Cold != 0 || !b.gate.lifetime.warm {
				t.Errorf("cold for %v, ended %v after its time", r.Cold, b.gate.lifetime.warm)
			}
			changes := b.gate.Reported()
			tell(func(h *Heartbeat) { h.Cold = time.Second })
			told := b.gate.Reported()
			b.proceed(time.Second)
			if r := b.gate.report(b.now); r.Cold != 0 || told != changes+1 || b.gate.Reported() != told {
				t.Errorf("cold for %v, %d changes of the report after its time", r.Cold, b.gate.Reported()-told)
			}
		})
	}
}

// The cold time also ends while the target answers no holds, so that owners aren't told speeds from
// that time as the target's usual one.
func TestColdTimeEndsWithoutAnswers(t *testing.T) {
	b := newLeavingBench(t, false)
	h := b.announcement(0)
	h.Draining, h.Cold = false, 100*time.Millisecond
	b.gate.OnHeartbeat(b.now, h)
	b.now += 120 * time.Millisecond
	b.gate.Tick(b.now)
	if !b.gate.lifetime.warm {
		t.Error("the cold time has not ended")
	}
}

// The cold time ends before the ends of the same list are handled, so that their samples are kept.
func TestColdTimeEndsBeforeEnds(t *testing.T) {
	b := newLeavingBench(t, false)
	name := testRun("aa", 0, 1)
	b.start(name, 100*time.Millisecond, 110*time.Millisecond)
	h := b.announcement(0)
	h.Draining, h.Cold = false, 100*time.Millisecond
	b.gate.OnHeartbeat(b.now, h)
	b.now += 120 * time.Millisecond
	var warm bool
	b.gate.OnReport(func() { warm = warm || b.gate.runs[name].phase == phaseRunning && b.gate.lifetime.warm })
	b.hold(b.lists())
	if !warm {
		t.Error("the cold time has not ended before the run")
	}
}

// The run time of a run whose start is not known is computed from its observed progress. Counted
// from its first list, it would seem to end too early.
func TestElapsed(t *testing.T) {
	tests := []struct {
		name      string
		startedMS int64
		listing   listing
		want      time.Duration
	}{
		{"started here", 1000, listing{firstMS: 1030, newestMS: 1530, first: 6, newest: 50}, 530 * time.Millisecond},
		{"started here, listed at once", 1000, listing{firstMS: 1000, newestMS: 1500, first: 0, newest: 50}, 500 * time.Millisecond},
		{"started here, progress unknown", 1000, listing{firstMS: 1000, newestMS: 1500, first: PercentUnknown, newest: PercentUnknown}, 500 * time.Millisecond},
		{"found", 0, listing{firstMS: 1000, newestMS: 1500, first: 50, newest: 60}, 3 * time.Second},
		{"found, little progress observed", 0, listing{firstMS: 1000, newestMS: 1500, first: 50, newest: 59}, 0},
		{"found, progress unknown", 0, listing{firstMS: 1000, newestMS: 1500, first: PercentUnknown, newest: 60}, 0},
		{"found, progress unknown later", 0, listing{firstMS: 1000, newestMS: 1500, first: 50, newest: PercentUnknown}, 0},
		{"carried out by a newer incarnation", 1000, listing{firstMS: 1000, newestMS: 1500, first: 50, newest: 60}, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := run{startedMS: test.startedMS, progress: progress{listing: test.listing}}
			if got := r.elapsed(); got != test.want {
				t.Errorf("elapsed %v, want %v", got, test.want)
			}
		})
	}
}
