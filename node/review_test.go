package node

import (
	"fmt"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
)

// Symptom: a run goes on beside the run that another owner has started.
//
// Sequence: an executor leaves its orders unanswered and carries them out late (as on days
// with applied_late): a start by 0.4 s, stops by seconds or never. At 0 the only caller
// leaves.
//
// Cause: the gate has the run stopped since its start was not answered; nobody counts on
// that stop. The stop that the owner orders later changes nothing then, and the lease is
// extended as long as the owner is in touch.
func TestStopAfterLateStartThatDoesNotTake(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second, 3 * time.Second} {
		subtest(t, fmt.Sprintf("stops late by %v", after), func(s *virtualSite) {
			x := s.agents[1].target
			x.setStops(stopFault{on: true, after: after})
			x.setStartsLate(400 * time.Millisecond)
			leave := s.handIn()
			x.setStartsLate(0)
			s.keepBusy()
			s.play(playTime, event{0, leave})
		})
	}
}

// keepBusy has the first entry box run another job everywhere, so that it goes on sending
// its heartbeats to all gates.
func (s *virtualSite) keepBusy() {
	other := testJob(2, 6, true)
	other.Steps[0].EstimateMS = int(taskTime.Milliseconds())
	go s.entries[0].run(s.ctx, other)
	wait.For(s.ctx, 300*time.Millisecond)
}

// As TestStopThatDoesNotTake with an entry box that has other runs at the gates.
func TestStopThatDoesNotTakeOfBusyOwner(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second, 3 * time.Second} {
		subtest(t, fmt.Sprintf("stops late by %v", after), func(s *virtualSite) {
			s.agents[1].target.setStops(stopFault{on: true, after: after})
			leave := s.handIn()
			s.keepBusy()
			s.play(playTime, event{0, leave})
		})
	}
}

// An agent that is killed alone, and is back after 0.3 s, loses no run: owners claim them
// before the lease of the first process is over.
func TestAgentRestartedAloneKeepsRuns(t *testing.T) {
	for ms := 0; ms < 400; ms += 20 {
		for _, down := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond} {
			t.Run(fmt.Sprintf("killed %d ms on, down for %v", ms, down), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(s *virtualSite) {
					s.handIn()
					wait.For(s.ctx, time.Duration(ms)*time.Millisecond)
					a := s.agents[1]
					s.play(2*time.Second, event{0, a.kill}, event{down, a.start})
					for _, x := range s.spans() {
						if x.End != 0 && x.End != gate.EndDone {
							t.Errorf("%s", s.tell(x))
						}
					}
				})
			})
		}
	}
}

// An owner holds the runs of a gate that it does not hear of to be over after some time.
// No gate lets a best-effort run go on longer, however long callers wait.
func TestBestEffortRunsAreOverWhenOwnersThinkSo(t *testing.T) {
	// sinceHeard and lapse are those of packages owner (mostSinceHeard) and gate
	// (bestEffortLapse); over is owner.overAfter.
	const sinceHeard, lapse = 500 * time.Millisecond, 400 * time.Millisecond
	for _, resubmit := range []time.Duration{1300 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		o := Options{Resubmit: resubmit, MaxHold: time.Second}
		g := gateOptions(o, "a~1")
		over := g.Contact + g.MaxHold*103/100 + 250*time.Millisecond
		if most := sinceHeard + g.BestEffortContact + lapse; most > over {
			t.Errorf("resubmission after %v: runs go on for %v after their gate was heard of, owners replace them after %v", resubmit, most, over)
		}
	}
}
