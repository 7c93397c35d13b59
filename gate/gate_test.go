package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// bench is a gate whose target is simulated by the test.
type bench struct {
	t    *testing.T
	gate *Gate
	now  Time
	// clock is the target's clock at the gate's time zero.
	clock int64
}

const (
	testOwner = "entry-1~a"
)

// Incarnations of a target that takes a new id with each start.
var (
	testIncarnation  = Incarnation{ID: "i-1"}
	olderIncarnation = Incarnation{ID: "older"}
	newerIncarnation = Incarnation{ID: "newer"}
)

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Second, clock: 100000}
	b.gate = New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond})
	b.heartbeat(testIncarnation, false)
	b.hold(HoldAnswer{})
	b.hold(HoldAnswer{})
	b.gate.Connect(b.now, testOwner, 1, func() {})
	return b
}

func (b *bench) targetClock() int64 { return b.clock + b.now.Milliseconds() }

func (b *bench) heartbeat(incarnation Incarnation, draining bool) {
	b.gate.OnHeartbeat(b.now, Heartbeat{
		Incarnation: incarnation, Service: "engine", Capacity: job.Resources{CPU: 16000, Memory: 32768},
		Draining: draining, ClockMS: b.targetClock(), Sequence: b.now.Milliseconds(),
	})
}

// hold sends the hold that is due and answers it.
func (b *bench) hold(lists HoldAnswer) (Hold, Actions) {
	h := b.gate.NextHold(b.now, 0)
	b.now += time.Millisecond
	return h, b.gate.OnHold(b.now, h, Answer{ClockMS: b.targetClock(), Incarnation: b.gate.current}, lists, nil)
}

func testRun(id job.ID, index, run int) job.RunName {
	return job.RunName{TaskName: job.TaskName{Job: id, Index: index}, Run: run}
}

// order sends starts of the owner and returns the resulting actions.
func (b *bench) order(kept bool, names ...job.RunName) Actions {
	b.t.Helper()
	f := OwnerFrame{Echo: b.now, DurableEcho: b.now, Sequence: 1}
	for _, n := range names {
		f.Starts = append(f.Starts, Order{Name: n, Spec: "s", Need: job.Resources{CPU: 1600, Memory: 64}, Estimate: 100 * time.Millisecond, BestEffort: !kept})
	}
	a, ok := b.gate.OnFrame(b.now, testOwner, 1, f)
	if !ok {
		b.t.Fatal("frame rejected")
	}
	return a
}

// verdict sends the owner's verdict on a run.
func (b *bench) verdict(name job.RunName, kind VerdictKind) Actions {
	a, _ := b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now, Verdicts: []Verdict{{Name: name, Kind: kind}}})
	return a
}

// started answers all starts with success.
func (b *bench) started(a Actions) {
	for _, c := range a.Starts {
		b.gate.OnStart(b.now, a.Incarnation, c, Answer{ClockMS: b.targetClock()}, nil)
	}
}

// states returns the run states that the gate now reports to the owner.
func (b *bench) states() map[job.RunName]RunState {
	f, ok := b.gate.Flush(b.now, testOwner, 1)
	if !ok {
		b.t.Fatal("no frame")
	}
	m := map[job.RunName]RunState{}
	for _, s := range f.States {
		m[s.Name] = s
	}
	return m
}

// fillWith starts as many runs as fit and returns their names.
func (b *bench) fillWith(id job.ID) []job.RunName {
	var names []job.RunName
	for i := range 10 {
		names = append(names, testRun(id, i, 1))
	}
	b.started(b.order(true, names...))
	return names
}

// When a gate closes, queued runs are returned to their owner instead of waiting forever.
func TestClosedGateGivesQueueBack(t *testing.T) {
	waiting := testRun("bb", 0, 1)
	closings := map[string]func(b *bench){
		"draining":   func(b *bench) { b.heartbeat(testIncarnation, true) },
		"deregister": func(b *bench) { b.gate.OnDeregister(b.now, testIncarnation) },
		"leaving":    func(b *bench) { b.gate.Leave() },
		"lapsing": func(b *bench) {
			b.gate.lapsing = true
			b.gate.Tick(b.now)
		},
	}
	for name, closeGate := range closings {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.fillWith("aa")
			b.order(true, waiting)
			b.states()
			closeGate(b)
			if s := b.states()[waiting]; s.End != EndRejected {
				t.Errorf("state %+v, want rejected", s)
			}
		})
	}
}

