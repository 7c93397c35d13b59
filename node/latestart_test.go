package node

import (
	"context"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/owner"
)

// lateTask is the run time of tasks in these tests; lateSettle is how long a job may take.
const (
	lateTask   = 30 * time.Millisecond
	lateSettle = 700 * time.Millisecond
)

// An unanswered start may be carried out seconds later by a restarted target that has not
// seen a higher fencing token, so that a task of a durable job runs again after its end was
// noted. The gate can't prevent this before its first call to the restarted target; this
// test bounds the time until that call.
func TestNewerLifeIsCalledAtOnce(t *testing.T) {
	tests := []struct {
		name string
		// dark says that calls to a crashed target hang instead of being refused.
		dark bool
		// within is the maximum time from the target's restart to the first call. One perTime-th
		// of its down time is added, since a target that is down longer is polled less often.
		within  time.Duration
		perTime time.Duration
	}{
		{name: "refused", within: 30 * time.Millisecond, perTime: 10},
		{name: "silent", dark: true, within: 60 * time.Millisecond, perTime: 4},
	}
	const step, longest = 13 * time.Millisecond, 800 * time.Millisecond
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			late := 0
			for down := time.Duration(0); down < longest; down += step {
				inBubble(t, func(s *virtualSite) { late += s.lateStarts(down, test.dark, test.within+down/test.perTime) })
			}
			if late > 0 {
				t.Errorf("%d of %d late starts carried out %v and more after the target's restart, want none", late, int(longest/step)+1, test.within)
			}
		})
	}
}

// lateStarts lets a task of a durable job start at the second try and end, crashes its
// target, and carries out the first try some time after the target's restart. It returns
// how often the task was started again.
func (s *virtualSite) lateStarts(down time.Duration, dark bool, after time.Duration) (again int) {
	for _, a := range s.agents {
		a.target.newest().Work = func(job.RunName) (time.Duration, gate.EndKind) { return lateTask, gate.EndDone }
		a.target.withholdFirstTries()
	}
	s.entries[0].owner.Submit(testJob(1, 1, false), func(owner.SubmitResult) {})
	wait.For(s.ctx, lateSettle)
	before := len(s.spans())
	for _, a := range s.agents {
		for _, late := range a.target.withheldTries() {
			a.target.crash(dark)
			wait.For(s.ctx, down)
			next := a.target.newest().Restarted()
			next.Work = func(job.RunName) (time.Duration, gate.EndKind) { return lateTask, gate.EndDone }
			a.target.begin(next)
			wait.For(s.ctx, after)
			_, _ = next.Start(context.Background(), late.life, late.call)
		}
	}
	wait.For(s.ctx, lateSettle)
	if before != 1 {
		s.t.Fatalf("%d runs before the crash, want 1", before)
	}
	return len(s.spans()) - before
}
