package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"rackspur/config"
	"rackspur/internal/standin"
	"rackspur/store"
)

// inForceBound is the longest time until an accepted version is in force everywhere.
const inForceBound = 5 * time.Second

func (c *cluster) version() uint64 {
	c.t.Helper()
	r, err := c.store().Current(c.context())
	if err != nil {
		c.t.Fatal(err)
	}
	return r.Version
}

func (c *cluster) store() *config.Store {
	return config.NewStore(store.NewClient(c.platform.url))
}

// awaitVersion waits until a version is in force in every process.
func (c *cluster) awaitVersion(v uint64) {
	c.t.Helper()
	waitFor(c.t, fmt.Sprintf("version %d is in force everywhere", v), func() bool {
		for _, e := range c.entries {
			if st, ok := entryStatus(e); !ok || st.Version < v {
				return false
			}
		}
		for _, a := range c.agents {
			if st, ok := agentStatus(a); !ok || st.Version < v {
				return false
			}
		}
		return true
	})
}

// TestConfigRaces applies changes from several operators concurrently while some
// answers are lost after the change took effect. The history of reads and writes must
// be linearizable as a compare-and-set counter.
func TestConfigRaces(t *testing.T) {
	c := newCluster(t, shape{entries: 1, agents: 1, slots: 4})
	document, err := config.Parse([]byte(declaration("")))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var ops []porcupine.Operation
	begun := time.Now()
	record := func(client int, in casInput, f func() casOutput) {
		call := time.Since(begun).Nanoseconds()
		out := f()
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(begun).Nanoseconds()})
	}
	var wg sync.WaitGroup
	for operator := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			store := c.store()
			for i := range 4 {
				if i%2 == 1 && operator == 0 {
					c.platformFaults(standin.PlatformFaults{LoseAnswers: 2})
				}
				record(operator, casInput{}, func() casOutput {
					r, err := store.Current(c.context())
					if err != nil {
						return casOutput{unknown: true}
					}
					return casOutput{version: r.Version}
				})
				base := uint64(1 + operator%2 + 2*i)
				record(operator, casInput{write: true, base: base}, func() casOutput {
					r, err := store.Apply(c.context(), config.Change{ID: fmt.Sprintf("%d-%d", operator, i), Base: base, Author: "test", Document: document})
					return casOutput{version: versionOf(r), ok: err == nil}
				})
			}
		}()
	}
	wg.Wait()
	if !porcupine.CheckOperations(casModel, ops) {
		t.Errorf("the history of the configuration is not linearizable")
	}
	final := c.version()
	begun = time.Now()
	c.awaitVersion(final)
	if took := time.Since(begun); took > inForceBound {
		t.Errorf("version %d in force after %s", final, took)
	}
}

// casInput is a read, or a change based on a version.
type casInput struct {
	write bool
	base  uint64
}

// casOutput is what a read saw, or whether a change was accepted.
type casOutput struct {
	version uint64
	ok      bool
	unknown bool
}