// If a found run ends before it is claimed, the end is reported with the claim, so that the
// owner can acknowledge it.
func TestClaimTellsEnd(t *testing.T) {
	b := newBench(t)
	found := testRun("aa", 0, 1)
	b.hold(HoldAnswer{Running: []Running{{Name: found, Percent: 10}}})
	if s := b.states()[found]; !s.Running {
		t.Fatalf("state %+v, want running", s)
	}
	b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: found, Kind: EndDone}}})
	b.states()
	b.verdict(found, VerdictClaim)
	if s := b.states()[found]; s.End != EndDone {
		t.Errorf("state %+v after the claim, want done", s)
	}
	b.verdict(found, VerdictAcknowledge)
	if b.gate.seen != 1 {
		t.Errorf("acknowledged up to %d, want 1", b.gate.seen)
	}
}

// If a found run ends unclaimed because its job was lost with its owner, the end is reported to
// all linked owners, so that one of them can acknowledge it.
func TestEndOfUnclaimedRunIsTold(t *testing.T) {
	b := newBench(t)
	found := testRun("aa", 0, 1)
	b.hold(HoldAnswer{Running: []Running{{Name: found, Percent: 10}}})
	b.states()
	b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: found, Kind: EndDone}}})
	if s := b.states()[found]; s.End != EndDone {
		t.Fatalf("state %+v, want the end reported", s)
	}
	b.verdict(found, VerdictAcknowledge)
	if b.gate.seen != 1 {
		t.Errorf("acknowledged up to %d, want 1", b.gate.seen)
	}
}

// A gate that has just started accepts no links before its target has listed its runs. Owners
// would otherwise start active runs again.
func TestNoLinkBeforeSurvey(t *testing.T) {
	g := New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: time.Second, BestEffortContactTimeout: 850 * time.Millisecond})
	if g.Connect(time.Millisecond, testOwner, 1, func() {}) {
		t.Error("link accepted before the target has listed its runs")
	}
	if !g.Connect(1200*time.Millisecond, testOwner, 2, func() {}) {
		t.Error("link rejected though all leases are over")
	}
	b := newBench(t)
	if !b.gate.Connect(b.now, "other", 1, func() {}) {
		t.Error("link rejected after the target has listed its runs")
	}
}

// An unanswered start that the target does not list is stopped, so that it can't be carried out
// later, and then rejected.
func TestUnansweredStart(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	a := b.order(true, name)
	b.now += 60 * time.Millisecond
	b.gate.OnStart(b.now, a.Incarnation, a.Starts[0], Answer{}, ErrUnanswered)
	b.now += time.Millisecond
	_, a = b.hold(HoldAnswer{})
	if len(a.Stops) != 1 || a.Stops[0].Name != name {
		t.Fatalf("stops %+v, want one", a.Stops)
	}
	b.hold(HoldAnswer{})
	if s := b.states()[name]; s.End != 0 {
		t.Fatalf("state %+v before the stop was answered", s)
	}
	b.gate.OnStop(b.now, a.Incarnation, a.Stops[0], Answer{ClockMS: b.targetClock()}, nil)
	b.now += time.Millisecond
	b.hold(HoldAnswer{})
	if s := b.states()[name]; s.End != EndRejected {
		t.Errorf("state %+v, want rejected", s)
	}
	if b.gate.used != (job.Resources{}) {
		t.Errorf("capacity still in use: %+v", b.gate.used)
	}
}

// A run continues if the answer to its start was lost but the target lists it.
func TestLostAnswerOfStart(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	a := b.order(true, name)
	b.gate.OnStart(b.now, a.Incarnation, a.Starts[0], Answer{}, ErrUnanswered)
	if _, a = b.hold(HoldAnswer{Running: []Running{{Name: name}}}); len(a.Stops) != 0 {
		t.Errorf("stopped: %+v", a.Stops)
	}
	if s := b.states()[name]; !s.Running {
		t.Errorf("state %+v, want running", s)
	}
}

// Lists older than the ones already processed are ignored: a run that has ended since would
// come back without an owner.
func TestOvertakenLists(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.order(true, name))
	old := b.gate.NextHold(b.now, 0)
	oldAnswer := Answer{ClockMS: b.targetClock(), Incarnation: testIncarnation}
	b.now += 5 * time.Millisecond
	b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: name, Kind: EndDone}}})
	b.verdict(name, VerdictAcknowledge)
	if !b.gate.Idle() {
		t.Fatal("not idle after the end was acknowledged")
	}
	b.gate.OnHold(b.now, old, oldAnswer, HoldAnswer{Running: []Running{{Name: name}}}, nil)
	if !b.gate.Idle() {
		t.Error("a run came back with an old answer")
	}
}

