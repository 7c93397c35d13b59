package test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"rackspur/api"
)

const (
	// envLong is the number of steps; the default is shortSteps.
	envLong    = "RACKSPUR_LONG"
	shortSteps = 12
	randomSeed = 6804
)

// TestRandom sends single-task jobs of a kind that is not repeatable while faults are
// injected under a fixed seed. Every id is sent several times, and its history must be
// linearizable as a write-once register.
func TestRandom(t *testing.T) {
	steps := shortSteps
	if v, err := strconv.Atoi(os.Getenv(envLong)); err == nil {
		steps = v
	}
	c := newCluster(t, shape{entries: 2, agents: 3, slots: 4, proxies: true})
	rng := rand.New(rand.NewPCG(randomSeed, randomSeed))
	h := &history{begun: time.Now()}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-done:
					return
				default:
					h.resubmit(c, i)
				}
			}
		}()
	}
	for range steps {
		randomFault(c, rng)
	}
	close(done)
	wg.Wait()
	c.awaitIdle()
	c.checkNoDoubles()
	h.check(t, c)
	t.Logf("%d steps, %d submissions, outcomes %v", steps, len(h.jobs), h.outcomes)
}

// randomFault injects a fault, waits until some tasks have started, and removes it.
func randomFault(c *cluster, rng *rand.Rand) {
	a := c.agents[rng.IntN(len(c.agents))]
	e := c.entries[rng.IntN(len(c.entries))]
	before := c.totalStarts()
	end := func() {}
	switch rng.IntN(7) {
	case 0:
		a.kill()
		end = a.restart
	case 1:
		a.freeze()
		end = a.thaw
	case 2:
		a.proxy.set(faults{CutUp: true, CutDown: true})
		end = func() {
			a.proxy.breakAll()
			a.proxy.release()
		}
	case 3:
		a.proxy.breakAll()
	case 4:
		e.proxy.set(faults{ResetOnDown: true})
		end = e.proxy.release
	case 5:
		a.stop()
		end = a.restart
	case 6:
		a.proxy.set(faults{Delay: time.Duration(rng.IntN(50)) * time.Millisecond})
		end = a.proxy.release
	}
	holdsWithin(2*time.Second, func() bool { return c.totalStarts() > before+10 })
	end()
	for _, e := range c.entries {
		c.awaitLinks(e, len(c.agents))
	}
}

// history records the outcomes that callers were told for each id.
type history struct {
	begun time.Time

	mu       sync.Mutex
	ops      []porcupine.Operation
	jobs     map[string]*api.Job
	outcomes map[api.Outcome]int
}

// resubmit sends a job under one id from two callers concurrently, then once more.
func (h *history) resubmit(c *cluster, caller int) {
	client := c.client(tokenA, caller)
	ids, _, err := client.IDs(c.context(), 1)
	if err != nil || len(ids) == 0 {
		return
	}
	job := newJob(c.t, "swap", 1, 30)
	h.mu.Lock()
	if h.jobs == nil {
		h.jobs, h.outcomes = map[string]*api.Job{}, map[api.Outcome]int{}
	}
	h.jobs[ids[0]] = job
	h.mu.Unlock()
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.submit(c, caller, i, ids[0], job)
		}()
	}
	wg.Wait()
	h.submit(c, caller, 2, ids[0], job)
}

func (h *history) submit(c *cluster, caller, turn int, id string, job *api.Job) {
	call := time.Since(h.begun).Nanoseconds()
	reply, err := c.client(tokenA, caller+turn).Submit(c.context(), id, job)
	back := time.Since(h.begun).Nanoseconds()
	outcome := api.Unknown
	if err == nil {
		outcome = reply.Outcome()
	}
	if err == nil && reply.Problem != nil && reply.Problem.Reason == "home-lost" {
		outcome = lost
	}
	if err == nil && reply.Answer != nil {
		if wrong := answerProblem(job, reply.Answer); wrong != "" {
			outcome = api.Outcome(wrong)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[outcome]++
	h.ops = append(h.ops, porcupine.Operation{ClientId: 3*caller + turn, Input: id, Call: call, Output: outcome, Return: back})
}

// lost is the outcome of an id whose home died with its state.
const lost api.Outcome = "lost"

// onceModel is the outcome of an id: undecided, then one final outcome, then lost
// forever if the home dies. An unknown outcome constrains nothing.
var onceModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, op := range ops {
			byID[op.Input.(string)] = append(byID[op.Input.(string)], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return api.Outcome("") },
	Step: func(state, _, output any) (bool, any) {
		was, now := state.(api.Outcome), output.(api.Outcome)
		switch now {
		case api.Unknown:
			return true, was
		case lost:
			return true, lost
		case api.Complete, api.Failed, api.NotRun:
			return was == "" || was == now, now
		default:
			return false, was
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// check checks the history, and the number of starts of each job against its outcomes.
func (h *history) check(t *testing.T, c *cluster) {
	t.Helper()
	if !porcupine.CheckOperations(onceModel, h.ops) {
		t.Error("an id had two outcomes")
	}
	starts := map[string]int{}
	for _, s := range c.starts() {
		starts[s.Digest]++
	}
	for _, op := range h.ops {
		n := starts[digestOf(h.jobs[op.Input.(string)])]
		if op.Output == api.NotRun && n > 0 {
			t.Errorf("%v is not-run but started %d times", op.Input, n)
		}
		if op.Output == api.Complete && n != 1 {
			t.Errorf("%v is complete but started %d times", op.Input, n)
		}
	}
}
