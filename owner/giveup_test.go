package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/rowstore"
)

// storedRecord returns the record of the job in the store.
func (r *replacedCase) storedRecord() (job.Record, uint64) {
	r.t.Helper()
	row, ok, err := rowstore.ReadOne(r.t.Context(), r.store, RowKey(TableJobs, r.job.ID, 1))
	if err != nil || !ok {
		r.t.Fatalf("no record: %v", err)
	}
	record, err := job.DecodeRecord(row.Value)
	if err != nil {
		r.t.Fatal(err)
	}
	return *record, row.Version
}

// takenOver returns the case under the job's next owner, which has heard of nothing but the given
// runs at gate-1.
func (r *replacedCase) takenOver(states ...gate.RunState) *replacedCase {
	r.t.Helper()
	record, version := r.storedRecord()
	next := &replacedCase{harness: newHarness(r.t), store: r.store, job: r.job, first: r.first, second: r.second, links: map[string]uint64{}}
	next.now = r.now
	next.links["gate-1"] = next.connect("gate-1")
	next.links["gate-2"] = next.connect("gate-2")
	next.owner.StartAdoption([]string{lostIncarnation})
	record.Generation++
	record.Sequence++
	key := RowKey(TableJobs, r.job.ID, 1)
	out, err := r.store.Transact(r.t.Context(), rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key, Version: version}}, Puts: []rowstore.Put{{Key: key, Value: record.Encode()}},
	})
	if err != nil {
		r.t.Fatal(err)
	}
	next.owner.Adopt([]string{lostIncarnation}, next.now, []Adopted{{Record: record, Version: out.Version}})
	next.owner.OnFrame("gate-2", next.links["gate-2"], gate.Frame{Clock: next.now, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}})
	next.owner.OnFrame("gate-1", next.links["gate-1"], gate.Frame{Clock: next.now, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}, States: states})
	return next
}

// starts returns the runs that the owner starts now, at any gate.
func (r *replacedCase) starts() (names []job.RunName) {
	r.t.Helper()
	r.owner.Tick()
	r.write()
	r.owner.Tick()
	for name, link := range r.links {
		for _, o := range r.flush(name, link).Starts {
			names = append(names, o.Name)
		}
	}
	return names
}

// The new owner of a job must discard the end of a run that its former owner had replaced, even if
// the newer run has left no trace: the task was started after that end.
func TestTakeOverDiscardsReplacedRun(t *testing.T) {
	next := newReplacedCase(t).takenOver(gate.RunState{Name: runOf(0, 1), End: gate.EndDone})
	if f := next.flush("gate-1", next.links["gate-1"]); !slices.Contains(f.Verdicts, gate.Verdict{Name: runOf(0, 1), Kind: gate.VerdictDiscard}) {
		t.Errorf("verdicts %+v, want run 1 discarded", f.Verdicts)
	}
	if got := next.starts(); !slices.Equal(got, []job.RunName{runOf(0, job.FirstRun(1))}) {
		t.Errorf("starts %v, want the task's next run", got)
	}
}

// Whatever gates report of the newer run, the end of the replaced one does not count under the new
// owner. That the newer run was lost with its gate or its target is TestTakeOverDiscardsReplacedRun.
func TestTakeOverDiscardsReplacedRunBesideNewer(t *testing.T) {
	tests := map[string]struct {
		newer gate.RunState
		// again is whether the task starts again, completed whether the job ends by the newer run.
		again, completed bool
	}{
		"at work":   {newer: gate.RunState{Running: true}},
		"in doubt":  {newer: gate.RunState{}},
		"done":      {newer: gate.RunState{End: gate.EndDone}, completed: true},
		"failed":    {newer: gate.RunState{End: gate.EndFailed}, again: true},
		"stopped":   {newer: gate.RunState{End: gate.EndStopped}, again: true},
		"lapsed":    {newer: gate.RunState{End: gate.EndLapsed}, again: true},
		"lost":      {newer: gate.RunState{End: gate.EndLost}, again: true},
		"not begun": {newer: gate.RunState{End: gate.EndRejected}, again: true},
	}
	for name, test := range tests {
		for _, replacedFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/replaced first %v", name, replacedFirst), func(t *testing.T) {
				r := newReplacedCase(t)
				newer, replaced := test.newer, gate.RunState{Name: r.first, End: gate.EndDone}
				newer.Name = r.second
				states := []gate.RunState{newer, replaced}
				if replacedFirst {
					slices.Reverse(states)
				}
				next := r.takenOver(states...)
				if got := next.given("gate-1", r.first); got != gate.VerdictDiscard {
					t.Errorf("verdict %v on the replaced run, want %v", got, gate.VerdictDiscard)
				}
				if got := next.starts(); len(got) > 0 != test.again {
					t.Errorf("starts %v, want some: %v", got, test.again)
				}
				next.write()
				if state, _ := next.owner.State(r.job.ID); (state == job.StateCompleted) != test.completed {
					t.Errorf("state %v, want it completed: %v", state, test.completed)
				}
			})
		}
	}
}

