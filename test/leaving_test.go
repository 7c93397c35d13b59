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

// leavingBound is what "a few seconds" may be at most.
const leavingBound = 5 * time.Second

// steady sends jobs from several callers until stop is called, which
// returns the outcomes that were not complete.
type steady struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	wrong  []string
	sent   atomic.Int64
}

func startLoad(c *cluster, callers, tasks, ms int) *steady {
	ctx, cancel := context.WithCancel(context.Background())
	l := &steady{cancel: cancel}
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

func (l *steady) one(c *cluster, ctx context.Context, client *caller.Client, job *api.Job) {
	ids, _, err := client.IDs(ctx, 1)
	if err != nil || len(ids) == 0 {
		return
	}
	l.sent.Add(1)
	// A submission that has begun is finished even when the load stops.
	reply, err := client.Submit(c.context(), ids[0], job)
	for err == nil && reply.Outcome() == api.NotRun {
		// Truthfully refused: the caller comes back with a fresh id.
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
		wrong = wholeness(job, reply.Answer)
	}
	if wrong != "" {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.wrong = append(l.wrong, wrong)
	}
}

func (l *steady) stop() []string {
	l.cancel()
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wrong
}

// TestLeaving has a target leave in each way, under load, and measures the time
// from the cause to the last start.
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
		{"7 declaration", func(_ *testing.T, c *cluster) { c.apply(declare("leaving: [engine-1]")) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, shape{entries: 2, agents: 3, slots: 4})
			l := startLoad(c, 12, 2, 50)
			waitFor(t, "the target works", func() bool { return len(c.startLog(0)) > 20 })
			begun := time.Now()
			tc.cause(t, c)
			waitFor(t, "both entry boxes know it", func() bool {
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
			waitFor(t, "the others go on", func() bool { return c.totalStarts() > before+60 })
			if wrong := l.stop(); len(wrong) > 0 {
				t.Errorf("%d of %d submissions went wrong: %s", len(wrong), l.sent.Load(), wrong[0])
			}
			last := time.Time{}
			for _, s := range c.startLog(0) {
				if s.At.After(last) {
					last = s.At
				}
			}
			t.Logf("last start %s after the cause; known after %s", last.Sub(begun).Round(time.Millisecond), known.Sub(begun).Round(time.Millisecond))
			if last.Sub(begun) > leavingBound {
				t.Errorf("new work %s after the cause", last.Sub(begun))
			}
			c.checkNoDoubles()
		})
	}
}
