package node

import (
	"context"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
)

// The caller of a best-effort job leaves while the frames of its owner are held on their way to
// the gates, and submits the job again to the same entry box. The gate then gets two starts of
// the same name. The rejection of the first one, which is stale, must not be taken for that of
// the second one.
func TestResubmittedToSameOwner(t *testing.T) {
	const (
		submitted = 10 * time.Millisecond
		left      = 100 * time.Millisecond
		// Another job keeps all targets but that of agent-1 busy until both starts were sent to
		// agent-1. A replacement is then placed elsewhere.
		otherBegins = -time.Second
		otherEnds   = 1420 * time.Millisecond
	)
	// Frames are held until the job was submitted again, but not so long that the gate turns the
	// second start away too.
	play := func(s *virtualSite, offset time.Duration) {
		work := func(n job.RunName) (time.Duration, gate.EndKind) {
			switch {
			case n.Job == testJob(1, 1, true).ID:
				return taskTime, gate.EndDone
			case n.Index%len(s.agents) != 0:
				return otherEnds - otherBegins, gate.EndDone
			}
			return submitted, gate.EndDone
		}
		for _, a := range s.agents {
			a.target.newest().Work = work
		}
		other := func() { go s.entries[1].run(s.ctx, testJob(2, 6, true)) }
		e := s.entries[0]
		j := testJob(1, 1, true)
		j.Steps[0].EstimateMS = int(taskTime.Milliseconds())
		ctx, leave := context.WithCancel(s.ctx)
		submit := func() {
			go func() {
				e.run(ctx, j)
				wait.For(s.ctx, s.bounds.resubmit)
				e.run(s.ctx, j)
			}()
		}
		cut := func() {
			for _, p := range e.paths {
				p.toGate.shut()
			}
		}
		s.play(playTime, event{otherBegins, other}, event{0, cut}, event{submitted, submit}, event{left, leave}, event{left + s.bounds.resubmit + offset, e.heal})
	}
	for offset := 50 * time.Millisecond; offset <= 800*time.Millisecond; offset += offsetStep {
		checkedSubtest(t, offset.String(), func(s *virtualSite) { play(s, offset) }, (*virtualSite).checkRunsOnce)
	}
}

// checkRunsOnce checks that the task of the first job has one run, which is active.
func (s *virtualSite) checkRunsOnce() {
	s.t.Helper()
	s.checkOverlaps()
	active := 0
	for _, x := range s.spans() {
		if x.Name.Job == testJob(1, 1, true).ID && x.End == 0 {
			active++
		}
	}
	if active != 1 {
		s.t.Errorf("%d runs of the job are active at the end, want 1", active)
	}
}
