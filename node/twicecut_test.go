package node

import (
	"fmt"
	"testing"
	"time"
)

// The way between a live owner and a gate is cut around the time after which the owner counts the
// gate's runs as over. The caller stays. Stops do not take.

// gateCuts are the directions in which the way to the second agent is cut.
var gateCuts = []struct {
	name string
	cut  func(p *path)
}{
	{"both ways", (*path).cut},
	{"to the gate", func(p *path) { p.toGate.shut() }},
	{"to the owner", func(p *path) { p.toOwner.shut() }},
}

// sweepGateCuts runs a test for each direction and length of the cut.
func sweepGateCuts(t *testing.T, test func(s *virtualSite, cut, heal event)) {
	t.Helper()
	const shortest, longest, step = 900 * time.Millisecond, 3100 * time.Millisecond, 200 * time.Millisecond
	for _, c := range gateCuts {
		for length := shortest; length <= longest; length += step {
			t.Run(fmt.Sprintf("%s, for %v", c.name, length), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(s *virtualSite) {
					p := s.entries[0].paths[1]
					test(s, event{0, func() { c.cut(p) }}, event{length, p.heal})
					// After a short cut the runs go on, and no task is started again.
					s.checkOverlaps()
				})
			})
		}
	}
}

// The gate goes on, and its target carries out no stops or late ones.
func TestGateCutOffFromLiveOwner(t *testing.T) {
	for _, after := range []time.Duration{0, 2500 * time.Millisecond} {
		t.Run(fmt.Sprintf("stops late by %v", after), func(t *testing.T) {
			sweepGateCuts(t, func(s *virtualSite, cut, heal event) {
				s.agents[1].target.setStops(stopFault{on: true, after: after})
				s.submitBestEffort()
				s.keepBusy()
				s.play(playTime, cut, heal)
			})
		})
	}
}

// The agent is killed or frozen during the cut, and is back before its end or after it.
func TestAgentLostBehindCut(t *testing.T) {
	for _, lost := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond} {
		for _, down := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
			for _, fault := range []string{"killed", "frozen"} {
				t.Run(fmt.Sprintf("%s at %v for %v", fault, lost, down), func(t *testing.T) {
					sweepGateCuts(t, func(s *virtualSite, cut, heal event) {
						a := s.agents[1]
						begin, end := a.kill, a.start
						if fault == "frozen" {
							begin, end = a.awake.shut, a.awake.open
						}
						a.target.setStops(stopFault{on: true})
						s.submitBestEffort()
						s.play(playTime, cut, heal, event{lost, begin}, event{lost + down, end})
					})
				})
			}
		}
	}
}
