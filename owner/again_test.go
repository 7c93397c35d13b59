package owner

import (
	"slices"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// An owner may take a best-effort job in a second time while gates still have runs of the first
// time. If the runs of both times had the same names, the late report that a gate has rejected the
// earlier run would count for the later one, and the task would run twice at the same time.
func TestJobTakenAgainNumbersOn(t *testing.T) {
	b := newHarness(t)
	s := testSubmission("00000000000000aa", 1)
	r := newQueuedCase(b, s)
	// The caller leaves and comes again before the gate's word on the first run arrives: the stop
	// of that run and the start of the next one are sent with one frame.
	b.owner.RemoveCaller(s.ID, r.ticket)
	b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	r.fromOwner()
	r.endOthers()
	second := b.connect("gate-2")
	r.toOwner()
	r.fromOwner()
	started := r.started
	for _, o := range b.flush("gate-2", second).Starts {
		started = append(started, o.Name)
	}
	if len(started) != 1 || started[0] == r.first {
		t.Errorf("started %v beside each other, want one run and not %v again", started, r.first)
	}
}

// A run of the first time that a gate reports to be at work is continued; no other run of its task
// starts beside it.
func TestJobTakenAgainContinuesRun(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	s := testSubmission("00000000000000aa", 1)
	ticket := b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	f := b.flush("gate-1", link)
	if len(f.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(f.Starts))
	}
	run := f.Starts[0].Name
	b.owner.LinkDown("gate-1", link)
	b.owner.RemoveCaller(s.ID, ticket)
	var result *BestEffortResult
	b.owner.RunBestEffort(s, time.Minute, func(r BestEffortResult) { result = &r })
	link++
	b.owner.LinkUp("gate-1", link, nil)
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Report: testReport(), Inventory: true, States: []gate.RunState{{Name: run, Running: true}}})
	second := b.connect("gate-2")
	f = b.flush("gate-1", link)
	claimed := slices.ContainsFunc(f.Verdicts, func(v gate.Verdict) bool { return v.Name == run && v.Kind == gate.VerdictClaim })
	if starts := append(f.Starts, b.flush("gate-2", second).Starts...); len(starts) != 0 || !claimed || len(f.Stops) != 0 {
		t.Errorf("starts %+v, stops %v, claimed %v, want the run claimed and nothing else", starts, f.Stops, claimed)
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: testReport(), States: []gate.RunState{{Name: run, End: gate.EndDone}}})
	if result == nil || result.State != job.StateCompleted {
		t.Errorf("answered %+v, want completed", result)
	}
}

// Of several runs of the first time that a gate reports, the newest is continued and the others are
// stopped.
func TestJobTakenAgainStopsOlderRun(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	s := testSubmission("00000000000000aa", 1)
	ticket := b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	older := b.flush("gate-1", link).Starts[0].Name
	// The run is missing from the gate's inventory, so that another one is sent.
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 100, Report: testReport(), Inventory: true})
	newer := b.flush("gate-1", link).Starts[0].Name
	if newer.Run != older.Run+1 {
		t.Fatalf("runs %v and %v", older, newer)
	}
	b.owner.RemoveCaller(s.ID, ticket)
	b.flush("gate-1", link)
	b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	if f := b.flush("gate-1", link); len(f.Starts) != 0 {
		t.Fatalf("starts %+v while %v may be active", f.Starts, newer)
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 100, Report: testReport(), States: []gate.RunState{{Name: older, Running: true}, {Name: newer, Running: true}}})
	f := b.flush("gate-1", link)
	if !slices.Contains(f.Verdicts, gate.Verdict{Name: older, Kind: gate.VerdictDiscard}) {
		t.Errorf("verdicts %+v, want %v discarded", f.Verdicts, older)
	}
	if !slices.ContainsFunc(f.Verdicts, func(v gate.Verdict) bool { return v.Name == newer && v.Kind == gate.VerdictClaim }) {
		t.Errorf("verdicts %+v, want %v claimed", f.Verdicts, newer)
	}
}

// queuedCase is an owner whose run waits at a real gate for the runs of another owner.
type queuedCase struct {
	*harness
	gate   *gate.Gate
	link   uint64
	ticket uint64
	// first is the run that waits, others those that it waits for.
	first  job.RunName
	others []job.RunName
	// started are the runs of the owner that the gate has started.
	started []job.RunName
}

