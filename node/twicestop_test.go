package node

import (
	"fmt"
	"testing"
	"time"
)

// A job is dropped while its owner's link to a gate is disturbed, so that the stop of its run
// reaches the gate late; and then the stop does not take, or the agent is lost. The owner lives on,
// and its later frames must not extend the run.

// linkFault disturbs the link of the first owner to the second agent until it is ended.
type linkFault struct {
	name       string
	begin, end func(s *virtualSite)
}

var linkFaults = []linkFault{
	{"silent",
		func(s *virtualSite) { s.entries[0].linkTo(s.agents[1]).silence() },
		// The owner has found out and opens another link.
		func(s *virtualSite) { s.entries[0].linkTo(s.agents[1]).end() }},
	{"cut", func(s *virtualSite) { s.entries[0].paths[1].cut() }, func(s *virtualSite) { s.entries[0].paths[1].heal() }},
	{"cut to the gate", func(s *virtualSite) { s.entries[0].paths[1].toGate.shut() }, func(s *virtualSite) { s.entries[0].paths[1].toGate.open() }},
	{"cut to the owner", func(s *virtualSite) { s.entries[0].paths[1].toOwner.shut() }, func(s *virtualSite) { s.entries[0].paths[1].toOwner.open() }},
}

// sweepLinkFaults runs a test for link faults of different lengths that begin at different times
// before or after the caller leaves, which is time 0 of play. until is the end of the fault.
func sweepLinkFaults(t *testing.T, test func(s *virtualSite, disturb []event, until time.Duration)) {
	t.Helper()
	for _, f := range linkFaults {
		t.Run(f.name, func(t *testing.T) {
			for length := 50 * time.Millisecond; length <= 1200*time.Millisecond; length += 150 * time.Millisecond {
				for _, share := range []time.Duration{0, 50} {
					begin := -length * share / 100
					until := begin + length
					subtest(t, fmt.Sprintf("from %v to %v", begin, until), func(s *virtualSite) {
						test(s, []event{{begin, func() { f.begin(s) }}, {until, func() { f.end(s) }}}, until)
					})
				}
			}
		})
	}
}

// The stop reaches the gate late and does not take.
func TestLateStopThatDoesNotTake(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second} {
		t.Run(fmt.Sprintf("carried out after %v", after), func(t *testing.T) {
			sweepLinkFaults(t, func(s *virtualSite, disturb []event, _ time.Duration) {
				s.agents[1].target.setStops(stopFault{on: true, after: after})
				leave := s.submitBestEffort()
				s.play(playTime, append(disturb, event{0, leave})...)
			})
		})
	}
}

// The agent is lost or frozen right after the link has recovered.
func TestAgentLostAfterLateStop(t *testing.T) {
	for _, wait := range []time.Duration{2 * time.Millisecond, 50 * time.Millisecond} {
		t.Run(fmt.Sprintf("lost %v later", wait), func(t *testing.T) {
			sweepLinkFaults(t, func(s *virtualSite, disturb []event, until time.Duration) {
				leave := s.submitBestEffort()
				s.play(playTime, append(disturb, event{0, leave}, event{until + wait, s.agents[1].kill})...)
			})
		})
		t.Run(fmt.Sprintf("frozen %v later", wait), func(t *testing.T) {
			sweepLinkFaults(t, func(s *virtualSite, disturb []event, until time.Duration) {
				a := s.agents[1]
				leave := s.submitBestEffort()
				s.play(playTime, append(disturb, event{0, leave}, event{until + wait, a.awake.shut}, event{until + wait + 2*time.Second, a.awake.open})...)
			})
		})
	}
}
