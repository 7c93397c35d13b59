package owner

import (
	"slices"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/rowstore"
)

const lostIncarnation = "entry~0"

// adoptJob has the owner adopt a job of a lost incarnation; the gate reports the given
// runs.
func (b *harness) adoptJob(record job.Record, states []gate.RunState) uint64 {
	link := b.connect("gate-1")
	b.owner.StartAdoption([]string{lostIncarnation})
	record.Owner = "entry~1"
	record.Generation = 1
	b.owner.Adopt([]string{lostIncarnation}, b.now, []Adopted{{Record: record, Version: 7}})
	b.owner.OnFrame("gate-1", link, gate.Frame{
		Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}, States: states,
	})
	return link
}

// writeRecords has the owner write the records that have changed and completes the writes.
func (b *harness) writeRecords() {
	b.owner.Tick()
	for _, w := range b.writer.take() {
		w.Done(rowstore.Outcome{Version: 8}, nil)
	}
}

func durableRecord(tasks int) job.Record {
	s := testSubmission("00000000000000cc", tasks)
	s.BestEffort = false
	return job.Record{Submission: s}
}

func runOf(index, run int) job.RunName {
	return job.RunName{TaskName: job.TaskName{Job: "00000000000000cc", Index: index}, Run: run}
}

// The runs of a job that gates report continue after an adoption. Only tasks without a
// run start again, with run numbers of the new owner.
func TestAdoptKeepsRuns(t *testing.T) {
	b := newHarness(t)
	link := b.adoptJob(durableRecord(4), []gate.RunState{
		{Name: runOf(0, 1), End: gate.EndDone},
		{Name: runOf(1, 1), Running: true},
		{Name: runOf(2, 1), Running: true},
	})
	b.writeRecords()
	f := b.flush("gate-1", link)
	if len(f.Starts) != 1 || f.Starts[0].Name != runOf(3, job.FirstRun(1)) {
		t.Fatalf("starts %+v, want only task 3", f.Starts)
	}
	for _, i := range []int{1, 2} {
		b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: testReport(), States: []gate.RunState{{Name: runOf(i, 1), End: gate.EndDone}}})
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: testReport(), States: []gate.RunState{{Name: runOf(3, job.FirstRun(1)), End: gate.EndDone}}})
	if j := b.owner.jobs["00000000000000cc"]; j == nil || j.final != job.StateCompleted {
		t.Fatalf("job %+v, want its completion being written", j)
	}
}

// Recorded failures still count after an adoption; one that the lost owner did not
// write counts once.
func TestAdoptCountsFailures(t *testing.T) {
	b := newHarness(t)
	r := durableRecord(1)
	r.AddFailure(0, 1)
	b.adoptJob(r, []gate.RunState{{Name: runOf(0, 1), End: gate.EndFailed}, {Name: runOf(0, 2), End: gate.EndFailed}})
	if j := b.owner.jobs["00000000000000cc"]; j == nil || j.final != job.StateFailed {
		t.Fatalf("job %+v, want it failed after two attempts", j)
	}
}

// Nothing starts while a gate that may have runs of the lost incarnation has not
// reported them and their lease may hold.
func TestAdoptWaitsForSilentGate(t *testing.T) {
	b := newHarness(t)
	b.owner.AddGate("gate-2", "zone-b")
	link := b.adoptJob(durableRecord(1), nil)
	b.writeRecords()
	if f := b.flush("gate-1", link); len(f.Starts) != 0 {
		t.Fatal("started while a gate is silent")
	}
	b.now += b.owner.overAfter() + time.Millisecond
	b.owner.Tick()
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 10, Report: testReport()})
	b.writeRecords()
	if f := b.flush("gate-1", link); len(f.Starts) != 1 {
		t.Errorf("%d starts after the lease is over, want 1", len(f.Starts))
	}
}

