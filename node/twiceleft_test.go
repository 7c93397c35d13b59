package node

import (
	"fmt"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/internal/wait"
)

// A target deregisters while it has runs, and its process goes on for some time. Its word that it
// ends does not end its runs.

// wordLives are the times that a target's process goes on after its word.
var wordLives = []time.Duration{0, 3 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond}

// withoutBorn replaces the target by one that does not tell when it began, which takes a new id
// with each start, and waits until it may start runs.
func (b *agentBox) withoutBorn() {
	old := b.target.newest()
	b.target.crash(false)
	next := standin.NewExecutor("second-"+old.Life, old.Capacity, old.Work)
	next.MaxHold = old.MaxHold
	next.Born = 0
	b.target.begin(next)
	wait.For(b.site.ctx, 2*time.Second)
}

// deregister passes on the target's deregistration, and ends its process some time later.
func (b *agentBox) deregister(lives time.Duration) {
	e := b.target.newest()
	go b.running().driver.Deregister(gate.Incarnation{ID: e.Life, Born: e.Born})
	time.AfterFunc(lives, func() { b.target.crash(false) })
}

// sweepLeft runs a test for a target that goes on for each of wordLives after its word, with and
// without the time at which it began.
func sweepLeft(t *testing.T, test func(s *virtualSite, lives time.Duration)) {
	t.Helper()
	for _, born := range []bool{false, true} {
		for _, lives := range wordLives {
			subtest(t, fmt.Sprintf("born %v, goes on for %v", born, lives), func(s *virtualSite) {
				if !born {
					s.agents[1].withoutBorn()
				}
				test(s, lives)
			})
		}
	}
}

// Guards against runs of a target that has deregistered, which are replaced while it is up.
func TestDeregisteredTargetGoesOn(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second} {
		t.Run("stops late by "+after.String(), func(t *testing.T) {
			sweepLeft(t, func(s *virtualSite, lives time.Duration) {
				s.agents[1].target.setStops(stopFault{on: true, after: after})
				s.submitBestEffort()
				s.play(playTime, event{0, func() { s.agents[1].deregister(lives) }})
			})
		})
	}
	t.Run("stops carried out", func(t *testing.T) {
		sweepLeft(t, func(s *virtualSite, lives time.Duration) {
			s.submitBestEffort()
			s.play(playTime, event{0, func() { s.agents[1].deregister(lives) }})
		})
	})
}

// As TestDeregisteredTargetGoesOn, with an agent that is lost or frozen right after the word, so
// that the target may not get its answer.
func TestAgentLostAfterDeregistration(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Millisecond, 50 * time.Millisecond} {
		t.Run(fmt.Sprintf("killed %v later", after), func(t *testing.T) {
			sweepLeft(t, func(s *virtualSite, lives time.Duration) {
				s.submitBestEffort()
				a := s.agents[1]
				s.play(playTime, event{0, func() { a.deregister(lives) }}, event{after, a.kill})
			})
		})
		t.Run(fmt.Sprintf("killed %v later and started again", after), func(t *testing.T) {
			sweepLeft(t, func(s *virtualSite, lives time.Duration) {
				s.submitBestEffort()
				a := s.agents[1]
				s.play(playTime, event{0, func() { a.deregister(lives) }}, event{after, a.kill}, event{after + 300*time.Millisecond, a.start})
			})
		})
		t.Run(fmt.Sprintf("frozen %v later", after), func(t *testing.T) {
			sweepLeft(t, func(s *virtualSite, lives time.Duration) {
				s.submitBestEffort()
				a := s.agents[1]
				s.play(playTime, event{0, func() { a.deregister(lives) }}, event{after, a.awake.shut}, event{after + 2*time.Second, a.awake.open})
			})
		})
	}
}

// A target that ends with its word, or soon after it, loses little time for its runs: they are
// replaced as soon as a refused call shows that the process has ended.
func TestRunsOfDeregisteredTargetAreReplacedSoon(t *testing.T) {
	const within = 30 * time.Millisecond
	for lives := time.Duration(0); lives <= 20*time.Millisecond; lives += time.Millisecond {
		subtest(t, fmt.Sprintf("goes on for %v", lives), func(s *virtualSite) {
			a := s.agents[1]
			a.withoutBorn()
			// The target ends before it carries out stops.
			a.target.setStops(stopFault{on: true})
			s.submitBestEffort()
			s.play(time.Second, event{0, func() { a.deregister(lives) }})
			if late := s.replacedAfter(a); late > lives+within {
				s.t.Errorf("runs were replaced %v after the word, want at most %v after the end of the target", late, within)
			}
		})
	}
}

// replacedAfter returns when the last run of a lost target was replaced, from the first fault on.
func (s *virtualSite) replacedAfter(lost *agentBox) time.Duration {
	s.t.Helper()
	s.checkReplaced(lost)
	var last time.Duration
	for _, x := range s.spans() {
		last = max(last, x.Started.Sub(s.trouble))
	}
	return last
}

// A heartbeat of another target arrives while the runs of a deregistered one wait for lists. It
// may be a late one, and the process of the deregistered target may go on.
func TestOtherHeartbeatAfterDeregistration(t *testing.T) {
	for _, born := range []bool{false, true} {
		for _, after := range []time.Duration{5 * time.Millisecond, 110 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
			for _, dark := range []bool{false, true} {
				name := fmt.Sprintf("born %v, heartbeat after %v, calls hang %v", born, after, dark)
				subtest(t, name, func(s *virtualSite) {
					a := s.agents[1]
					if !born {
						a.withoutBorn()
					}
					a.target.setStops(stopFault{on: true})
					s.submitBestEffort()
					e := a.target.newest()
					other := gate.Heartbeat{Incarnation: gate.Incarnation{ID: "other", Born: e.Born / 2}, Service: testService, Capacity: e.Capacity, ClockMS: 1, Sequence: 1}
					if dark {
						a.late.setDelays(callDelays{request: 600 * time.Millisecond})
						time.AfterFunc(500*time.Millisecond, func() { a.late.setDelays(callDelays{}) })
					}
					s.play(playTime, event{0, func() { a.deregister(1500 * time.Millisecond) }},
						event{after, func() { a.running().driver.Heartbeat(other) }})
				})
			}
		}
	}
}
