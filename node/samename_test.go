package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rackspur/internal/wait"
)

// The runs of two owners of a best-effort job have the same names, as have those of one owner that
// takes the job in again. The tests of this file let a caller go from the first entry box to the
// second one and back while an agent is restarted or cut off, or its target carries out no stops.

// goRound submits a job to the first, the second and the first entry box, the last time for good,
// and returns when its tasks run. The caller leaves the first box once leave is called and the
// second one some time after it has submitted the job there.
func (s *virtualSite) goRound(stay time.Duration) (leave context.CancelFunc) {
	s.t.Helper()
	j := virtualJob(true)
	ctx, leave := context.WithCancel(s.ctx)
	go func() {
		if s.entries[0].run(ctx, j) {
			return
		}
		wait.For(s.ctx, s.bounds.resubmit)
		ctx, cancel := context.WithTimeout(s.ctx, stay)
		defer cancel()
		if s.entries[1].run(ctx, j) {
			return
		}
		wait.For(s.ctx, s.bounds.resubmit)
		s.entries[0].run(s.ctx, j)
	}()
	s.awaitRuns()
	return leave
}

// stays are how long the caller waits at the second entry box.
var stays = []time.Duration{2 * time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond}

// An agent is restarted before, between or after the submissions. Its new process finds runs whose
// names two owners know.
func TestFoundRunOfTwoOwners(t *testing.T) {
	for _, stay := range stays {
		for _, down := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprintf("stays %v, down for %v", stay, down), func(t *testing.T) {
				sweepFrom(t, -400*time.Millisecond, 3400*time.Millisecond, func(s *virtualSite, offset time.Duration) {
					leave := s.goRound(stay)
					a := s.agents[1]
					s.play(playTime+stay, event{0, leave}, event{offset, a.kill}, event{offset + down, a.start})
				})
			})
		}
	}
}

// As TestFoundRunOfTwoOwners, with a target that carries out no stops, or seconds late.
func TestFoundRunOfTwoOwnersThatDoesNotStop(t *testing.T) {
	for _, after := range []time.Duration{0, 700 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprintf("stops late by %v", after), func(t *testing.T) {
			sweepFrom(t, -400*time.Millisecond, 3400*time.Millisecond, func(s *virtualSite, offset time.Duration) {
				a := s.agents[1]
				a.target.setStops(stopFault{on: true, after: after})
				leave := s.goRound(100 * time.Millisecond)
				s.play(playTime, event{0, leave}, event{offset, a.kill}, event{offset + 100*time.Millisecond, a.start})
			})
		})
	}
}

// The first entry box is cut off from an agent, whose runs it hears of again at any time around its
// second submission.
func TestRunsOfOwnerThatTakesJobAgain(t *testing.T) {
	for _, length := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprintf("cut for %v", length), func(t *testing.T) {
			sweepFrom(t, -400*time.Millisecond, 3400*time.Millisecond, func(s *virtualSite, offset time.Duration) {
				leave := s.goRound(2 * time.Millisecond)
				p := s.entries[0].paths[1]
				s.play(playTime, event{0, leave}, event{offset, p.cut}, event{offset + length, p.heal})
			})
		})
	}
}