// No task of a failed job starts, even if other tasks of it still end.
func TestFailedJobStartsNothing(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	second := b.connect("gate-2")
	s := testSubmission("00000000000000cc", 2)
	s.BestEffort = false
	s.Queue.Attempts = 1
	b.owner.Submit(s, func(SubmitResult) {})
	b.writer.take()[0].Done(rowstore.Outcome{Version: 5}, nil)
	links := map[string]uint64{"gate-1": link, "gate-2": second}
	end := func(index int, kind gate.EndKind) {
		name := b.owner.jobs["00000000000000cc"].tasks[index].gate
		b.owner.OnFrame(name, links[name], gate.Frame{Clock: b.now, Received: 10, Report: testReport(), States: []gate.RunState{{Name: runOf(index, 1), End: kind}}})
	}
	b.flush("gate-1", link)
	b.flush("gate-2", second)
	end(0, gate.EndFailed)
	end(1, gate.EndDone)
	for name, l := range links {
		if f := b.flush(name, l); len(f.Starts) != 0 {
			t.Errorf("%s starts %+v after the job has failed", name, f.Starts)
		}
	}
}

// A job that was adopted is pending until one of its runs is known to have started,
// since its former owner may have been lost before it placed any task.
func TestAdoptedJobWaits(t *testing.T) {
	tests := []struct {
		name   string
		record func(*job.Record)
		states []gate.RunState
		want   int
	}{
		{name: "nothing known", record: func(*job.Record) {}, want: 1},
		{name: "a run is ordered and in doubt", record: func(*job.Record) {}, states: []gate.RunState{{Name: runOf(0, 1)}}, want: 1},
		{name: "a run goes on", record: func(*job.Record) {}, states: []gate.RunState{{Name: runOf(0, 1), Running: true}}},
		{name: "a task was done", record: func(r *job.Record) { r.SetDone(0, 1) }},
		{name: "a run has failed", record: func(r *job.Record) { r.AddFailure(0, 1) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t)
			record := durableRecord(2)
			test.record(&record)
			b.adoptJob(record, test.states)
			if got := b.owner.Pending(record.Queue.Name); got != test.want {
				t.Errorf("%d jobs wait, want %d", got, test.want)
			}
		})
	}
}

// If an incarnation is lost during an adoption, the next owner must wait for the
// reports on the runs of both incarnations before it starts tasks or deletes a fence
// row.
func TestAdoptionOfAdopterWaitsForBothLives(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	b.owner.StartAdoption([]string{"entry~00"})
	b.owner.StartAdoption([]string{lostIncarnation})
	settled := b.owner.Adopt([]string{"entry~00"}, b.now, nil)
	select {
	case <-settled:
		t.Error("the first adoption is settled before the gate has reported its runs")
	default:
	}
	record := durableRecord(1)
	record.Owner, record.Generation = "entry~1", 2
	b.owner.Adopt([]string{lostIncarnation}, b.now, []Adopted{{Record: record, Version: 7}})
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}})
	b.writeRecords()
	if f := b.flush("gate-1", link); len(f.Starts) != 0 {
		t.Errorf("started %+v before the gate has reported the first incarnation's runs", f.Starts)
	}
}

// A job that is submitted here again while it is being adopted must neither be dropped
// by the adoption nor by the conflict of its insert.
func TestJobHandedInDuringTakeOverIsKept(t *testing.T) {
	for _, outcome := range []error{rowstore.ErrConflict, rowstore.ErrNotDone} {
		b := newHarness(t)
		record := durableRecord(1)
		var results []SubmitResult
		b.owner.Submit(record.Submission, func(r SubmitResult) { results = append(results, r) })
		insert := b.writer.take()
		link := b.adoptJob(record, nil)
		insert[0].Done(rowstore.Outcome{}, outcome)
		if len(results) != 1 || results[0] != SubmitAccepted {
			t.Errorf("%v: results %v, want SubmitAccepted once", outcome, results)
		}
		b.writeRecords()
		if f := b.flush("gate-1", link); len(f.Starts) != 1 {
			t.Errorf("%v: %d starts of the adopted job, want 1", outcome, len(f.Starts))
		}
	}
}

// A run that was reported during an adoption, and is missing from a later inventory of
// the same gate, must start again.
func TestRunLostDuringTakeOverStartsAgain(t *testing.T) {
	b := newHarness(t)
	b.owner.AddGate("gate-2", "zone-b")
	link := b.adoptJob(durableRecord(1), []gate.RunState{{Name: runOf(0, 1), Running: true}})
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}})
	second := b.connect("gate-2")
	b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}})
	b.writeRecords()
	starts := len(b.flush("gate-1", link).Starts) + len(b.flush("gate-2", second).Starts)
	if starts != 1 {
		t.Errorf("%d starts of the lost run's task, want 1", starts)
	}
}

