package owner

import (
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// A job that is given up has not run if every gate takes back what it was sent:
// its caller is told so, and not that it may have run.
func TestGivenUpUntried(t *testing.T) {
	cases := []struct {
		name string
		// ends are what the gate tells of the runs; 0 tells nothing.
		ends    []gate.EndKind
		refused bool
	}{
		{"all taken back", []gate.EndKind{gate.EndRejected, gate.EndRejected}, true},
		{"one had started", []gate.EndKind{gate.EndRejected, gate.EndStopped}, false},
		{"one was lost", []gate.EndKind{gate.EndLost, gate.EndRejected}, false},
		{"one is not told of", []gate.EndKind{gate.EndRejected, 0}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
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
				t.Fatalf("answered %+v before the gate could tell", *got)
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
			b.now += withdrawPatience + time.Millisecond
			b.owner.Tick()
			if got == nil || got.Refused != tc.refused || got.State != "" {
				t.Errorf("answered %+v, want refused %v", got, tc.refused)
			}
		})
	}
}

// A job of which a run has ended is told to have run at once.
func TestGivenUpTried(t *testing.T) {
	b := newBench(t)
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

// Jobs that have begun come before others that are as much in time, so that
// little is done for jobs that are then given up.
func TestBegunJobsFirst(t *testing.T) {
	b := newBench(t)
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
		t.Errorf("%s comes first, want the job that has begun", id)
	}
}

// A late job with little left goes on before others; it falls behind them only
// while much is left.
func TestNearlyDoneJobGoesOn(t *testing.T) {
	b := newBench(t)
	b.connect("gate-1")
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 8), time.Minute, func(BestEffortResult) {})
	j := b.owner.jobs["00000000000000aa"]
	now := j.startBy + time.Millisecond
	for left, late := range map[int]bool{8: true, 3: true, 2: false, 1: false} {
		j.left = left
		if j.isLate(now) != late {
			t.Errorf("late %v with %d of 8 tasks left, want %v", !late, left, late)
		}
	}
	if j.left = 8; j.isLate(j.startBy) {
		t.Error("late while it can be in time")
	}
}

// A job whose runs were all given back by gates has not begun: it is refused as
// early as others.
func TestGivenBackJobHasNotBegun(t *testing.T) {
	b := newBench(t)
	link := b.connect("gate-1")
	var got *BestEffortResult
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 2), time.Minute, func(r BestEffortResult) { got = &r })
	f := b.flush("gate-1", link)
	full := testReport()
	full.Free = job.Resources{}
	full.Queued = job.Resources{CPU: full.Capacity.CPU}
	give := func(i int) {
		back := gate.RunState{Name: f.Starts[i].Name, End: gate.EndRejected, Reason: gate.ReasonFull}
		b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: full, States: []gate.RunState{back}})
	}
	j := b.owner.jobs["00000000000000aa"]
	give(0)
	if !j.placed {
		t.Fatal("counts as not begun while a run is at a gate")
	}
	give(1)
	if j.placed {
		t.Fatal("counts as begun though nothing of it started")
	}
	b.now = j.offerBy() + time.Millisecond
	b.owner.Tick()
	if got == nil || !got.Refused {
		t.Errorf("answered %+v, want refused", got)
	}
}

// A task of the first priority is sent to a gate whose queue is full, and others
// are not: the gate gives back what comes after it.
func TestFirstPriorityPassesFullQueue(t *testing.T) {
	for priority, want := range map[int]int{0: 1, 1: 0} {
		b := newBench(t)
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

// The owner's times are looked at often while tasks or answers wait, and only then.
func TestWaiting(t *testing.T) {
	b := newBench(t)
	if b.owner.Waiting() {
		t.Error("waits without jobs")
	}
	link := b.connect("gate-1")
	ticket := b.owner.RunBestEffort(testSubmission("00000000000000aa", 200), time.Minute, func(BestEffortResult) {})
	if !b.owner.Waiting() {
		t.Error("200 tasks do not wait for a single gate")
	}
	b.flush("gate-1", link)
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 200), time.Minute, func(BestEffortResult) {})
	b.owner.Leave("00000000000000aa", ticket)
	b.owner.drop(b.owner.jobs["00000000000000aa"])
	if !b.owner.Waiting() {
		t.Error("does not wait for the gate's word on what was given up")
	}
	b.now += withdrawPatience + time.Millisecond
	b.owner.Tick()
	if b.owner.Waiting() {
		t.Error("waits after the last answer")
	}
}

// Symptom: the run numbers of waiting tasks of the first priority reached 1471 in a few seconds,
// each an order that a gate gave back.
//
// Cause: a task that a full gate has given back went there again with the next frame, a few
// milliseconds later, though nothing had moved on in that queue.
func TestTaskGivenBackByFullGateWaits(t *testing.T) {
	b := newBench(t)
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
				t.Fatalf("sent again %v after it was given back for time %d, want %v at least", b.now-last, orders, pause)
			}
			orders++
			pause = min(max(2*pause, leastFullPause), mostFullPause)
			last = b.now
			f.States = append(f.States, gate.RunState{Name: order.Name, End: gate.EndRejected, Reason: gate.ReasonFull})
		}
		b.owner.OnFrame("gate-1", link, f)
	}
	if orders < 2 {
		t.Errorf("%d orders, want the task tried again", orders)
	}
	// Where there is room it goes at once.
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 1000, Report: testReport()})
	if n := len(b.flush("gate-1", link).Starts); n != 1 {
		t.Errorf("%d starts once the gate has room, want 1", n)
	}
}
