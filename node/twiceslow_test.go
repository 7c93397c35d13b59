package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rackspur/internal/wait"
)

// The tests of twice_test.go and twicestop_test.go with a target that answers slowly: orders take
// longer to be resolved, and calls that were given up may still be carried out.

// slowDelays are the delays of calls to the second target.
var slowDelays = []callDelays{
	{request: 50 * time.Millisecond}, {request: 100 * time.Millisecond}, {request: 150 * time.Millisecond},
	{answer: 150 * time.Millisecond}, {request: 75 * time.Millisecond, answer: 75 * time.Millisecond},
}

// slowStops are the faults of stops in these tests.
var slowStops = []stopFault{{}, {on: true}, {on: true, after: 300 * time.Millisecond}, {on: true, after: time.Second}, {on: true, after: 2 * time.Second}}

func (f stopFault) String() string {
	switch {
	case !f.on:
		return "stops carried out"
	case f.after == 0:
		return "stops never carried out"
	}
	return fmt.Sprintf("stops late by %v", f.after)
}

// sweepSlow runs a test for each delay and fault. The target is slow from the time before the job
// is submitted, or from the given time before the first fault.
func sweepSlow(t *testing.T, stops []stopFault, test func(s *virtualSite, leave context.CancelFunc)) {
	t.Helper()
	const always = time.Hour
	for _, d := range slowDelays {
		for _, f := range stops {
			for _, since := range []time.Duration{always, 120 * time.Millisecond} {
				name := fmt.Sprintf("request %v, answer %v, %v, slow for %v", d.request, d.answer, f, since)
				subtest(t, name, func(s *virtualSite) {
					a := s.agents[1]
					a.target.setStops(f)
					if since == always {
						a.late.setDelays(d)
						wait.For(s.ctx, time.Second)
					}
					leave := s.submitBestEffort()
					if since != always {
						a.late.setDelays(d)
						wait.For(s.ctx, since)
					}
					test(s, leave)
				})
			}
		}
	}
}

// The owner is lost, or the only caller leaves.
func TestSlowTargetOfLostOwner(t *testing.T) {
	t.Run("owner lost", func(t *testing.T) {
		sweepSlow(t, slowStops, func(s *virtualSite, _ context.CancelFunc) {
			s.play(playTime, event{0, s.entries[0].kill})
		})
	})
	t.Run("caller leaves", func(t *testing.T) {
		sweepSlow(t, slowStops, func(s *virtualSite, leave context.CancelFunc) {
			s.play(playTime, event{0, leave})
		})
	})
	t.Run("caller leaves busy owner", func(t *testing.T) {
		sweepSlow(t, slowStops, func(s *virtualSite, leave context.CancelFunc) {
			s.keepBusy()
			s.play(playTime, event{0, leave})
		})
	})
}

// As TestAgentLostAfterOwner, TestAgentRestartedAfterOwner and TestAgentFrozenAfterOwner.
func TestSlowTargetOfLostAgent(t *testing.T) {
	const down = 300 * time.Millisecond
	for _, d := range []callDelays{{request: 150 * time.Millisecond}, {answer: 100 * time.Millisecond}} {
		for _, fault := range []string{"lost", "restarted", "frozen"} {
			t.Run(fmt.Sprintf("request %v, answer %v, agent %s", d.request, d.answer, fault), func(t *testing.T) {
				sweep(t, func(s *virtualSite, offset time.Duration) {
					a := s.agents[1]
					a.late.setDelays(d)
					s.submitBestEffort()
					events := []event{{0, s.entries[0].kill}}
					switch fault {
					case "lost":
						events = append(events, event{offset, a.kill})
					case "restarted":
						events = append(events, event{offset, a.kill}, event{offset + down, a.start})
					case "frozen":
						events = append(events, event{offset, a.awake.shut}, event{offset + 3*time.Second, a.awake.open})
					}
					s.play(playTime+time.Second, events...)
				})
			})
		}
	}
}

// The owner is lost, or the only caller leaves, while starts are on their way. The job is submitted
// elsewhere after the callers' delay.
func TestSlowTargetOfNewJob(t *testing.T) {
	faults := []struct {
		name  string
		event func(s *virtualSite, leave context.CancelFunc) func()
	}{
		{"owner lost", func(s *virtualSite, _ context.CancelFunc) func() { return s.entries[0].kill }},
		{"caller leaves", func(_ *virtualSite, leave context.CancelFunc) func() { return leave }},
	}
	for _, fault := range faults {
		for _, stops := range []stopFault{{}, {on: true}, {on: true, after: 2 * time.Second}} {
			for _, d := range slowDelays {
				name := fmt.Sprintf("%s, %v, request %v, answer %v", fault.name, stops, d.request, d.answer)
				t.Run(name, func(t *testing.T) {
					for after := time.Duration(0); after <= 800*time.Millisecond; after += 80 * time.Millisecond {
						t.Run(after.String(), func(t *testing.T) {
							t.Parallel()
							inBubble(t, func(s *virtualSite) {
								for _, a := range s.agents {
									a.late.setDelays(d)
									a.target.setStops(stops)
								}
								wait.For(s.ctx, time.Second)
								ctx, leave := context.WithCancel(s.ctx)
								defer leave()
								go s.entries[0].run(ctx, virtualJob(true))
								again := func() { go s.entries[1].run(s.ctx, virtualJob(true)) }
								s.play(playTime, event{-after, func() {}}, event{0, fault.event(s, leave)}, event{s.bounds.resubmit, again})
								s.checkOverlaps()
							})
						})
					}
				})
			}
		}
	}
}

// Starts are carried out late, also after their stops, at a target that may answer the other calls
// slowly. Their owner starts the tasks elsewhere once they can't run any more.
func TestLateStartsOfSlowTarget(t *testing.T) {
	for _, late := range []time.Duration{30 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond, 480 * time.Millisecond} {
		for _, stops := range slowStops {
			for _, d := range []callDelays{{}, {request: 50 * time.Millisecond}, {request: 150 * time.Millisecond}, {answer: 150 * time.Millisecond}} {
				for _, left := range []time.Duration{-1, 20 * time.Millisecond, 350 * time.Millisecond, 700 * time.Millisecond} {
					name := fmt.Sprintf("starts late by %v, %v, request %v, answer %v, caller leaves after %v", late, stops, d.request, d.answer, left)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						inBubble(t, func(s *virtualSite) {
							s.playLateStarts(late, stops, d, left)
							s.checkOverlaps()
						})
					})
				}
			}
		}
	}
}

// playLateStarts submits a job while starts at the first two targets are carried out late, for the
// first second. The caller leaves after a time, unless it is negative, and submits the job elsewhere.
func (s *virtualSite) playLateStarts(late time.Duration, stops stopFault, d callDelays, left time.Duration) {
	faulty := s.agents[:2]
	for _, a := range faulty {
		a.late.setDelays(d)
		a.target.setStops(stops)
	}
	wait.For(s.ctx, time.Second)
	for _, a := range faulty {
		a.target.setStartsLate(late)
	}
	ctx, leave := context.WithCancel(s.ctx)
	defer leave()
	go s.entries[0].run(ctx, virtualJob(true))
	prompt := func() {
		for _, a := range faulty {
			a.target.setStartsLate(0)
		}
	}
	events := []event{{0, func() {}}, {time.Second, prompt}}
	if left >= 0 {
		again := func() { go s.entries[1].run(s.ctx, virtualJob(true)) }
		events = append(events, event{left, leave}, event{left + s.bounds.resubmit, again})
	}
	s.play(playTime+time.Second, events...)
}
