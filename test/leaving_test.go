package test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rackspur/api"
	"rackspur/caller"
	"rackspur/internal/standin"
	"rackspur/store"
)

// leavingBound is the longest time from the cause to the last start at a leaving target.
const leavingBound = 5 * time.Second

// steadyLoad sends jobs from several callers until stop is called, which returns a
// description of each submission that was not answered completely.
type steadyLoad struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	wrong  []string
	sent   atomic.Int64
}

func startLoad(c *cluster, callers, tasks, ms int) *steadyLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &steadyLoad{cancel: cancel}
	for i := range callers {
		client := c.client(tokenA, i)
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for ctx.Err() == nil {
				l.one(c, ctx, client, newJob(c.t, "swap", tasks, ms))
			}
		}()
	}
	return l
}

func (l *steadyLoad) one(c *cluster, ctx context.Context, client *caller.Client, job *api.Job) {
	ids, _, err := client.IDs(ctx, 1)
	if err != nil || len(ids) == 0 {
		return
	}
	l.sent.Add(1)
	// c.context, not ctx: a submission in progress continues when the load stops.
	reply, err := client.Submit(c.context(), ids[0], job)
	for err == nil && reply.Outcome() == api.NotRun {
		// The job did not run: retry under a fresh id.
		fresh, _, idErr := client.IDs(c.context(), 1)
		if idErr != nil || len(fresh) == 0 {
			return
		}
		reply, err = client.Submit(c.context(), fresh[0], job)
	}
	wrong := ""
	switch {
	case err != nil:
		wrong = err.Error()
	case reply.Answer == nil:
		wrong = string(reply.Problem.Outcome) + " " + reply.Problem.Reason + " " + reply.Problem.Detail
	default:
		wrong = answerProblem(job, reply.Answer)
	}
	if wrong != "" {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.wrong = append(l.wrong, wrong)
	}
}

func (l *steadyLoad) stop() []string {
	l.cancel()
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wrong
}

// TestLeaving makes a target leave in each possible way, under load, and checks the
// time from the cause to the last start there.
func TestLeaving(t *testing.T) {
	cases := []struct {
		name  string
		cause func(t *testing.T, c *cluster)
	}{
		{"1 platform's list", func(_ *testing.T, c *cluster) {
			c.setBox(store.Box{Name: c.agents[0].name, Role: store.RoleAgent, Address: c.agents[0].address, State: store.BoxLeaving})
		}},
		{"2 platform's list, one second late", func(_ *testing.T, c *cluster) {
			c.platformFaults(standin.PlatformFaults{LagMS: 1000})
			c.setBox(store.Box{Name: c.agents[0].name, Role: store.RoleAgent, Address: c.agents[0].address, State: store.BoxLeaving})
		}},
		{"3 operator", func(t *testing.T, c *cluster) { drain(t, c, 0) }},
		{"4 operator, store down", func(t *testing.T, c *cluster) {
			c.platformFaults(standin.PlatformFaults{Down: true})
			drain(t, c, 0)
		}},
		{"5 SIGTERM", func(_ *testing.T, c *cluster) { c.agents[0].stop() }},
		{"6 SIGTERM, store down", func(_ *testing.T, c *cluster) {
			c.platformFaults(standin.PlatformFaults{Down: true})
			c.agents[0].stop()
		}},
		{"7 declaration", func(_ *testing.T, c *cluster) { c.apply(declaration("leaving: [engine-1]")) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, shape{entries: 2, agents: 3, slots: 4})
			l := startLoad(c, 12, 2, 50)
			waitFor(t, "the target runs tasks", func() bool { return len(c.startLog(0)) > 20 })
			begun := time.Now()
			tc.cause(t, c)
			waitFor(t, "both entry boxes know that the agent leaves", func() bool {
				for _, e := range c.entries {
					st, ok := entryStatus(e)
					if !ok || takesWork(st.Agents, c.agents[0].address) {
						return false
					}
				}
				return true
			})
			known := time.Now()
			before := c.totalStarts()
			waitFor(t, "the other targets run tasks", func() bool { return c.totalStarts() > before+60 })
			if wrong := l.stop(); len(wrong) > 0 {
				t.Errorf("%d of %d submissions failed: %s", len(wrong), l.sent.Load(), wrong[0])
			}
			last := time.Time{}
			for _, s := range c.startLog(0) {
				if s.At.After(last) {
					last = s.At
				}
			}
			t.Logf("last start %s after the cause; known to the entry boxes after %s", last.Sub(begun).Round(time.Millisecond), known.Sub(begun).Round(time.Millisecond))
			if last.Sub(begun) > leavingBound {
				t.Errorf("the leaving target started a task %s after the cause", last.Sub(begun))
			}
			c.checkNoDoubles()
		})
	}
}