// Found runs take up unknown capacity until they are claimed; nothing is started until then.
func TestRoomOfUnclaimedRuns(t *testing.T) {
	b := newBench(t)
	found, next := testRun("aa", 0, 1), testRun("bb", 0, 1)
	b.hold(HoldAnswer{Running: []Running{{Name: found}}})
	order := Order{Name: next, Need: job.Resources{CPU: 1600}}
	a, _ := b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now, Starts: []Order{order}})
	if len(a.Starts) != 0 {
		t.Fatal("started beside a run whose need is not known")
	}
	a, _ = b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now, Verdicts: []Verdict{{Name: found, Kind: VerdictClaim, Need: job.Resources{CPU: 15000}}}})
	if len(a.Starts) != 0 {
		t.Fatal("started over the capacity")
	}
	_, a = b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: found, Kind: EndDone}}})
	if len(a.Starts) != 1 {
		t.Errorf("%d starts once there is room, want 1", len(a.Starts))
	}
}

// A target without room beside unclaimed runs does not get the start again until they are
// claimed.
func TestNoRoomBesideUnclaimedRuns(t *testing.T) {
	b := newBench(t)
	found, next := testRun("aa", 0, 1), testRun("bb", 0, 1)
	a := b.order(true, next)
	b.hold(HoldAnswer{Running: []Running{{Name: found}}})
	a = b.gate.OnStart(b.now, a.Incarnation, a.Starts[0], Answer{ClockMS: b.targetClock()}, ErrNoRoom)
	if s := b.states()[next]; len(a.Starts) != 0 || s.End != 0 {
		t.Fatalf("starts %v, state %+v; want it to wait", a.Starts, s)
	}
	b.now += fullPause
	if a = b.gate.Tick(b.now); len(a.Starts) != 0 {
		t.Errorf("%d starts after a pause beside an unclaimed run, want 0", len(a.Starts))
	}
	if a = b.verdict(found, VerdictClaim); len(a.Starts) != 1 {
		t.Errorf("%d starts after the claim, want 1", len(a.Starts))
	}
}

// The end of a best-effort run is acknowledged to the target without a verdict, and reported
// until the owner has received it.
func TestBestEffortEndNotedAlone(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.order(false, name))
	b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: name, Kind: EndDone}}})
	if h, _ := b.hold(HoldAnswer{}); h.Call.Seen != 1 {
		t.Errorf("acknowledged up to %d, want 1", h.Call.Seen)
	}
	if s := b.states(); s[name].End != EndDone {
		t.Fatalf("reported %+v", s[name])
	}
	// The link breaks before the owner has received the frame.
	b.gate.Connect(b.now, testOwner, 2, func() {})
	f, _ := b.gate.Flush(b.now, testOwner, 2)
	if len(f.States) != 1 || f.States[0].End != EndDone {
		t.Errorf("reported %+v over a new link, want the end", f.States)
	}
	b.gate.OnFrame(b.now, testOwner, 2, OwnerFrame{Echo: b.now, Verdicts: []Verdict{{Name: name, Kind: VerdictAcknowledge}}})
	if !b.gate.Idle() {
		t.Error("not forgotten after the owner's verdict")
	}
}

// The end of a durable job's run is acknowledged only after its owner's verdict.
func TestKeptEndWaitsForWord(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.order(true, name))
	b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: name, Kind: EndDone}}})
	if h, _ := b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: name, Kind: EndDone}}}); h.Call.Seen != 0 {
		t.Errorf("acknowledged up to %d before the owner's verdict", h.Call.Seen)
	}
	b.verdict(name, VerdictAcknowledge)
	if h, _ := b.hold(HoldAnswer{}); h.Call.Seen != 1 {
		t.Errorf("acknowledged up to %d after the owner's verdict, want 1", h.Call.Seen)
	}
}

// The queue is limited to a share of the capacity. The last runs are returned to their owner,
// which may place them elsewhere.
func TestQueueIsBounded(t *testing.T) {
	b := newBench(t)
	b.fillWith("aa")
	b.states()
	var names []job.RunName
	for i := range 6 {
		names = append(names, testRun("bb", i, 1))
	}
	f := OwnerFrame{Echo: b.now, DurableEcho: b.now, Sequence: 1}
	for i, n := range names {
		f.Starts = append(f.Starts, Order{Name: n, Need: job.Resources{CPU: 1600, Memory: 64}, Rank: int64(len(names) - i), BestEffort: true})
	}
	b.gate.OnFrame(b.now, testOwner, 1, f)
	if most := 16000 * QueueShare / 1000; b.gate.queued().CPU > most {
		t.Errorf("%d of CPU queued, want %d at most", b.gate.queued().CPU, most)
	}
	if first := b.gate.queue.first(); first == nil || first.RunName != names[len(names)-1] {
		t.Errorf("first %+v, want the most urgent", first)
	}
	given := 0
	for _, s := range b.states() {
		if s.End == EndRejected && s.Reason == ReasonFull {
			given++
		}
	}
	if given+b.gate.queue.len() != len(names) {
		t.Errorf("%d returned and %d waiting, want %d together", given, b.gate.queue.len(), len(names))
	}
}

