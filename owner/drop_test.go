package owner

import (
	"slices"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// The callers of a dropped job are told that it has not run if the gates have rejected
// all of its runs, and otherwise that it may have run.
func TestGivenUpUntried(t *testing.T) {
	cases := []struct {
		name string
		// ends are the reported ends of the runs; 0 means no report.
		ends    []gate.EndKind
		refused bool
	}{
		{"all taken back", []gate.EndKind{gate.EndRejected, gate.EndRejected}, true},
		{"one had started", []gate.EndKind{gate.EndRejected, gate.EndStopped}, false},
		{"one was lost", []gate.EndKind{gate.EndLost, gate.EndRejected}, false},
		{"one is not reported", []gate.EndKind{gate.EndRejected, 0}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newHarness(t)
			link := b.connect("gate-1")
			var got *BestEffortResult
			s := testSubmission("00000000000000aa", len(tc.ends))
			b.owner.RunBestEffort(s, 300*time.Millisecond, func(r BestEffortResult) { got = &r })
			f := b.flush("gate-1", link)
			if len(f.Starts) != len(tc.ends) {
				t.Fatalf("%d starts, want %d", len(f.Starts), len(tc.ends))
			}
			b.now += 300 * time.Millisecond
			b.owner.Tick()
			if got != nil {
				t.Fatalf("answered %+v before the gate could report", *got)
			}
			if f = b.flush("gate-1", link); len(f.Stops) != len(tc.ends) {
				t.Fatalf("%d runs withdrawn, want %d", len(f.Stops), len(tc.ends))
			}
			var states []gate.RunState
			for i, end := range tc.ends {
				if end != 0 {
					states = append(states, gate.RunState{Name: f.Stops[i], End: end})
				}
			}
			b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Report: testReport(), States: states})
			b.now += withdrawTimeout + time.Millisecond
			b.owner.Tick()
			if got == nil || got.Refused != tc.refused || got.State != "" {
				t.Errorf("answered %+v, want refused %v", got, tc.refused)
			}
		})
	}
}

// The callers of a dropped job of which a run has ended are told at once that it may
// have run.
func TestGivenUpTried(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	var got *BestEffortResult
	s := testSubmission("00000000000000aa", 2)
	b.owner.RunBestEffort(s, 300*time.Millisecond, func(r BestEffortResult) { got = &r })
	f := b.flush("gate-1", link)
	done := []gate.RunState{{Name: f.Starts[0].Name, End: gate.EndDone}}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Report: testReport(), States: done})
	b.now += 300 * time.Millisecond
	b.owner.Tick()
	if got == nil || got.Refused {
		t.Errorf("answered %+v, want an answer that it may have run", got)
	}
}

// Jobs with placed tasks come before other jobs that are not late, so that little work
// is done for jobs that are then dropped.
func TestBegunJobsFirst(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	b.fill("gate-1", link)
	second := testSubmission("00000000000000bb", 4)
	second.Queue.TargetLatencyMS = 90
	second.Queue.Priority = 1
	b.owner.RunBestEffort(second, time.Minute, func(BestEffortResult) {})
	r := testReport()
	r.Free = job.Resources{CPU: 1600, Memory: 64}
	r.Queued = job.Resources{CPU: r.Capacity.CPU * gate.QueueShare / 1000}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Report: r})
	if f := b.flush("gate-1", link); len(f.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(f.Starts))
	}
	first := testSubmission("00000000000000aa", 4)
	first.Queue.Priority = 1
	b.owner.RunBestEffort(first, time.Minute, func(BestEffortResult) {})
	if id := b.owner.waiting.items[0].job.record.ID; id != second.ID {
		t.Errorf("%s comes first, want the job with a placed task", id)
	}
}

// A late job falls behind the others only if many of its tasks are left.
func TestNearlyDoneJobGoesOn(t *testing.T) {
	b := newHarness(t)
	b.connect("gate-1")
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 8), time.Minute, func(BestEffortResult) {})
	j := b.owner.jobs["00000000000000aa"]
	now := j.startBy + time.Millisecond
	for left, late := range map[int]bool{8: true, 3: true, 2: false, 1: false} {
		j.left = left
		if j.isLate(now) != late {
			t.Errorf("isLate is %v with %d of 8 tasks left, want %v", !late, left, late)
		}
	}
	if j.left = 8; j.isLate(j.startBy) {
		t.Error("late while it can be in time")
	}
}