// casModel is a version counter: a change succeeds only if its base is the current
// version, and increments it. The cluster starts with version 1.
var casModel = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(uint64), input.(casInput), output.(casOutput)
		switch {
		case !in.write:
			return out.unknown || out.version == version, version
		case out.ok:
			return in.base == version && out.version == version+1, version + 1
		default:
			return in.base != version, version
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestConfigInForce applies configurations under faults. Each must come into force
// everywhere, no process may go back to an older version, and answers must name the
// version they were handled under.
func TestConfigInForce(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(t *testing.T, c *cluster)
		repair func(t *testing.T, c *cluster)
	}{
		{"1 no fault", func(*testing.T, *cluster) {}, func(*testing.T, *cluster) {}},
		{"2 agent frozen across versions", func(_ *testing.T, c *cluster) { c.agents[0].freeze() }, func(_ *testing.T, c *cluster) { c.agents[0].thaw() }},
		{"3 entry box frozen across versions", func(_ *testing.T, c *cluster) { c.entries[1].freeze() }, func(_ *testing.T, c *cluster) { c.entries[1].thaw() }},
		{"4 answer lost after effect", func(_ *testing.T, c *cluster) { c.platformFaults(standin.PlatformFaults{LoseAnswers: 1}) }, func(*testing.T, *cluster) {}},
		{"5 store down after acceptance, agent started then", func(_ *testing.T, c *cluster) { c.agents[0].kill() },
			func(t *testing.T, c *cluster) {
				waitFor(t, "an entry box has the version", func() bool {
					st, ok := entryStatus(c.entries[0])
					return ok && st.Version == 4
				})
				c.platformFaults(standin.PlatformFaults{Down: true})
				c.agents[0].restart()
			}},
		{"6 slow store", func(_ *testing.T, c *cluster) { c.platformFaults(standin.PlatformFaults{SlowMS: 300}) }, func(*testing.T, *cluster) {}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, shape{entries: 2, agents: 2, slots: 4, entryArgs: []string{"--grace", "300ms"}})
			watch := watchVersions(c)
			tc.fault(t, c)
			for i := range 3 {
				c.apply(declaration(fmt.Sprintf("limits: {max_tasks: %d}", 100+i)))
			}
			accepted := time.Now()
			tc.repair(t, c)
			repaired := time.Now()
			c.awaitVersion(4)
			t.Logf("in force everywhere %s after acceptance, %s after the fault was removed", time.Since(accepted).Round(time.Millisecond), time.Since(repaired).Round(time.Millisecond))
			if time.Since(repaired) > inForceBound {
				t.Errorf("in force everywhere only %s after the fault was removed", time.Since(repaired))
			}
			client := c.client(tokenA, 1)
			job := newJob(t, "swap", 2, 20)
			r, err := client.Submit(c.context(), c.id(client), job)
			if err != nil {
				t.Fatal(err)
			}
			checkComplete(t, job, r)
			if r.Answer.Version < 4 {
				t.Errorf("handled under version %d", r.Answer.Version)
			}
			if back := watch(); back != "" {
				t.Error(back)
			}
		})
	}
}

// watchVersions polls the versions of all processes until the returned function is
// called, which describes the first version that went back, if any. A restarted agent
// is a new incarnation and may start from any version.
func watchVersions(c *cluster) func() string {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan string, 1)
	go func() {
		last := map[string]uint64{}
		for ctx.Err() == nil {
			for _, e := range c.entries {
				st, ok := entryStatus(e)
				if ok && st.Version < last[e.name] {
					result <- fmt.Sprintf("%s went from version %d to %d", e.name, last[e.name], st.Version)
					return
				}
				if ok {
					last[e.name] = st.Version
				}
			}
			for _, a := range c.agents {
				st, ok := agentStatus(a)
				if ok && st.Version < last[st.Incarnation] {
					result <- fmt.Sprintf("%s went from version %d to %d", a.name, last[st.Incarnation], st.Version)
					return
				}
				if ok {
					last[st.Incarnation] = st.Version
				}
			}
		}
		result <- ""
	}()
	return func() string {
		cancel()
		return <-result
	}
}

// TestConfigStaleEntry freezes an entry box while a member's credentials are
// replaced. Once resumed, it must not accept the old ones.
func TestConfigStaleEntry(t *testing.T) {
	for _, method := range []string{http.MethodPut, http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			checkStaleEntry(t, method)
		})
	}
}

func checkStaleEntry(t *testing.T, method string) {
	c := newCluster(t, shape{entries: 2, agents: 1, slots: 4})
	stale := c.entries[1]
	client := c.client(tokenA, 1)
	id := c.id(client)
	stale.freeze()
	// Replace the member's credentials while the entry box is frozen.
	c.apply(`members:
  - {name: ghanta, secrets: ['` + hashB + `']}
kinds:
  - {name: swap, expect_ms: 50, lease_ms: 2000, deadline_ms: 10000}
`)
	waitFor(t, "the agent has version 2", func() bool {
		st, ok := agentStatus(c.agents[0])
		return ok && st.Version == 2
	})
	job := newJob(t, "swap", 1, 10)
	answer := make(chan int, 1)
	go func() {
		r, err := client.Call(c.context(), method, id, mustJSON(t, job))
		if err != nil {
			answer <- 0
			return
		}
		answer <- r.Status
	}()
	c.platformFaults(standin.PlatformFaults{Down: true})
	stale.thaw()
	if status := <-answer; status != http.StatusUnauthorized {
		t.Errorf("a stale entry box accepted replaced credentials: status %d", status)
	}
	c.awaitIdle()
	c.checkNever(job)
}

func versionOf(r *config.Record) uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}
