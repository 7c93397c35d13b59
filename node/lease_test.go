package node

import (
	"context"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/member"
	"rackspur/owner"
	"rackspur/rowstore"
)

// leases returns the number of incarnations in the store.
func (c *cluster) leases() int {
	rows, err := rowstore.ScanAll(context.Background(), c.store, "lives", []string{"lives-0", "lives-1"})
	if err != nil {
		c.t.Fatal(err)
	}
	return len(rows)
}

// Best-effort jobs need no lease. The first durable job makes its owner acquire one, and
// the other entry boxes too, since they may have to take over.
func TestLifeBeginsWithNeed(t *testing.T) {
	c := newIdleCluster(t, 3, 2, quickWork)
	if r := c.entry(0).RunBestEffort(context.Background(), testJob(1, 4, true)); r.State != job.StateCompleted {
		t.Fatalf("best effort: %+v", r)
	}
	if n := c.leases(); n != 0 {
		t.Fatalf("%d leases without a durable job, want none", n)
	}
	if r := submit(c.entry(0), testJob(2, 2, false)); r != owner.SubmitAccepted {
		t.Fatalf("first durable job: %v", r)
	}
	c.until("all entry boxes have leases", func() bool { return c.leases() == 3 })
	c.until("completed", func() bool { return c.state(1, testJob(2, 2, false).ID) == job.StateCompleted })
}

// While the store is unavailable, the first durable job is refused at once.
func TestFirstKeptJobInOutage(t *testing.T) {
	c := newIdleCluster(t, 1, 1, quickWork)
	c.store.SetFault(func(rowstore.Call) rowstore.Fault { return rowstore.FaultRefuse })
	sent := time.Now()
	if r := submit(c.entry(0), testJob(1, 1, false)); r != owner.SubmitRefused {
		t.Errorf("result %v, want refused", r)
	}
	if took := time.Since(sent); took > time.Second {
		t.Errorf("refused after %v", took)
	}
	c.store.SetFault(nil)
	c.until("durable jobs are accepted", func() bool { return submit(c.entry(0), testJob(2, 1, false)) == owner.SubmitAccepted })
}

// If a box is lost right after it has accepted the first durable job, a box that had no
// lease until then takes the job over.
func TestFirstKeptJobIsTakenOver(t *testing.T) {
	c := newIdleCluster(t, 2, 2, quickWork)
	s := testJob(1, 4, false)
	// The job may be refused at first: on a busy box its owner may take longer than leaseWait
	// to acquire the lease.
	c.until("the first durable job is accepted", func() bool { return submit(c.entry(0), s) == owner.SubmitAccepted })
	c.mu.Lock()
	c.entries[0].kill()
	c.mu.Unlock()
	c.until("the job is completed at the other box", func() bool { return c.state(1, s.ID) == job.StateCompleted })
	c.checkRuns(allDurable)
}

// waitIdle gives boxes time for writes that they should not make.
func waitIdle() { wait.For(context.Background(), 2*member.RenewInterval) }

// A deployment without durable jobs does not write to the store.
func TestIdleEntriesDoNotWrite(t *testing.T) {
	c := newIdleCluster(t, 3, 2, quickWork)
	waitIdle()
	writes := 0
	c.store.SetFault(func(call rowstore.Call) rowstore.Fault {
		if call == rowstore.CallTransact {
			writes++
		}
		return rowstore.FaultNone
	})
	waitIdle()
	c.store.SetFault(nil)
	if writes != 0 {
		t.Errorf("%d writes in %v without any job", writes, 2*member.RenewInterval)
	}
}

// Ends of runs whose jobs are unknown must be resolved even without durable jobs: a gate
// that waits for this too long lets its target's lease lapse.
func TestForeignEndsWithoutLife(t *testing.T) {
	c := newIdleCluster(t, 1, 1, func(job.RunName) (time.Duration, gate.EndKind) { return 200 * time.Millisecond, gate.EndDone })
	go c.entry(0).RunBestEffort(context.Background(), testJob(1, 3, true))
	c.until("it runs", func() bool { return len(c.spans()) == 3 })
	c.restartEntry(0)
	c.restartAgent(0)
	driver := c.agents[0].box.driver
	c.until("the ends are noted", func() bool {
		if driver.Lapsing() {
			t.Fatal("the gate lets the lease lapse")
		}
		for _, spans := range c.spans() {
			if !spans[0].Noted {
				return false
			}
		}
		return true
	})
}