// The end of a run that was never replaced still counts after a take-over.
func TestTakeOverCountsRunNotReplaced(t *testing.T) {
	r := newReplacedCase(t)
	next := r.takenOver(gate.RunState{Name: r.second, End: gate.EndDone})
	next.write()
	if state, ok := next.owner.State(r.job.ID); !ok || state != job.StateCompleted {
		t.Errorf("state %v, %v, want %v", state, ok, job.StateCompleted)
	}
	if got := next.given("gate-1", r.second); got != gate.VerdictAcknowledge {
		t.Errorf("verdict %v, want %v", got, gate.VerdictAcknowledge)
	}
}

// Two owners may be lost one after the other. A run of the first one that the second one has
// replaced must not count under the third one.
func TestSecondTakeOverDiscardsReplacedRun(t *testing.T) {
	b := newHarness(t)
	r := &replacedCase{harness: b, store: rowstore.NewMemory(), links: map[string]uint64{}, first: runOf(0, 1)}
	r.job = durableRecord(1).Submission
	r.links["gate-1"] = r.connect("gate-1")
	r.owner.Submit(r.job, func(SubmitResult) {})
	r.write()
	if got := r.start("gate-1"); got != r.first {
		t.Fatalf("started %v", got)
	}
	second := r.takenOver()
	if got := second.starts(); !slices.Equal(got, []job.RunName{runOf(0, job.FirstRun(1))}) {
		t.Fatalf("starts %v, want the task's next run", got)
	}
	third := second.takenOver(gate.RunState{Name: r.first, End: gate.EndDone})
	if f := third.flush("gate-1", third.links["gate-1"]); !slices.Contains(f.Verdicts, gate.Verdict{Name: r.first, Kind: gate.VerdictDiscard}) {
		t.Errorf("verdicts %+v, want run 1 discarded", f.Verdicts)
	}
}

// A task must not start again before it is durable that its earlier run doesn't count: the owner
// may be lost at any moment.
func TestReplacementWaitsForRecord(t *testing.T) {
	tests := map[string]func(r *replacedCase){
		"gate silent": func(r *replacedCase) {
			r.now += r.owner.overAfter() + time.Millisecond
			r.report("gate-1")
		},
		"run lost": func(r *replacedCase) {
			r.report("gate-2", gate.RunState{Name: r.second, End: gate.EndLost})
		},
		"run not in the inventory": func(r *replacedCase) {
			r.report("gate-1")
			r.owner.OnFrame("gate-2", r.links["gate-2"], gate.Frame{Clock: r.now, Received: 100, Report: testReport(), Inventory: true})
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			r := newReplacedCase(t)
			r.links["gate-1"] = r.connect("gate-1")
			lose(r)
			r.owner.Tick()
			r.owner.Tick()
			for gateName, link := range r.links {
				if f := r.flush(gateName, link); len(f.Starts) != 0 {
					t.Errorf("started %v before the record is written", f.Starts[0].Name)
				}
			}
			r.write()
			if record, _ := r.storedRecord(); record.Counts(0, r.second.Run) {
				t.Errorf("run %d counts according to the record", r.second.Run)
			}
			if got := r.starts(); len(got) != 1 || got[0].Run <= r.second.Run {
				t.Errorf("starts %v, want the task's next run", got)
			}
		})
	}
}

