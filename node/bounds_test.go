package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/observe"
)

// The platform's settings give upper bounds of times, which limit the system's own leases
// and timeouts but must not replace them. The tests of this file use deployments with
// widely different bounds.

// virtualBounds are the time bounds in the settings of a virtual site.
type virtualBounds struct {
	// maxHold is the longest lease that a target grants.
	maxHold time.Duration
	// resubmit is how long after a lost answer callers resubmit a job.
	resubmit time.Duration
	// evacuate is how long after an evacuation tasks may still start in the domain.
	evacuate time.Duration
	// keepFinished is how long the state of an ended job is retained.
	keepFinished time.Duration
	// idOnly: targets do not report their start, so that only their id tells incarnations apart,
	// and restarted agents learn the id from a heartbeat.
	idOnly bool
}

// defaultBounds are the bounds of most deployments.
var defaultBounds = virtualBounds{maxHold: time.Second, resubmit: 1300 * time.Millisecond, evacuate: 5 * time.Second, keepFinished: time.Minute}

// options returns the options of a box under the bounds.
func (b virtualBounds) options(node string) Options {
	return Options{
		Node: node, Parts: 1, MaxLease: b.maxHold, ResubmitDelay: b.resubmit, EvacuationBound: b.evacuate, KeepFinished: b.keepFinished,
		Metrics: observe.NewMetrics(), Log: logr.Discard(),
	}
}

// randomBounds returns random bounds for a seed, from the shortest supported ones to more
// than ten times the longest of any deployment.
func randomBounds(seed uint64) virtualBounds {
	random := rand.New(rand.NewPCG(seed, 0))
	pick := func(of ...time.Duration) time.Duration { return of[random.IntN(len(of))] }
	return virtualBounds{
		maxHold:      pick(300*time.Millisecond, time.Second, 3*time.Second, 15*time.Second, 5*time.Minute),
		resubmit:     pick(LeastResubmit, 1300*time.Millisecond, 4*time.Second),
		evacuate:     pick(2500*time.Millisecond, 5*time.Second, time.Minute),
		keepFinished: pick(time.Second, 2*time.Minute, time.Hour),
	}
}

// The platform's limit on leases must not be taken for the length of our own: a restarted
// gate, a restarted target and the replacement of lost runs would then wait as long as
// that limit.
func TestLongLeasesOfThePlatform(t *testing.T) {
	for _, maxHold := range []time.Duration{300 * time.Millisecond, time.Second, 15 * time.Second, 5 * time.Minute} {
		bounds := defaultBounds
		bounds.maxHold = maxHold
		t.Run(maxHold.String(), func(t *testing.T) {
			t.Run("work starts", func(t *testing.T) {
				inBubbleWith(t, bounds, func(s *virtualSite) { s.submitBestEffort() })
			})
			t.Run("gate opens after a restart", func(t *testing.T) {
				inBubbleWith(t, bounds, func(s *virtualSite) {
					s.submitBestEffort()
					s.play(time.Second, event{0, s.agents[0].kill}, event{500 * time.Millisecond, s.agents[0].start})
					s.checkOpens(500 * time.Millisecond)
				})
			})
			t.Run("gate opens for a new life", func(t *testing.T) {
				inBubbleWith(t, bounds, func(s *virtualSite) {
					s.submitBestEffort()
					x := s.agents[0].target
					again := func() { x.begin(x.newest().Restarted()) }
					s.play(time.Second, event{0, func() { x.crash(false) }}, event{500 * time.Millisecond, again})
					s.checkOpens(500 * time.Millisecond)
				})
			})
			t.Run("lost runs are replaced", func(t *testing.T) {
				inBubbleWith(t, bounds, func(s *virtualSite) {
					s.submitBestEffort()
					lost := s.agents[1]
					s.play(lostRunTime, event{0, lost.kill}, event{0, func() { lost.target.crash(true) }})
					s.checkReplaced(lost)
				})
			})
		})
	}
}

const (
	// openTime is how long after the loss of its process or its target a gate may take to
	// open again.
	openTime = 2 * time.Second
	// lostRunTime is how long an owner may take to replace a run that was lost with its
	// target and its gate: the contact timeout, a lease, and a margin for the slowest clock.
	lostRunTime = 3 * time.Second
)

// checkOpens checks that all gates are open openTime after the first fault, of which
// passed has elapsed already.
func (s *virtualSite) checkOpens(passed time.Duration) {
	s.t.Helper()
	wait.For(s.ctx, openTime-passed)
	for _, a := range s.agents {
		const asker = "asker~1"
		d := a.running().driver
		if !d.Connect(asker, 1, func() {}) {
			s.t.Errorf("%s accepts no link", a.name)
			continue
		}
		if f, _ := d.Flush(asker, 1); !f.Report.Open {
			s.t.Errorf("the gate of %s is closed", a.name)
		}
	}
}

// checkReplaced checks that each run of the lost agent's target was replaced elsewhere.
func (s *virtualSite) checkReplaced(lost *agentBox) {
	s.t.Helper()
	all := s.spans()
	for _, x := range all {
		if x.target != lost.name {
			continue
		}
		replaced := false
		for _, y := range all {
			replaced = replaced || y.target != lost.name && y.Name.TaskName == x.Name.TaskName
		}
		if !replaced {
			s.t.Errorf("%s, and was not replaced %v after its target was lost", s.describe(x), lostRunTime)
		}
	}
}
