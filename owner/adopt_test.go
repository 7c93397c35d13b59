package owner

import (
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/rowstore"
)

const deadLife = "entry~0"

// adoptJob takes over a job of four tasks of a dead life; the gate tells of runs.
func (b *bench) adoptJob(record job.Record, states []gate.RunState) uint64 {
	link := b.connect("gate-1")
	b.owner.StartAdoption([]string{deadLife})
	record.Owner = "entry~1"
	record.Generation = 1
	b.owner.Adopt([]string{deadLife}, b.now, []Adopted{{Record: record, Version: 7}})
	b.owner.OnFrame("gate-1", link, gate.Frame{
		Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{deadLife}, States: states,
	})
	return link
}

func keptRecord(tasks int) job.Record {
	s := testSubmission("00000000000000cc", tasks)
	s.BestEffort = false
	return job.Record{Submission: s}
}

func runOf(index, run int) job.RunName {
	return job.RunName{TaskName: job.TaskName{Job: "00000000000000cc", Index: index}, Run: run}
}

// Of a job that is taken over, the runs that gates tell of go on; only tasks
// that no gate knows start anew, in the range of the new owner.
func TestAdoptKeepsRuns(t *testing.T) {
	b := newBench(t)
	link := b.adoptJob(keptRecord(4), []gate.RunState{
		{Name: runOf(0, 1), End: gate.EndDone},
		{Name: runOf(1, 1), Running: true},
		{Name: runOf(2, 1), Running: true},
	})
	f := b.flush("gate-1", link)
	if len(f.Starts) != 1 || f.Starts[0].Name != runOf(3, job.FirstRun(1)) {
		t.Fatalf("starts %+v, want only task 3", f.Starts)
	}
	for _, i := range []int{1, 2} {
		b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: testReport(), States: []gate.RunState{{Name: runOf(i, 1), End: gate.EndDone}}})
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: testReport(), States: []gate.RunState{{Name: runOf(3, job.FirstRun(1)), End: gate.EndDone}}})
	if j := b.owner.jobs["00000000000000cc"]; j == nil || j.final != job.StateCompleted {
		t.Fatalf("job %+v, want its completion on the way", j)
	}
}

// Failures that were counted before count on; the one that the dead owner did
// not write is counted once.
func TestAdoptCountsFailures(t *testing.T) {
	b := newBench(t)
	r := keptRecord(1)
	r.AddFailure(0, 1)
	b.adoptJob(r, []gate.RunState{{Name: runOf(0, 1), End: gate.EndFailed}, {Name: runOf(0, 2), End: gate.EndFailed}})
	if j := b.owner.jobs["00000000000000cc"]; j == nil || j.final != job.StateFailed {
		t.Fatalf("job %+v, want it failed after two attempts", j)
	}
}

// Nothing starts anew while a gate that may have runs has not told of them and
// their lease may hold.
func TestAdoptWaitsForSilentGate(t *testing.T) {
	b := newBench(t)
	b.owner.AddGate("gate-2", "zone-b")
	link := b.adoptJob(keptRecord(1), nil)
	if f := b.flush("gate-1", link); len(f.Starts) != 0 {
		t.Fatal("started while a gate is silent")
	}
	b.now += b.owner.overAfter() + time.Millisecond
	b.owner.Tick()
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 10, Report: testReport()})
	if f := b.flush("gate-1", link); len(f.Starts) != 1 {
		t.Errorf("%d starts after the lease is over, want 1", len(f.Starts))
	}
}

// Once a job is to end as failed no task of it starts any more, also when others
// of its tasks still end.
func TestFailedJobStartsNothing(t *testing.T) {
	b := newBench(t)
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

// A job that is taken over counts as waiting until a run of it is known to have
// started: its former owner may have died before it placed anything.
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
			b := newBench(t)
			record := keptRecord(2)
			test.record(&record)
			b.adoptJob(record, test.states)
			if got := b.owner.Pending(record.Queue.Name); got != test.want {
				t.Errorf("%d jobs wait, want %d", got, test.want)
			}
		})
	}
}

// Symptom: a task starts, or the row of a life falls, while a run of that life may be at
// work.
//
// Sequence: a life takes over another's jobs and is lost in turn, before every gate has
// told of the first life's runs.
//
// Cause: the next taker asked for the runs of the second life only: the first one's row has
// no jobs any more.
func TestAdoptionOfAdopterWaitsForBothLives(t *testing.T) {
	b := newBench(t)
	link := b.connect("gate-1")
	b.owner.StartAdoption([]string{"entry~00"})
	b.owner.StartAdoption([]string{deadLife})
	told := b.owner.Adopt([]string{"entry~00"}, b.now, nil)
	select {
	case <-told:
		t.Error("the first row falls before the gate has told of its runs")
	default:
	}
	record := keptRecord(1)
	record.Owner, record.Generation = "entry~1", 2
	b.owner.Adopt([]string{deadLife}, b.now, []Adopted{{Record: record, Version: 7}})
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{deadLife}})
	if f := b.flush("gate-1", link); len(f.Starts) != 0 {
		t.Errorf("started %+v before the gate has told of the first life's runs", f.Starts)
	}
}