// A run that was given up and not replaced goes on if its gate reports it again, and its end counts.
func TestGivenUpRunThatIsBack(t *testing.T) {
	r := newReplacedCase(t)
	r.owner.LinkDown("gate-2", r.links["gate-2"])
	r.now += r.owner.overAfter() + time.Millisecond
	r.owner.Tick()
	r.write()
	r.reconnect("gate-2", gate.RunState{Name: r.second, Running: true})
	if got := r.starts(); len(got) != 0 {
		t.Errorf("starts %v beside the run that goes on", got)
	}
	r.report("gate-2", gate.RunState{Name: r.second, End: gate.EndDone})
	r.write()
	r.write()
	if state, ok := r.owner.State(r.job.ID); !ok || state != job.StateCompleted {
		t.Errorf("state %v, %v, want %v", state, ok, job.StateCompleted)
	}
	if got := r.given("gate-2", r.second); got != gate.VerdictAcknowledge {
		t.Errorf("verdict %v, want %v", got, gate.VerdictAcknowledge)
	}
}

// A failure of a replaced run that is reported while the task waits uses up an attempt. Once all are
// used up the job has failed, and the task must not start again.
func TestLateFailureWhileTaskWaits(t *testing.T) {
	r := newReplacedCase(t)
	r.report("gate-2", gate.RunState{Name: r.second, End: gate.EndFailed})
	r.reconnect("gate-1", gate.RunState{Name: r.first, End: gate.EndFailed})
	if got := r.starts(); len(got) != 0 {
		t.Errorf("starts %v after %d failures", got, r.job.Queue.Attempts)
	}
	if state, ok := r.owner.State(r.job.ID); !ok || state != job.StateFailed {
		t.Errorf("state %v, %v, want %v", state, ok, job.StateFailed)
	}
}

// The owner that takes over must count failures of earlier runs before it starts a task, in
// whatever order gates report them.
func TestTakeOverCountsFailuresBeforeStart(t *testing.T) {
	for _, runs := range [][]int{{1, 2}, {2, 1}} {
		b := newHarness(t)
		r := durableRecord(1)
		r.Queue.Attempts = 2
		r.GiveUp(0, 1)
		var states []gate.RunState
		for _, run := range runs {
			states = append(states, gate.RunState{Name: runOf(0, run), End: gate.EndFailed})
		}
		second := b.connect("gate-2")
		b.adoptJob(r, states)
		b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}})
		b.writeRecords()
		if f := b.flush("gate-2", second); len(f.Starts) != 0 {
			t.Errorf("runs reported in the order %v: started %v after two failures", runs, f.Starts[0].Name)
		}
	}
}

// The end of a run that has completed its task still counts under the job's next owner, each time
// that it is reported: a verdict is lost with its link.
func TestTakeOverAcknowledgesDoneRunAgain(t *testing.T) {
	b := newHarness(t)
	r := durableRecord(2)
	r.SetDone(0, 1)
	done := gate.RunState{Name: runOf(0, 1), End: gate.EndDone}
	b.adoptJob(r, []gate.RunState{done, {Name: runOf(1, 1), Running: true}})
	b.link++
	b.owner.LinkUp("gate-1", b.link, nil)
	b.owner.OnFrame("gate-1", b.link, gate.Frame{Clock: b.now, Report: testReport(), Inventory: true, States: []gate.RunState{done, {Name: runOf(1, 1), Running: true}}})
	if f := b.flush("gate-1", b.link); !slices.Contains(f.Verdicts, gate.Verdict{Name: runOf(0, 1), Kind: gate.VerdictAcknowledge}) {
		t.Errorf("verdicts %+v, want run 1 acknowledged", f.Verdicts)
	}
}

// A former owner may have given up runs beyond its range of numbers. The next run needs a higher
// number, or it would not count either.
func TestTakeOverNumbersAboveGivenUpRuns(t *testing.T) {
	b := newHarness(t)
	r := durableRecord(1)
	givenUp := job.FirstRun(1) + 499
	r.GiveUp(0, givenUp)
	link := b.adoptJob(r, nil)
	b.writeRecords()
	f := b.flush("gate-1", link)
	if len(f.Starts) != 1 || f.Starts[0].Name.Run != givenUp+1 {
		t.Errorf("starts %+v, want run %d", f.Starts, givenUp+1)
	}
}
