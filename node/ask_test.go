package node

import (
	"testing"
	"time"

	"rackspur/job"
	"rackspur/owner"
	"rackspur/rowstore"
)

// A state query at an entry box that does not own the job must wait for an end that is
// being written, as a query at the owner does.
func TestStateAskedElsewhereWaits(t *testing.T) {
	c := newCluster(t, 2, 2, quickWork)
	// An attempt is inconclusive if the owner does not know of the end yet.
	const attempts = 20
	for i := range attempts {
		s := testJob(i+1, 1, false)
		c.until("the job is accepted", func() bool { return submit(c.entry(0), s) == owner.SubmitAccepted })
		if c.stateWhileEnding(s.ID) == job.StateCompleted {
			return
		}
	}
	t.Errorf("none of %d queries waited until the end was durable", attempts)
}

// stateWhileEnding queries entry 1 for the state of a job of entry 0 whose end can't be
// written yet. It returns "" if the answer came before the end could be written.
func (c *cluster) stateWhileEnding(id job.ID) job.State {
	c.store.SetFault(refuseWrites)
	defer c.store.SetFault(nil)
	c.until("the task has ended", func() bool {
		spans := c.spans()[job.TaskName{Job: id}]
		return len(spans) > 0 && spans[0].End != 0
	})
	answer := make(chan job.State, 1)
	go func() { answer <- c.state(1, id) }()
	held := time.NewTimer(2 * endWait)
	defer held.Stop()
	select {
	case <-answer:
		return ""
	case <-held.C:
	}
	c.store.SetFault(nil)
	return <-answer
}

// refuseWrites is a store fault that refuses all transactions.
func refuseWrites(call rowstore.Call) rowstore.Fault {
	if call == rowstore.CallTransact {
		return rowstore.FaultRefuse
	}
	return rowstore.FaultNone
}
