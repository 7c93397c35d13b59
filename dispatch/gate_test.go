package dispatch

import (
	"testing"
	"time"

	"rackspur/id"
	"rackspur/wire"
)

// gateBench drives a gate by hand.
type gateBench struct {
	t       *testing.T
	gate    *Gate
	now     Time
	started []*Run
	notes   map[id.Incarnation][]*wire.GateNote
}

func newGateBench(t *testing.T, slots int) *gateBench {
	b := &gateBench{t: t, gate: NewGate(id.NewIncarnation(), slots), notes: map[id.Incarnation][]*wire.GateNote{}}
	b.did(b.gate.SetBusy(0))
	return b
}

func (b *gateBench) did(actions []GateAction) {
	for _, a := range actions {
		if a.Start != nil {
			b.started = append(b.started, a.Start)
		}
		if a.Note != nil {
			b.notes[a.Home] = append(b.notes[a.Home], a.Note)
		}
	}
}

func (b *gateBench) hello(home id.Incarnation, epoch uint64, outstanding ...*wire.TaskKey) bool {
	actions, ok := b.gate.Hello(b.now, &wire.Hello{Home: home[:], Epoch: epoch, Outstanding: outstanding})
	b.did(actions)
	return ok
}

func (b *gateBench) note(home id.Incarnation, epoch uint64, n *wire.HomeNote) {
	b.did(b.gate.Note(b.now, home, epoch, n))
}

func (b *gateBench) last(home id.Incarnation) *wire.GateNote {
	b.t.Helper()
	notes := b.notes[home]
	if len(notes) == 0 {
		b.t.Fatal("no note")
	}
	return notes[len(notes)-1]
}

func (b *gateBench) finish(i int) {
	run := b.started[i]
	b.did(b.gate.Done(b.now, run, &wire.Result{Key: run.Start.GetKey(), Status: wire.TaskStatus_TASK_STATUS_DONE}))
}

func startOf(index uint32) *wire.Start {
	return &wire.Start{Key: &wire.TaskKey{Submission: []byte("s"), Index: index}, ExpectMs: 1}
}

func TestGateObeysNewestSessionOnly(t *testing.T) {
	b := newGateBench(t, 4)
	home := id.NewIncarnation()
	b.hello(home, 1)
	b.note(home, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(0)}})
	// The second session asks about a task that ran, and one never seen.
	b.hello(home, 2, startOf(0).GetKey(), startOf(1).GetKey())
	w := b.last(home).GetWelcome()
	if len(w.GetRunning()) != 1 || len(w.GetRevoked()) != 1 || !w.GetKnown() {
		t.Fatalf("%v", w)
	}
	// The revoked task arrives late in the first session.
	b.note(home, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(1)}})
	if len(b.started) != 1 {
		t.Errorf("a revoked task started")
	}
	if b.hello(home, 2) || b.hello(home, 1) {
		t.Errorf("an old session was opened again")
	}
	// A start that arrives twice starts once.
	b.note(home, 2, &wire.HomeNote{Starts: []*wire.Start{startOf(0), startOf(1), startOf(1)}})
	if len(b.started) != 2 {
		t.Errorf("%d starts, want 2", len(b.started))
	}
}

func TestGateKeepsResultsUntilAcknowledged(t *testing.T) {
	b := newGateBench(t, 4)
	home := id.NewIncarnation()
	b.hello(home, 1)
	b.note(home, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(0), startOf(1)}})
	b.finish(0)
	first := b.last(home)
	b.did(b.gate.Lost(b.now, home, 1))
	b.finish(1)
	b.hello(home, 2, startOf(0).GetKey(), startOf(1).GetKey())
	if n := len(b.last(home).GetResults()); n != 2 {
		t.Fatalf("%d results after the loss, want 2", n)
	}
	b.note(home, 2, &wire.HomeNote{Ack: b.last(home).GetSeq()})
	if n := len(b.gate.sessions[home].records); n != 0 {
		t.Errorf("%d records kept after the acknowledgement of note %d", n, first.GetSeq())
	}
}

func TestGateSlots(t *testing.T) {
	b := newGateBench(t, 2)
	one, two := id.NewIncarnation(), id.NewIncarnation()
	b.hello(one, 1)
	b.hello(two, 1)
	b.note(one, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(0), startOf(1), startOf(2)}})
	if len(b.started) != 2 || len(b.last(one).GetRefused()) != 1 {
		t.Fatalf("%d starts, %v", len(b.started), b.last(one))
	}
	// A slot that gets free is granted to the home that waits.
	b.note(two, 1, &wire.HomeNote{Want: 1})
	b.finish(0)
	if b.last(two).GetGrants() != 1 {
		t.Fatalf("%v", b.last(two))
	}
	// It is kept from others, until it lapses.
	b.note(one, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(3)}})
	if len(b.last(one).GetRefused()) != 1 {
		t.Errorf("a reserved slot was given away")
	}
	b.now += 2 * grantTimeout
	b.did(b.gate.Tick(b.now))
	b.note(one, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(4)}})
	if len(b.started) != 3 {
		t.Errorf("a reservation that lapsed still held the slot")
	}
}

func TestGateTakesTurns(t *testing.T) {
	b := newGateBench(t, 1)
	one, two := id.NewIncarnation(), id.NewIncarnation()
	b.hello(one, 1)
	b.hello(two, 1)
	b.note(one, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(0)}, Want: 50})
	b.note(two, 1, &wire.HomeNote{Want: 50})
	turns := map[id.Incarnation]int{}
	seen := uint64(0)
	for i := range 40 {
		b.finish(i)
		for _, home := range []id.Incarnation{one, two} {
			if n := b.last(home); n.GetGrants() == 1 {
				turns[home]++
				n.Grants = 0
				seen++
				b.note(home, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(uint32(i + 1))}, Want: 50, GrantedSeen: uint64(turns[home])})
			}
		}
	}
	if turns[one] < 15 || turns[two] < 15 {
		t.Errorf("%d grants: %d and %d", seen, turns[one], turns[two])
	}
}