// An inventory replaces only what its own gate has reported: runs at other gates
// continue.
func TestInventoryDuringTakeOverLeavesOtherGates(t *testing.T) {
	b := newHarness(t)
	b.owner.AddGate("gate-2", "zone-b")
	link := b.adoptJob(durableRecord(1), []gate.RunState{{Name: runOf(0, 1), Running: true}})
	second := b.connect("gate-2")
	b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}})
	b.writeRecords()
	starts := len(b.flush("gate-1", link).Starts) + len(b.flush("gate-2", second).Starts)
	if starts != 0 {
		t.Errorf("%d starts in addition to the run that continues, want none", starts)
	}
}

// Runs that were handed over during an adoption outlive the time after which runs of a
// lost owner count as over, so no task of theirs may start again while their gate is in
// contact.
func TestSlowTakeOverWaitsForRunsHandedOver(t *testing.T) {
	b := newHarness(t)
	link, second := b.connect("gate-1"), b.connect("gate-2")
	b.owner.StartAdoption([]string{lostIncarnation})
	from := b.now
	handedOver := gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}, States: []gate.RunState{{Name: runOf(0, 1), Running: true}}}
	b.owner.OnFrame("gate-1", link, handedOver)
	b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}})
	b.now += b.owner.overAfter() + time.Second
	for name, l := range map[string]uint64{"gate-1": link, "gate-2": second} {
		b.owner.OnFrame(name, l, gate.Frame{Clock: b.now, Received: 10, Report: testReport()})
	}
	record := durableRecord(1)
	record.Owner, record.Generation = "entry~1", 1
	b.owner.Adopt([]string{lostIncarnation}, from, []Adopted{{Record: record, Version: 7}})
	b.writeRecords()
	if n := len(b.flush("gate-1", link).Starts) + len(b.flush("gate-2", second).Starts); n != 0 {
		t.Fatalf("%d starts in addition to the run that was handed over, want none", n)
	}
	// Once that gate has been silent for as long, its runs are over too.
	b.owner.LinkDown("gate-1", link)
	b.now += b.owner.overAfter() + time.Millisecond
	b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Received: 11, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}})
	b.writeRecords()
	if n := len(b.flush("gate-2", second).Starts); n != 1 {
		t.Errorf("%d starts once the gate's runs are over, want 1", n)
	}
}

// A job may have ended under an owner that was lost before it stopped the job's runs. The owner that
// takes over does not know the job, and must stop them: its frames keep them going.
func TestTakeOverStopsRunsOfEndedJob(t *testing.T) {
	tests := map[string]struct {
		over  bool
		final *job.Final
		want  int
	}{
		"ended":           {true, &job.Final{State: job.StateCancelled, Steps: []int{1}}, 1},
		"another owner's": {false, nil, 0},
		"best effort":     {true, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			link := b.connect("gate-1")
			b.owner.StartAdoption([]string{lostIncarnation})
			inventory := gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{lostIncarnation}, States: []gate.RunState{{Name: runOf(0, 1), Running: true}}}
			b.owner.Adopt([]string{lostIncarnation}, b.now, nil)
			if f := b.flush("gate-1", link); !slices.Contains(f.Adopt, lostIncarnation) {
				t.Errorf("asked for the runs of %v, want those of %v again", f.Adopt, lostIncarnation)
			}
			b.owner.OnFrame("gate-1", link, inventory)
			b.now += bestEffortContact
			if got := b.owner.UnknownJobs(); !slices.Equal(got, []job.ID{"00000000000000cc"}) {
				t.Fatalf("unknown jobs %v", got)
			}
			b.owner.AnswerUnknown("00000000000000cc", test.over, test.final)
			if f := b.flush("gate-1", link); len(f.Stops) != test.want {
				t.Errorf("stops %v, want %d", f.Stops, test.want)
			}
		})
	}
}
