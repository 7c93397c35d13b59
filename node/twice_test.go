package node

import (
	"fmt"
	"testing"
	"time"
)

// Two runs of one task must never be at work at one time on targets that are up. The
// tests of this file bring troubles together that each alone keep to the bounds, and go
// through the time between them. Times in comments count from the first trouble of the
// entry box that owns the job; its callers hand it in again elsewhere at 1.3 s.

// Bounds of the time between two troubles that tests go through.
const (
	leastOffset = -300 * time.Millisecond
	mostOffset  = 1600 * time.Millisecond
	offsetStep  = 50 * time.Millisecond
	// playTime is how long a site runs after the trouble: second runs are under way
	// by then, and first ones have ended that end at all before their work does.
	playTime = 4 * time.Second
)

// sweep runs a test with each time between two troubles.
func sweep(t *testing.T, test func(s *virtualSite, offset time.Duration)) {
	t.Helper()
	for offset := leastOffset; offset <= mostOffset; offset += offsetStep {
		subtest(t, offset.String(), func(s *virtualSite) { test(s, offset) })
	}
}

// subtest runs a part of a test in a bubble of its own and checks all runs.
func subtest(t *testing.T, name string, test func(s *virtualSite)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		inBubble(t, func(s *virtualSite) {
			test(s)
			s.checkOneAtATime()
		})
	})
}

// Symptom: a run goes on at a target whose agent is gone, beside the run that another
// owner has started for the same job.
//
// Sequence: the owner is lost at 0; an agent is lost some time later, before it has
// stopped that owner's runs.
//
// Cause: until it stops them, 1.0 s after the last word from their owner, the gate
// renews the lease of all runs to 1.0 s ahead. Lost just before, it leaves them 2.0 s.
func TestAgentLostAfterOwner(t *testing.T) {
	sweep(t, func(s *virtualSite, offset time.Duration) {
		s.handIn()
		s.play(playTime, event{0, s.entries[0].kill}, event{offset, s.agents[1].kill})
	})
}

// Symptom: as above, but the agent is back.
//
// Sequence: the owner is lost at 0; an agent is killed some time later and started
// again.
//
// Cause: the new process renews the lease with its first hold, and counts the runs
// that it finds as without an owner only from then on, for the longer time of jobs that
// are kept.
func TestAgentRestartedAfterOwner(t *testing.T) {
	for _, down := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(fmt.Sprintf("down for %v", down), func(t *testing.T) {
			sweep(t, func(s *virtualSite, offset time.Duration) {
				s.handIn()
				a := s.agents[1]
				s.play(playTime, event{0, s.entries[0].kill}, event{offset, a.kill}, event{offset + down, a.start})
			})
		})
	}
}

// Symptom: as above, with an agent that is frozen for a time.
//
// Sequence: the owner is lost at 0; an agent freezes some time later, before it has
// stopped that owner's runs.
//
// Cause: as in TestAgentLostAfterOwner, the lease that it gave last outlives the owner's
// contact.
func TestAgentFrozenAfterOwner(t *testing.T) {
	const frozen = 3 * time.Second
	sweep(t, func(s *virtualSite, offset time.Duration) {
		s.handIn()
		a := s.agents[1]
		s.play(offset+frozen+time.Second, event{0, s.entries[0].kill}, event{offset, a.awake.shut}, event{offset + frozen, a.awake.open})
	})
}

// Symptom: a run that was told to stop goes on.
//
// Sequence: from the start on one executor answers no stop and carries it out late or
// never; at 0 the owner is lost, or the only caller leaves.
//
// Cause: after the owner's loss the gate sends stops for 0.5 s before it leaves the
// lease to lapse, which takes 1.0 s more. A run that its owner has given up is never
// left to lapse: its owner is in contact.
func TestStopThatDoesNotTake(t *testing.T) {
	late := []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second}
	for _, after := range late {
		name := fmt.Sprintf("late by %v", after)
		if after == 0 {
			name = "never"
		}
		fault := stopFault{on: true, after: after}
		subtest(t, "owner lost, "+name, func(s *virtualSite) {
			s.agents[1].target.setStops(fault)
			s.handIn()
			s.play(playTime, event{0, s.entries[0].kill})
		})
		subtest(t, "caller leaves, "+name, func(s *virtualSite) {
			s.agents[1].target.setStops(fault)
			leave := s.handIn()
			s.play(playTime, event{0, leave})
		})
	}
}