// A job whose runs were all rejected by gates counts as not placed and is refused as
// early as other such jobs.
func TestGivenBackJobHasNotBegun(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	var got *BestEffortResult
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 2), time.Minute, func(r BestEffortResult) { got = &r })
	f := b.flush("gate-1", link)
	full := testReport()
	full.Free = job.Resources{}
	full.Queued = job.Resources{CPU: full.Capacity.CPU}
	reject := func(i int) {
		back := gate.RunState{Name: f.Starts[i].Name, End: gate.EndRejected, Reason: gate.ReasonFull}
		b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: full, States: []gate.RunState{back}})
	}
	j := b.owner.jobs["00000000000000aa"]
	reject(0)
	if !j.placed {
		t.Fatal("counts as not placed while a run is at a gate")
	}
	reject(1)
	if j.placed {
		t.Fatal("counts as placed though both runs were rejected")
	}
	b.now = j.refuseAt() + time.Millisecond
	b.owner.Tick()
	if got == nil || !got.Refused {
		t.Errorf("answered %+v, want refused", got)
	}
}

// Only tasks of the highest priority are sent to a gate whose queue is full; the gate
// rejects runs that rank lower.
func TestFirstPriorityPassesFullQueue(t *testing.T) {
	for priority, want := range map[int]int{0: 1, 1: 0} {
		b := newHarness(t)
		link := b.connect("gate-1")
		r := testReport()
		r.Free = job.Resources{}
		r.Queued = job.Resources{CPU: r.Capacity.CPU * gate.QueueShare / 1000}
		b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Report: r})
		s := testSubmission("00000000000000aa", 1)
		s.Queue.Priority = priority
		b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
		if n := len(b.flush("gate-1", link).Starts); n != want {
			t.Errorf("priority %d: %d starts, want %d", priority, n, want)
		}
	}
}

// The owner reports that it is waiting only while tasks or answers wait.
func TestWaiting(t *testing.T) {
	b := newHarness(t)
	if b.owner.Waiting() {
		t.Error("waiting without jobs")
	}
	link := b.connect("gate-1")
	ticket := b.owner.RunBestEffort(testSubmission("00000000000000aa", 200), time.Minute, func(BestEffortResult) {})
	if !b.owner.Waiting() {
		t.Error("not waiting with 200 tasks for one gate")
	}
	b.flush("gate-1", link)
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 200), time.Minute, func(BestEffortResult) {})
	b.owner.RemoveCaller("00000000000000aa", ticket)
	b.owner.drop(b.owner.jobs["00000000000000aa"], dropVeryLate)
	if !b.owner.Waiting() {
		t.Error("not waiting for the gate's report on a dropped job")
	}
	b.now += withdrawTimeout + time.Millisecond
	b.owner.Tick()
	if b.owner.Waiting() {
		t.Error("waiting after the last answer")
	}
}

// A dropped job is remembered by its runs only: a job whose callers have left would otherwise stay
// in memory with its specification for as long as its runs are remembered.
func TestDroppedJobWithoutCallersIsReleased(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	s := testSubmission("00000000000000aa", 1)
	ticket := b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	b.flush("gate-1", link)
	b.owner.RemoveCaller(s.ID, ticket)
	if d := b.owner.dropped[s.ID]; d == nil || d.refused != nil {
		t.Errorf("dropped job %+v, want it remembered without a reference to the job", d)
	}
}

