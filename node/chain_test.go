package node

import (
	"context"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/member"
	"rackspur/rowstore"
)

// rowExists reports whether the row of an incarnation is in the store.
func (c *cluster) rowExists(incarnation string) bool {
	key := member.LifeKey(incarnation, c.options("").Parts)
	_, ok, err := rowstore.ReadOne(context.Background(), c.store, key)
	return err == nil && ok
}

// The row of an ended incarnation must stay until every gate has reported its runs, or they
// have ended. Otherwise, if the owner that takes over its jobs is lost too, the next one
// does not ask for these runs and starts others in parallel.
func TestLifeStandsUntilGatesHaveTold(t *testing.T) {
	c := newCluster(t, 2, 1, func(job.RunName) (time.Duration, gate.EndKind) { return 5 * time.Second, gate.EndDone })
	submit(c.entry(0), testJob(1, 1, false))
	c.until("it runs", func() bool { return len(c.spans()) == 1 })
	first := c.entry(0).Incarnation()
	c.mu.Lock()
	c.agents[0].kill()
	c.entries[0].kill()
	c.mu.Unlock()
	taker := c.entry(1).current.Load().owner
	c.until("the other takes over", taker.Adopting)
	began := time.Now()
	for taker.Adopting() {
		if !c.rowExists(first) && taker.Adopting() {
			t.Fatalf("the row was deleted %v after the jobs were read, before a gate has reported its runs", time.Since(began))
		}
		wait.For(context.Background(), 5*time.Millisecond)
	}
}
