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

// longWork makes each task take longer than callers without an answer wait before they return.
func longWork(job.RunName) (time.Duration, gate.EndKind) {
	return 2500 * time.Millisecond, gate.EndDone
}

// longJob returns a job of two tasks with the duration of longWork.
func longJob(id int) job.Submission {
	s := testJob(id, 2, true)
	s.Steps[0].EstimateMS = 2500
	return s
}

// runAt runs a best-effort job at an entry box and returns a channel with the result.
func (c *cluster) runAt(ctx context.Context, entry int, s job.Submission) <-chan owner.BestEffortResult {
	result := make(chan owner.BestEffortResult, 1)
	go func() { result <- c.entry(entry).RunBestEffort(ctx, s) }()
	return result
}

// countRuns returns the number of runs of a job.
func (c *cluster) countRuns(id job.ID) int {
	n := 0
	for task, spans := range c.spans() {
		if task.Job == id {
			n += len(spans)
		}
	}
	return n
}

// Guards against two owners that run a job at the same time: the connection of the caller has
// broken without the first owner's knowledge, and the caller submits the job to another entry box.
func TestCallerLeftUnnoticed(t *testing.T) {
	c := newIdleCluster(t, 3, 3, longWork)
	s := longJob(1)
	first := c.runAt(context.Background(), 0, s)
	wait.For(context.Background(), defaultResubmitDelay)
	second := c.runAt(context.Background(), 1, s)
	if r := <-second; r.State != job.StateCompleted {
		t.Errorf("result %+v of the second submission, want completed", r)
	}
	<-first
	c.checkRuns(func(job.ID) bool { return false })
	if n := c.countRuns(s.ID); n != 2 {
		t.Errorf("%d runs, want one of each of 2 tasks", n)
	}
}

// As TestCallerLeftUnnoticed, with a first owner that has dropped the job and is stopping its runs.
func TestSubmittedElsewhereWhileRunsStop(t *testing.T) {
	c := newIdleCluster(t, 3, 3, longWork)
	s := longJob(1)
	ctx, leave := context.WithCancel(context.Background())
	first := c.runAt(ctx, 0, s)
	c.until("the job is announced", func() bool {
		_, ok := c.entry(1).elsewhere.find(time.Now(), s.ID)
		return ok
	})
	leave()
	if r := <-c.runAt(context.Background(), 1, s); r.State != job.StateCompleted {
		t.Errorf("result %+v of the second submission, want completed", r)
	}
	<-first
	c.checkRuns(func(job.ID) bool { return false })
}

// A job whose earlier owner is lost is run where it is submitted again.
func TestSubmittedAgainAfterOwnerLost(t *testing.T) {
	c := newIdleCluster(t, 3, 3, longWork)
	s := longJob(1)
	c.runAt(context.Background(), 0, s)
	c.until("the job is announced", func() bool {
		_, ok := c.entry(1).elsewhere.find(time.Now(), s.ID)
		return ok
	})
	c.entries[0].kill()
	<-c.entries[0].done
	wait.For(context.Background(), defaultResubmitDelay)
	if r := <-c.runAt(context.Background(), 1, s); r.State != job.StateCompleted {
		t.Errorf("result %+v of the second submission, want completed", r)
	}
	c.checkRuns(func(job.ID) bool { return false })
}

// A job that its earlier owner no longer has is run where it is submitted again.
func TestSubmittedAgainAfterRunsStopped(t *testing.T) {
	c := newIdleCluster(t, 3, 3, longWork)
	s := longJob(1)
	ctx, leave := context.WithCancel(context.Background())
	first := c.runAt(ctx, 0, s)
	c.until("the job is announced", func() bool {
		_, ok := c.entry(1).elsewhere.find(time.Now(), s.ID)
		return ok
	})
	leave()
	<-first
	wait.For(context.Background(), defaultResubmitDelay)
	if r := <-c.runAt(context.Background(), 1, s); r.State != job.StateCompleted {
		t.Errorf("result %+v of the second submission, want completed", r)
	}
	if _, ok := c.entry(1).elsewhere.find(time.Now(), s.ID); ok {
		t.Error("the earlier owner is still asked for a job that it does not have")
	}
	c.checkRuns(func(job.ID) bool { return false })
}