func TestGateLeaving(t *testing.T) {
	b := newGateBench(t, 2)
	home := id.NewIncarnation()
	b.hello(home, 1)
	b.note(home, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(0), startOf(1)}, Want: 3})
	b.did(b.gate.Leave())
	if !b.last(home).GetLoad().GetLeaving() {
		t.Error("the home that waits was not told")
	}
	b.finish(0)
	b.note(home, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(2)}, Want: 1})
	if len(b.started) != 2 || b.last(home).GetGrants() != 0 {
		t.Error("a gate that leaves took new work")
	}
}

// TestGateSettled has a gate leave with homes that wait for nothing: it has
// settled only when each of them has handled that word and all results. An agent
// that ended earlier broke off starts on their way, which then count as run.
func TestGateSettled(t *testing.T) {
	b := newGateBench(t, 2)
	idle, busy, late, lost := id.NewIncarnation(), id.NewIncarnation(), id.NewIncarnation(), id.NewIncarnation()
	for _, home := range []id.Incarnation{idle, busy, lost} {
		b.hello(home, 1)
	}
	b.note(busy, 1, &wire.HomeNote{Starts: []*wire.Start{startOf(0)}})
	b.did(b.gate.Leave())
	b.did(b.gate.Lost(b.now, lost, 1))
	ack := func(home id.Incarnation) {
		b.note(home, 1, &wire.HomeNote{Ack: b.last(home).GetSeq()})
	}
	if !b.last(idle).GetLoad().GetLeaving() {
		t.Fatal("a home that waits for nothing was not told")
	}
	ack(busy)
	if b.gate.Settled() {
		t.Error("settled before a home has handled the word")
	}
	ack(idle)
	b.finish(0)
	if b.gate.Settled() {
		t.Error("settled before a home has handled a result")
	}
	ack(busy)
	if !b.gate.Settled() {
		t.Error("not settled though all homes know")
	}
	b.hello(late, 1)
	if b.gate.Settled() {
		t.Error("settled before a home that came later has handled the welcome")
	}
	ack(late)
	if !b.gate.Settled() {
		t.Error("not settled though the home that came later knows")
	}
}

func TestGateForgetsLostHomes(t *testing.T) {
	b := newGateBench(t, 2)
	for range 100 {
		home := id.NewIncarnation()
		b.hello(home, 1)
		b.did(b.gate.Lost(b.now, home, 1))
		b.now += sessionRetention / 10
		b.did(b.gate.Tick(b.now))
	}
	if n := len(b.gate.sessions); n > 12 {
		t.Errorf("%d sessions remembered", n)
	}
}

// TestGateBusyAfterStart has a new gate beside a target that may still run the
// tasks of an earlier process.
func TestGateBusyAfterStart(t *testing.T) {
	g := NewGate(id.NewIncarnation(), 4)
	if g.Free() != 0 {
		t.Errorf("%d free slots before the first usage report", g.Free())
	}
	g.SetBusy(3)
	if g.Free() != 1 {
		t.Errorf("%d free slots with 3 busy", g.Free())
	}
}

func TestLedgerBounded(t *testing.T) {
	const budget = 10_000
	l := NewLedger(id.NewIncarnation(), budget)
	now := Time(0)
	for range 200 {
		number, _ := l.Issue(now + time.Minute)
		for range 20 {
			v := id.ID{Incarnation: l.incarnation, Block: number, Nonce: id.NewNonce()}
			e := &entry{}
			l.put(v, e)
			l.keep(e, &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_COMPLETE, Results: []*wire.TaskResult{{Result: make([]byte, 100)}}})
		}
		now += 10 * time.Second
		l.Expire(now)
		submissions, bytes := l.Size()
		if submissions > 20*7 || bytes > budget {
			t.Fatalf("%d submissions, %d bytes remembered", submissions, bytes)
		}
	}
	if len(l.kept) > budget/100+1 {
		t.Errorf("%d entries kept in order", len(l.kept))
	}
}

// TestQueueFair has one member with a burst before another's few tasks.
func TestQueueFair(t *testing.T) {
	q := newFairQueue()
	push := func(member string, weight, tasks int) *job {
		j := newJob(0, &Submission{Member: member, Weight: weight, Tasks: make([]*wire.Task, tasks)}, &entry{})
		q.push(j)
		return j
	}
	push("burst", 1, 1000)
	few := push("few", 1, 5)
	push("heavy", 3, 1000)
	order := map[string]int{}
	for range 25 {
		j := q.next()
		j.waiting = j.waiting[1:]
		q.took(j)
		order[j.sub.Member]++
	}
	if len(few.waiting) != 0 || order["heavy"] < 2*order["burst"] {
		t.Errorf("order %v, left of the few %d", order, len(few.waiting))
	}
}

// TestQueueSmallAmongLarge has a single task behind a job of many tasks of the
// same member.
func TestQueueSmallAmongLarge(t *testing.T) {
	q := newFairQueue()
	large := newJob(0, &Submission{Member: "m", Tasks: make([]*wire.Task, 100)}, &entry{})
	small := newJob(0, &Submission{Member: "m", Tasks: make([]*wire.Task, 1)}, &entry{})
	q.push(large)
	q.push(small)
	for range 3 {
		j := q.next()
		j.waiting = j.waiting[1:]
		q.took(j)
	}
	if len(small.waiting) != 0 {
		t.Error("the single task waits for the end of the large job")
	}
}
