package dispatch

import (
	"testing"
	"time"

	"rackspur/id"
	"rackspur/wire"
)

// BenchmarkSubmitLocal measures a single-task submission that runs on the home's
// own target: judged, placed, started, ended and answered.
func BenchmarkSubmitLocal(b *testing.B) {
	n := id.NewIncarnation()
	home := NewHome(HomeOptions{Incarnation: n, Address: testHome, Target: "own", Domain: "a", Grace: time.Second, KeepBytes: 1 << 20})
	home.Configure(1, time.Minute)
	home.ledger.Issue(time.Hour)
	gate := NewGate(n, 1_000_000)
	gate.SetBusy(0)
	key := home.ledger.secret.BlockKey(1)
	tasks := []*wire.Task{{Payload: []byte(`{"ms":100}`)}}
	epoch := uint64(0)
	var runs []*Run
	var carry func(h []HomeAction, g []GateAction)
	carry = func(h []HomeAction, g []GateAction) {
		for _, a := range h {
			switch {
			case a.Hello != nil:
				epoch = a.Hello.GetEpoch()
				actions, _ := gate.Hello(0, a.Hello)
				carry(nil, actions)
			case a.Note != nil:
				carry(nil, gate.Note(0, n, epoch, a.Note))
			}
		}
		for _, a := range g {
			switch {
			case a.Start != nil:
				runs = append(runs, a.Start)
			case a.Note.GetWelcome() != nil:
				carry(home.Opened(0, testHome, epoch, a.Note), nil)
			case a.Note != nil:
				carry(home.Received(0, testHome, epoch, a.Note), nil)
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		home.SelfLoad(gate.Load())
		sub := &Submission{ID: id.Mint(addrPort(testHome), n, 1, key[:], "m"), Member: "m", Kind: "k", Tasks: tasks,
			ExpectMS: 100, Lease: time.Second, Deadline: time.Second, Policy: Native{}}
		_, actions := home.Submit(0, sub)
		carry(actions, nil)
		run := runs[0]
		runs = runs[:0]
		carry(nil, gate.Done(0, run, &wire.Result{Key: run.Start.GetKey(), Status: wire.TaskStatus_TASK_STATUS_DONE}))
	}
	if home.Counts.Complete != int64(b.N) {
		b.Fatalf("%d of %d complete", home.Counts.Complete, b.N)
	}
}

// BenchmarkLedgerEntry measures the memory of a remembered submission of one
// task with a result of 100 bytes, as B/op.
func BenchmarkLedgerEntry(b *testing.B) {
	l := NewLedger(id.NewIncarnation(), 1<<40)
	number, _ := l.Issue(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		v := id.ID{Incarnation: l.incarnation, Block: number, Nonce: id.NewNonce()}
		e := &entry{}
		l.put(v, e)
		l.keep(e, &wire.SubmitReply{Results: []*wire.TaskResult{{Result: make([]byte, 100)}}})
	}
}

// BenchmarkPlaceOver measures the built-in placing over as many targets as an
// entry box proposes.
func BenchmarkPlaceOver(b *testing.B) {
	targets := make([]TargetView, 32)
	for i := range targets {
		targets[i] = TargetView{Domain: "a", Self: i == 0, Slots: 8, Free: i % 4, Pace: 1, Tie: float64(i) / 32}
	}
	b.ReportAllocs()
	for b.Loop() {
		Native{}.Place(JobView{Tasks: 60, Domain: "a"}, targets)
	}
}
