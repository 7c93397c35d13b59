package test

import (
	"net/http"
	"testing"

	"rackspur/api"
	"rackspur/caller"
	"rackspur/internal/standin"
)

// TestStopRolling stops and restarts every agent and entry box, one at a time, under
// load. No submission may fail.
func TestStopRolling(t *testing.T) {
	c := newCluster(t, shape{entries: 2, agents: 3, slots: 4})
	l := startLoad(c, 10, 3, 50)
	waitFor(t, "the load runs", func() bool { return l.sent.Load() > 20 })
	for _, a := range c.agents {
		a.stop()
		a.restart()
		for _, e := range c.entries {
			c.awaitLinks(e, len(c.agents))
		}
	}
	for _, e := range c.entries {
		e.stop()
		e.restart()
		c.awaitLinks(e, len(c.agents))
	}
	if wrong := l.stop(); len(wrong) > 0 {
		t.Errorf("%d of %d submissions failed: %s", len(wrong), l.sent.Load(), wrong[0])
	}
	t.Logf("%d submissions sent", l.sent.Load())
	c.checkNoDoubles()
}

// TestStopInFlight stops a home, another agent or an entry box while a job with waiting
// tasks runs. The job must complete over the same request.
func TestStopInFlight(t *testing.T) {
	cases := []struct {
		name string
		stop func(c *cluster, home int) *node
	}{
		{"1 home", func(c *cluster, home int) *node { return c.agents[home] }},
		{"2 another agent", func(c *cluster, home int) *node { return c.agents[(home+1)%3] }},
		{"3 entry box", func(c *cluster, _ int) *node { return c.entries[0] }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, shape{entries: 2, agents: 3, slots: 4})
			client := c.client(tokenA, 0)
			id := c.id(client)
			job := newJob(t, "reshuffle", 60, 100)
			got := make(chan *caller.Reply, 1)
			go func() {
				r, _ := client.Submit(c.context(), id, job)
				got <- r
			}()
			c.awaitStarts(job, 12)
			tc.stop(c, c.homeOf(id)).stop()
			r := <-got
			if r == nil {
				t.Fatal("no answer")
			}
			checkComplete(t, job, r)
			if client.Resubmits.Load() > 0 {
				t.Errorf("the caller had to send the request again")
			}
			c.checkOnce(job)
		})
	}
}

// TestStopKeepsAnswers stops a home. Any entry box must then answer for its ids: with
// the stored answer, or "not-run" for an id that was never used.
func TestStopKeepsAnswers(t *testing.T) {
	cases := []struct {
		name string
		down bool
	}{{"1 store up", false}, {"2 store down while it leaves", true}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, shape{entries: 2, agents: 2, slots: 4})
			client := c.client(tokenA, 0)
			done := c.id(client)
			unseen := done
			for unseen == done || c.homeOf(unseen) != c.homeOf(done) {
				unseen = c.id(client)
			}
			job := newJob(t, "swap", 3, 50)
			if _, err := client.Submit(c.context(), done, job); err != nil {
				t.Fatal(err)
			}
			c.platformFaults(standin.PlatformFaults{Down: tc.down})
			home := c.agents[c.homeOf(done)]
			home.stop()
			for i := range c.entries {
				checkLeftHome(t, c, i, done, unseen, job)
			}
			// After the restart a new incarnation serves the address.
			home.restart()
			c.platformFaults(standin.PlatformFaults{})
			for i, e := range c.entries {
				c.awaitLinks(e, 2)
				checkLeftHome(t, c, i, done, unseen, job)
			}
			other := c.client(tokenB, 0)
			r, err := other.Call(c.context(), http.MethodGet, done, nil)
			if err != nil || r.Status != http.StatusNotFound {
				t.Errorf("another member asks for an id of a home that left: %v %+v", err, r)
			}
			c.checkOnce(job)
		})
	}
}

func checkLeftHome(t *testing.T, c *cluster, entry int, done, unseen string, job *api.Job) {
	t.Helper()
	client := c.client(tokenA, entry)
	r, err := client.Call(c.context(), http.MethodPut, done, mustJSON(t, job))
	if err != nil {
		t.Fatal(err)
	}
	checkComplete(t, job, r)
	r, err = client.Call(c.context(), http.MethodPut, unseen, mustJSON(t, newJob(t, "swap", 1, 10)))
	if err != nil || r.Outcome() != api.NotRun {
		t.Errorf("an unused id of a home that left: %v %+v", err, r)
	}
}
