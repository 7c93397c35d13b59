package node

import (
	"context"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
)

// As TestCallerLeftUnnoticed, with a second entry box that was restarted after the job was announced
// and is handed the job as soon as it is ready.
func TestCallerReturnsToRestartedEntry(t *testing.T) {
	c := newIdleCluster(t, 3, 3, func(n job.RunName) (time.Duration, gate.EndKind) { return 6 * time.Second, gate.EndDone })
	s := longJob(1)
	s.Steps[0].EstimateMS = 6000
	first := c.runAt(context.Background(), 0, s)
	wait.For(context.Background(), defaultResubmitDelay)
	began := time.Now()
	c.restartEntry(1)
	c.until("the entry box is ready", func() bool { return c.entry(1).Ready() })
	t.Logf("ready after %v", time.Since(began))
	if r := c.returning(1, s); r.State != job.StateCompleted {
		t.Errorf(checkMark+"result %+v of the second submission, want completed", r)
	}
	<-first
	c.checkListed()
}

// As TestOwnerRestartedBeforeCallerReturns, with a caller that returns to the restarted box itself.
func TestCallerReturnsToRestartedOwner(t *testing.T) {
	c := newIdleCluster(t, 3, 3, longWork)
	s := longJob(1)
	c.runAt(context.Background(), 0, s)
	wait.For(context.Background(), defaultResubmitDelay)
	c.restartEntry(0)
	c.until("the entry box is ready", func() bool { return c.entry(0).Ready() })
	if r := c.returning(0, s); r.State != job.StateCompleted {
		t.Errorf(checkMark+"result %+v of the second submission, want completed", r)
	}
	c.checkListed()
}

// checkMark precedes the message of a check that KNOWN-RED.txt may list; see test/knownred.
const checkMark = "check failed: "

// checkListed is checkRuns for tests that are listed in KNOWN-RED.txt.
func (c *cluster) checkListed() {
	c.t.Helper()
	for task, spans := range c.spans() {
		for i := 1; i < len(spans); i++ {
			if before, now := spans[i-1], spans[i]; before.End == 0 || now.Started.Before(before.Ended) {
				c.t.Errorf(checkMark+"two runs of %v at the same time: %+v and %+v", task, before, now)
			}
		}
	}
}
