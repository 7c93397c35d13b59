package owner

import (
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// dropOne runs a job of one task on gate-1, drops it once the start was sent, and submits it again
// at once. It returns the link, the name of the first run and the result of the second submission.
func (b *harness) dropOne(s job.Submission) (link uint64, first job.RunName, result *BestEffortResult) {
	b.t.Helper()
	link = b.connect("gate-1")
	ticket := b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	starts := b.flush("gate-1", link).Starts
	if len(starts) != 1 {
		b.t.Fatalf("%d starts, want 1", len(starts))
	}
	b.owner.RemoveCaller(s.ID, ticket)
	result = new(BestEffortResult)
	b.owner.RunBestEffort(s, time.Minute, func(r BestEffortResult) { *result = r })
	return link, starts[0].Name, result
}

// A job that is submitted again while its first run is being stopped must not start beside it.
func TestResumedTaskWaitsForEarlierRun(t *testing.T) {
	for name, c := range map[string]struct {
		// over makes the owner learn that the first run is over.
		over func(b *harness, link uint64, first job.RunName)
		// done is set if the first run's result counts.
		done bool
	}{
		"stopped": {over: func(b *harness, link uint64, first job.RunName) {
			b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 1000, Report: testReport(), States: []gate.RunState{{Name: first, End: gate.EndStopped}}})
		}},
		"done": {done: true, over: func(b *harness, link uint64, first job.RunName) {
			b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 1000, Report: testReport(), States: []gate.RunState{{Name: first, End: gate.EndDone}}})
		}},
		"missing from an inventory": {over: func(b *harness, link uint64, first job.RunName) {
			b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 1000, Report: testReport(), Inventory: true})
		}},
		"its gate is silent": {over: func(b *harness, link uint64, first job.RunName) {
			b.connect("gate-2")
			for silentSince := b.now; b.now-silentSince <= b.owner.overAfter(); b.now += 100 * time.Millisecond {
				b.owner.OnFrame("gate-2", b.link, gate.Frame{Clock: b.now, Received: 1000, Report: testReport()})
			}
			b.owner.Tick()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			s := testSubmission("00000000000000aa", 1)
			// The job must not be very late by the time that its gate counts as silent.
			s.Steps[0].EstimateMS = 10_000
			link, first, result := b.dropOne(s)
			if starts := b.flush("gate-1", link).Starts; len(starts) != 0 {
				t.Fatalf("run %d started while run %d may be active", starts[0].Name.Run, first.Run)
			}
			c.over(b, link, first)
			if c.done {
				if result.State != job.StateCompleted {
					t.Errorf("result %+v, want the first run's", *result)
				}
				return
			}
			starts := append(b.flush("gate-1", link).Starts, b.startsOf("gate-2")...)
			if len(starts) != 1 || starts[0].Name.Run != first.Run+1 {
				t.Errorf("starts %+v once the first run is over, want run %d", starts, first.Run+1)
			}
		})
	}
}

// startsOf returns the starts that wait for a gate.
func (b *harness) startsOf(name string) []gate.Order {
	if v := b.owner.gates[name]; v != nil {
		return v.starts
	}
	return nil
}

// A dropped job whose runs are over by the time that it is submitted again starts at once.
func TestResumedJobWithoutOpenRunsStarts(t *testing.T) {
	for name, over := range map[string]func(b *harness, link uint64, first job.RunName){
		"stopped": func(b *harness, link uint64, first job.RunName) {
			b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 1000, Report: testReport(), States: []gate.RunState{{Name: first, End: gate.EndStopped}}})
		},
		"missing from an inventory": func(b *harness, link uint64, _ job.RunName) {
			b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: 1000, Report: testReport(), Inventory: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			link := b.connect("gate-1")
			s := testSubmission("00000000000000aa", 1)
			ticket := b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
			first := b.flush("gate-1", link).Starts[0].Name
			b.owner.RemoveCaller(s.ID, ticket)
			over(b, link, first)
			b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
			if starts := b.flush("gate-1", link).Starts; len(starts) != 1 || starts[0].Name.Run != first.Run+1 {
				t.Errorf("starts %+v, want run %d", starts, first.Run+1)
			}
		})
	}
}

// A caller that comes to a stopped owner is answered at once: nobody would end its job.
func TestStoppedOwnerAnswersReturningCaller(t *testing.T) {
	b := newHarness(t)
	s := testSubmission("00000000000000aa", 1)
	link := b.connect("gate-1")
	b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	b.flush("gate-1", link)
	b.owner.Stop()
	answered := false
	_, known := b.owner.ResumeBestEffort(s, time.Minute, func(r BestEffortResult) {
		answered = true
		if r.Refused {
			t.Error("refused, though a run may be active")
		}
	})
	if !known || !answered {
		t.Errorf("known %v, answered %v, want both", known, answered)
	}
}