// Symptom: a kept job that was accepted a moment before all boxes lost power never ran
// again, though there was room: it had no owner.
//
// Sequence: its caller hands it in again at the box that is taking the lost owner's jobs
// over; the insert is on its way as the take-over brings the job.
//
// Cause: the take-over passed over a job that the owner had already, and the insert, which
// met the row that is there, dropped it.
func TestJobHandedInDuringTakeOverIsKept(t *testing.T) {
	for _, outcome := range []error{rowstore.ErrConflict, rowstore.ErrNotDone} {
		b := newBench(t)
		record := keptRecord(1)
		var told []SubmitResult
		b.owner.Submit(record.Submission, func(r SubmitResult) { told = append(told, r) })
		insert := b.writer.take()
		link := b.adoptJob(record, nil)
		insert[0].Done(rowstore.Outcome{}, outcome)
		if len(told) != 1 || told[0] != SubmitAccepted {
			t.Errorf("%v: told %v, want that the job is accepted", outcome, told)
		}
		if f := b.flush("gate-1", link); len(f.Starts) != 1 {
			t.Errorf("%v: %d starts of the job that was taken over, want 1", outcome, len(f.Starts))
		}
	}
}

// Symptom: a kept job stood at "running" for good, and nothing of it ran.
//
// Sequence: its owner is lost; a gate tells the next one of a run that is at work, and the
// take-over waits for another gate. The first gate's target starts again, and the gate finds a
// run there: the inventory that it then sends holds no run that was lost.
//
// Cause: what an inventory leaves out was looked for among placed tasks only, not among the runs
// told of earlier in the take-over. The run counted as at work.
func TestRunLostDuringTakeOverStartsAgain(t *testing.T) {
	b := newBench(t)
	b.owner.AddGate("gate-2", "zone-b")
	link := b.adoptJob(keptRecord(1), []gate.RunState{{Name: runOf(0, 1), Running: true}})
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{deadLife}})
	second := b.connect("gate-2")
	b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Report: testReport(), Inventory: true, Adopted: []string{deadLife}})
	starts := len(b.flush("gate-1", link).Starts) + len(b.flush("gate-2", second).Starts)
	if starts != 1 {
		t.Errorf("%d starts of the lost run's task, want 1", starts)
	}
}

// An inventory replaces what its gate alone has told: runs at other gates go on.
func TestInventoryDuringTakeOverLeavesOtherGates(t *testing.T) {
	b := newBench(t)
	b.owner.AddGate("gate-2", "zone-b")
	link := b.adoptJob(keptRecord(1), []gate.RunState{{Name: runOf(0, 1), Running: true}})
	second := b.connect("gate-2")
	b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Report: testReport(), Inventory: true, Adopted: []string{deadLife}})
	starts := len(b.flush("gate-1", link).Starts) + len(b.flush("gate-2", second).Starts)
	if starts != 0 {
		t.Errorf("%d starts beside the run that goes on, want none", starts)
	}
}

// Symptom: two runs of a kept task at one time, by reading.
//
// Sequence: a gate has handed a lost owner's runs to the one that takes over and keeps them
// going for it; the store is slow, and the jobs are read after the time by which runs of a
// lost owner are over.
//
// Cause: that time counts from the owner's loss, but runs that were handed over outlive it.
func TestSlowTakeOverWaitsForRunsHandedOver(t *testing.T) {
	b := newBench(t)
	link, second := b.connect("gate-1"), b.connect("gate-2")
	b.owner.StartAdoption([]string{deadLife})
	from := b.now
	handedOver := gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{deadLife}, States: []gate.RunState{{Name: runOf(0, 1), Running: true}}}
	b.owner.OnFrame("gate-1", link, handedOver)
	b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Received: 10, Report: testReport(), Inventory: true, Adopted: []string{deadLife}})
	b.now += b.owner.overAfter() + time.Second
	for name, l := range map[string]uint64{"gate-1": link, "gate-2": second} {
		b.owner.OnFrame(name, l, gate.Frame{Clock: b.now, Received: 10, Report: testReport()})
	}
	record := keptRecord(1)
	record.Owner, record.Generation = "entry~1", 1
	b.owner.Adopt([]string{deadLife}, from, []Adopted{{Record: record, Version: 7}})
	if n := len(b.flush("gate-1", link).Starts) + len(b.flush("gate-2", second).Starts); n != 0 {
		t.Fatalf("%d starts beside the run that was handed over, want none", n)
	}
	// Once that gate is silent for as long, its runs are over as well.
	b.now += b.owner.overAfter() + time.Millisecond
	b.owner.OnFrame("gate-2", second, gate.Frame{Clock: b.now, Received: 11, Report: testReport(), Inventory: true, Adopted: []string{deadLife}})
	b.owner.Tick()
	if n := len(b.flush("gate-2", second).Starts); n != 1 {
		t.Errorf("%d starts once the gate's runs are over, want 1", n)
	}
}
