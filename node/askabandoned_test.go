package node

import (
	"context"
	"testing"
	"time"

	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/peer/peerpb"
)

// Guards against callers that lose their answer because another call to the same box was given up
// by its own caller.
func TestAbandonedQuestionLeavesResumedJob(t *testing.T) {
	c := newIdleCluster(t, 2, 3, longWork)
	s := longJob(1)
	first := c.runAt(context.Background(), 0, s)
	c.until("the job is announced", func() bool {
		_, ok := c.entry(1).elsewhere.find(time.Now(), s.ID)
		return ok
	})
	second := c.runAt(context.Background(), 1, s)
	wait.For(context.Background(), 200*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = c.entry(1).ask(ctx, c.entry(0).Incarnation(), &peerpb.Question{Kind: peerpb.Question_STATE, Job: "00000000000000ff"})
	if r := <-second; r.State != job.StateCompleted {
		t.Errorf("result %+v of the resumed job, want completed", r)
	}
	<-first
}