// list answers the hold that is due with running runs and their progress.
func (b *bench) list(percent int, names ...job.RunName) {
	var lists HoldAnswer
	for _, n := range names {
		lists.Running = append(lists.Running, Running{Name: n, Percent: percent})
	}
	b.hold(lists)
}

// A stalled run is reported once it was watched for long enough. A run that is slow on a
// healthy target is not, since its estimate may be wrong.
func TestRunBehindIsTold(t *testing.T) {
	cases := []struct {
		name          string
		first, second int
		after         time.Duration
		behind        bool
	}{
		{"progress stalled", 0, 0, 50 * time.Millisecond, true},
		{"six times too slow", 2, 10, 50 * time.Millisecond, false},
		{"estimate too short and data far away", 0, 24, 60 * time.Millisecond, false},
		{"as estimated", 10, 60, 50 * time.Millisecond, false},
		{"not watched for long", 0, 0, 20 * time.Millisecond, false},
		{"nearly done", 97, 97, 45 * time.Millisecond, false},
		{"nearly done and stalled", 97, 97, 60 * time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			name := testRun("aa", 0, 1)
			b.started(b.order(false, name))
			b.states()
			b.list(tc.first, name)
			b.now += tc.after
			b.list(tc.second, name)
			s, told := b.states()[name]
			if told != tc.behind || (told && s.Reason != ReasonBehind) {
				t.Errorf("reported %v, reason %q; want %v", told, s.Reason, tc.behind)
			}
		})
	}
}

// A run that makes progress at first is still watched.
func TestRunThatStopsLater(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.order(false, name))
	b.states()
	for _, percent := range []int{0, 40, 40} {
		b.list(percent, name)
		b.now += 50 * time.Millisecond
	}
	if s := b.states()[name]; s.Reason != ReasonBehind {
		t.Errorf("reported %+v, want that it is behind", s)
	}
}

// If most runs on a target are behind, each of these is reported.
func TestRunsOnSlowExecutor(t *testing.T) {
	b := newBench(t)
	names := []job.RunName{testRun("aa", 0, 1), testRun("aa", 1, 1), testRun("bb", 0, 1), testRun("cc", 0, 1)}
	b.started(b.order(false, names...))
	b.states()
	lists := HoldAnswer{}
	for _, percent := range []int{0, 8} {
		lists.Running = nil
		for _, n := range names[:3] {
			lists.Running = append(lists.Running, Running{Name: n, Percent: percent})
		}
		lists.Running = append(lists.Running, Running{Name: names[3], Percent: 8 * percent})
		b.hold(lists)
		b.now += 50 * time.Millisecond
	}
	states := b.states()
	for i, n := range names {
		if behind := states[n].Reason == ReasonBehind; behind != (i < 3) {
			t.Errorf("%v: reported that it is behind %v, want %v", n, behind, i < 3)
		}
	}
}

// A target on which most runs are behind gets no runs for a while, then a probe.
func TestSlowExecutorRests(t *testing.T) {
	b := newBench(t)
	names := b.fillWith("aa")
	b.list(0, names...)
	b.now += 50 * time.Millisecond
	b.list(0, names...)
	if b.gate.report(b.now).Suspect {
		t.Fatal("suspect by one job, whose estimate may be wrong")
	}
	b = newBench(t)
	names = append(names[:5:5], testRun("cc", 0, 1), testRun("cc", 1, 1))
	b.started(b.order(true, names...))
	b.list(0, names...)
	b.now += 50 * time.Millisecond
	b.list(0, names...)
	if !b.gate.report(b.now).Suspect {
		t.Fatal("not suspect though all runs are stalled")
	}
	b.states()
	b.order(true, testRun("bb", 0, 1))
	if s := b.states()[testRun("bb", 0, 1)]; s.End != EndRejected {
		t.Errorf("an order during the backoff: %+v, want it returned", s)
	}
	b.now += minBackoff
	if b.gate.report(b.now).Suspect {
		t.Error("no probe after the backoff")
	}
}
