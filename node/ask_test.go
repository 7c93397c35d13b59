package node

import (
	"testing"
	"time"

	"rackspur/job"
	"rackspur/owner"
	"rackspur/rowstore"
)

// A question for a job's state at another entry than its owner waits for an end that is
// being written, as one at the owner does. While the store takes no writes the end can't be
// written; the question must be held until it takes them again, and then say completed.
func TestStateAskedElsewhereWaits(t *testing.T) {
	c := newCluster(t, 2, 2, quickWork)
	// The owner may not know of the end yet as it is asked, so a job may prove nothing.
	const attempts = 20
	for i := range attempts {
		s := testJob(i+1, 1, false)
		c.until("a job is accepted", func() bool { return submit(c.entry(0), s) == owner.SubmitAccepted })
		if c.askedWhileEnding(s.ID) == job.StateCompleted {
			return
		}
	}
	t.Errorf("none of %d questions was held until the end was durable", attempts)
}

// askedWhileEnding asks entry 1 for the state of a job of entry 0 while its end can't be
// written. It returns "" if the answer came before it could be.
func (c *cluster) askedWhileEnding(id job.ID) job.State {
	c.store.SetFault(turnWritesAway)
	defer c.store.SetFault(nil)
	c.until("the task has ended", func() bool {
		spans := c.spans()[job.TaskName{Job: id}]
		return len(spans) > 0 && spans[0].End != 0
	})
	answer := make(chan job.State, 1)
	go func() { answer <- c.state(1, id) }()
	held := time.NewTimer(2 * endPatience)
	defer held.Stop()
	select {
	case <-answer:
		return ""
	case <-held.C:
	}
	c.store.SetFault(nil)
	return <-answer
}

// turnWritesAway lets only reads through.
func turnWritesAway(call rowstore.Call) rowstore.Fault {
	if call == rowstore.CallTransact {
		return rowstore.FaultRefuse
	}
	return rowstore.FaultNone
}