const (
	queuedOwner = "entry~1"
	otherOwner  = "entry~2"
)

func newQueuedCase(b *harness, s job.Submission) *queuedCase {
	b.t.Helper()
	r := &queuedCase{harness: b, link: 1}
	r.gate = gate.New(gate.Options{Node: "gate-1", Lease: time.Second, ContactTimeout: durableContact, BestEffortContactTimeout: bestEffortContact})
	r.gate.OnHeartbeat(b.now, gate.Heartbeat{Incarnation: gate.Incarnation{ID: "i-1"}, Service: testService, Capacity: job.Resources{CPU: 16000, Memory: 32768}, Sequence: 1})
	r.hold(gate.HoldAnswer{})
	r.hold(gate.HoldAnswer{})
	b.link = r.link
	b.owner.AddGate("gate-1", "zone-a")
	b.owner.LinkUp("gate-1", r.link, nil)
	if !r.gate.Connect(b.now, queuedOwner, r.link, nil) || !r.gate.Connect(b.now, otherOwner, 1, nil) {
		b.t.Fatal("links not accepted")
	}
	r.toOwner()
	r.fromOwner()
	fill := gate.OwnerFrame{Echo: b.now, DurableEcho: b.now, Sequence: 1}
	for i := range 10 {
		name := job.RunName{TaskName: job.TaskName{Job: "00000000000000ff", Index: i}, Run: 1}
		r.others = append(r.others, name)
		fill.Starts = append(fill.Starts, gate.Order{Name: name, Need: job.Resources{CPU: 1600, Memory: 64}})
	}
	r.execute(first(r.gate.OnFrame(b.now, otherOwner, 1, fill)))
	r.ticket = b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	f := b.flush("gate-1", r.link)
	if len(f.Starts) != 1 {
		b.t.Fatalf("%d starts, want 1", len(f.Starts))
	}
	r.first = f.Starts[0].Name
	r.execute(first(r.gate.OnFrame(b.now, queuedOwner, r.link, f)))
	if len(r.started) != 0 {
		b.t.Fatalf("started %v, want it queued", r.started)
	}
	return r
}

func first[A, B any](a A, _ B) A { return a }

// hold answers the next hold.
func (r *queuedCase) hold(lists gate.HoldAnswer) {
	h := r.gate.NextHold(r.now, 0)
	r.now += time.Millisecond
	r.execute(r.gate.OnHold(r.now, h, r.answer(), lists, nil))
}

func (r *queuedCase) answer() gate.Answer {
	return gate.Answer{ClockMS: r.now.Milliseconds(), Incarnation: gate.Incarnation{ID: "i-1"}}
}

// execute carries out the starts and stops of the gate.
func (r *queuedCase) execute(a gate.Actions) {
	for _, c := range a.Starts {
		if !slices.Contains(r.others, c.Name) {
			r.started = append(r.started, c.Name)
		}
		r.execute(r.gate.OnStart(r.now, a.Incarnation, c, r.answer(), nil))
	}
	for _, c := range a.Stops {
		r.started = slices.DeleteFunc(r.started, func(name job.RunName) bool { return name == c.Name })
		r.execute(r.gate.OnStop(r.now, a.Incarnation, c, r.answer(), nil))
	}
}

// endOthers ends the other owner's runs, which makes room for the run that waits.
func (r *queuedCase) endOthers() {
	var lists gate.HoldAnswer
	for i, name := range r.others {
		lists.Finished = append(lists.Finished, gate.Ended{Number: int64(i + 1), Name: name, Kind: gate.EndDone})
	}
	r.hold(lists)
}

// toOwner carries a frame from the gate to the owner, fromOwner one back.
func (r *queuedCase) toOwner() {
	r.t.Helper()
	f, ok := r.gate.Flush(r.now, queuedOwner, r.link)
	if !ok {
		r.t.Fatal("the gate has no frame to send")
	}
	r.owner.OnFrame("gate-1", r.link, f)
}

func (r *queuedCase) fromOwner() {
	r.t.Helper()
	r.execute(first(r.gate.OnFrame(r.now, queuedOwner, r.link, r.flush("gate-1", r.link))))
}