// A task that a full gate has rejected must not be sent to a full gate again with each
// frame, only after a growing pause.
func TestTaskGivenBackByFullGateWaits(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	r := testReport()
	r.Free = job.Resources{}
	r.Queued = job.Resources{CPU: r.Capacity.CPU * gate.QueueShare / 1000}
	s := testSubmission("00000000000000aa", 1)
	b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	orders, last, pause := 0, Time(0), Time(0)
	for from := b.now; b.now < from+400*time.Millisecond; b.now += 3 * time.Millisecond {
		f := gate.Frame{Clock: b.now, Received: 1000, Report: r}
		for _, order := range b.flush("gate-1", link).Starts {
			if b.now-last < pause {
				t.Fatalf("sent again %v after rejection %d, want at least %v", b.now-last, orders, pause)
			}
			orders++
			pause = min(max(2*pause, minFullPause), maxFullPause)
			last = b.now
			f.States = append(f.States, gate.RunState{Name: order.Name, End: gate.EndRejected, Reason: gate.ReasonFull})
		}
		b.owner.OnFrame("gate-1", link, f)
	}
	if orders < 2 {
		t.Errorf("%d orders, want the task tried again", orders)
	}
	// A gate with room gets the task at once.
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 1000, Report: testReport()})
	if n := len(b.flush("gate-1", link).Starts); n != 1 {
		t.Errorf("%d starts once the gate has room, want 1", n)
	}
}

// A run that a restarted gate has found may belong to the owner where the caller of a dropped job
// has submitted it again, which numbers its runs from 1 too. An owner that dropped the job before
// it sent such a run neither stops that run nor acknowledges its end.
func TestDroppedJobRunsElsewhere(t *testing.T) {
	for name, sent := range map[string]bool{"not sent here": false, "sent here": true} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			link := b.connect("gate-1")
			if !sent {
				b.fill("gate-1", link)
			}
			s := testSubmission("00000000000000aa", 2)
			b.owner.RunBestEffort(s, 300*time.Millisecond, func(BestEffortResult) {})
			if f := b.flush("gate-1", link); sent != (len(f.Starts) == 2) {
				t.Fatalf("%d starts", len(f.Starts))
			}
			b.now += 300 * time.Millisecond
			b.owner.Tick()
			link++
			b.owner.LinkUp("gate-1", link, nil)
			running := job.RunName{TaskName: job.TaskName{Job: s.ID}, Run: 1}
			ended := job.RunName{TaskName: job.TaskName{Job: s.ID, Index: 1}, Run: 1}
			b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Report: testReport(), Inventory: true, States: []gate.RunState{
				{Name: running, Running: true}, {Name: ended, End: gate.EndDone},
			}})
			f := b.flush("gate-1", link)
			stops := slices.Contains(f.Stops, running)
			acknowledges := slices.Contains(f.Verdicts, gate.Verdict{Name: ended, Kind: gate.VerdictAcknowledge})
			if stops != sent || acknowledges != sent {
				t.Errorf("stops the run: %v, acknowledges the end: %v, want %v", stops, acknowledges, sent)
			}
		})
	}
}

// The end of a run that a restarted gate has found waits for its owner to link again before others,
// which do not know its job, may decide on it. The gate would forget it, and the task would run again.
func TestEndOfUnknownJobWaitsForOwner(t *testing.T) {
	b := newHarness(t)
	b.connect("gate-1")
	link := b.connect("gate-1")
	id := job.ID("00000000000000aa")
	name := job.RunName{TaskName: job.TaskName{Job: id}, Run: 1}
	inventory := gate.Frame{Clock: b.now, Report: testReport(), Inventory: true, States: []gate.RunState{{Name: name, End: gate.EndDone}}}
	b.owner.OnFrame("gate-1", link, inventory)
	b.now += bestEffortContact - time.Millisecond
	b.owner.OnFrame("gate-1", link, inventory)
	if ids := b.owner.UnknownJobs(); len(ids) != 0 {
		t.Errorf("decides on %v while their owner may link again", ids)
	}
	b.now += time.Millisecond
	if ids := b.owner.UnknownJobs(); !slices.Equal(ids, []job.ID{id}) {
		t.Errorf("decides on %v, want %v", ids, id)
	}
	b.flush("gate-1", link)
	b.owner.AnswerUnknown(id, true, nil)
	if f := b.flush("gate-1", link); !slices.Contains(f.Verdicts, gate.Verdict{Name: name, Kind: gate.VerdictAcknowledge}) {
		t.Errorf("verdicts %+v, want the end acknowledged", f.Verdicts)
	}
}
