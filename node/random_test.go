package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/owner"
	"rackspur/rowstore"
)

// Environment variables of TestRandomFaults.
const (
	seedVariable    = "RACKSPUR_RANDOM_SEED"
	secondsVariable = "RACKSPUR_RANDOM_SECONDS"
)

// regressionSeeds are the seeds that are always run, with the failure that each once
// showed.
var regressionSeeds = []uint64{
	1, // no known failure
}

func numberFromEnvironment(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// TestRandomFaults runs jobs while boxes are lost, the store refuses and loses calls, and
// targets stop answering. It checks what callers and targets have seen.
func TestRandomFaults(t *testing.T) {
	length := time.Duration(numberFromEnvironment(secondsVariable, 6)) * time.Second
	seeds := regressionSeeds
	if seed := numberFromEnvironment(seedVariable, 0); seed != 0 {
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomFaults(t, seed, length) })
	}
}

// ledger records the results of submissions.
type ledger struct {
	mu sync.Mutex
	// accepted has the number of tasks of each accepted job.
	accepted map[job.ID]int
	refused  map[job.ID]bool
}

func randomFaults(t *testing.T, seed uint64, length time.Duration) {
	t.Logf("seed %d; run it again with %s=%d", seed, seedVariable, seed)
	random := rand.New(rand.NewPCG(seed, seed))
	c := newCluster(t, 3, 4, func(n job.RunName) (time.Duration, gate.EndKind) {
		// All runs of a task take the same time; one run in thirty fails.
		mix := uint64(n.Index)*2654435761 + uint64(n.Run)*40503 + uint64(len(n.Job))
		how := gate.EndDone
		if mix%30 == 7 {
			how = gate.EndFailed
		}
		return time.Duration(20+mix%180) * time.Millisecond, how
	})
	l := &ledger{accepted: map[job.ID]int{}, refused: map[job.ID]bool{}}
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for id := 0; time.Now().Before(end); id++ {
		s := testJob(id, 1+random.IntN(8), false)
		i := random.IntN(3)
		callers.Add(1)
		go func() {
			defer callers.Done()
			l.submit(c, i, s)
		}()
		if random.IntN(12) == 0 {
			c.fault(random)
		}
		wait.For(context.Background(), time.Duration(10+random.IntN(30))*time.Millisecond)
	}
	c.store.SetFault(nil)
	for _, e := range c.targets {
		e.SetDown(false)
	}
	callers.Wait()
	l.check(t, c)
}

// submit submits a job, and retries at other boxes while the result is unknown.
func (l *ledger) submit(c *cluster, i int, s job.Submission) {
	for try := 0; ; try++ {
		switch submit(c.entry((i+try)%3), s) {
		case owner.SubmitAccepted:
			l.mu.Lock()
			l.accepted[s.ID] = s.TaskCount()
			l.mu.Unlock()
			return
		case owner.SubmitRefused:
			l.mu.Lock()
			l.refused[s.ID] = try == 0
			l.mu.Unlock()
			return
		}
		wait.For(context.Background(), 100*time.Millisecond)
	}
}

// fault applies a random fault.
func (c *cluster) fault(random *rand.Rand) {
	switch random.IntN(7) {
	case 0:
		go c.restartEntry(random.IntN(len(c.entries)))
	case 1:
		go c.restartAgent(random.IntN(len(c.agents)))
	case 2:
		c.store.SetFault(func(rowstore.Call) rowstore.Fault { return rowstore.FaultRefuse })
	case 3:
		c.store.SetFault(everyThird(rowstore.FaultLoseAnswer))
	case 4:
		c.store.SetFault(everyThird(rowstore.FaultLoseCall))
	case 5:
		c.store.DropHistory()
		c.store.SetFault(nil)
	case 6:
		e := c.targets[random.IntN(len(c.targets))]
		e.SetDown(true)
		time.AfterFunc(700*time.Millisecond, func() { e.SetDown(false) })
	}
}

func everyThird(f rowstore.Fault) func(rowstore.Call) rowstore.Fault {
	n := 0
	return func(rowstore.Call) rowstore.Fault {
		n++
		if n%3 == 0 {
			return f
		}
		return rowstore.FaultNone
	}
}

// check waits until every accepted job has ended and checks its runs.
func (l *ledger) check(t *testing.T, c *cluster) {
	t.Helper()
	t.Logf("%d jobs accepted, %d refused", len(l.accepted), len(l.refused))
	states := map[job.ID]job.State{}
	for id := range l.accepted {
		c.until("job "+string(id)+" has ended", func() bool {
			states[id] = c.state(0, id)
			return states[id].Final()
		})
	}
	c.checkRuns(allDurable)
	runs := c.spans()
	for id, state := range states {
		doneTasks := 0
		for task, spans := range runs {
			if task.Job != id {
				continue
			}
			done, failed := 0, 0
			for _, s := range spans {
				if s.End == gate.EndDone {
					done++
				}
				if s.End == gate.EndFailed {
					failed++
				}
			}
			if done > 0 {
				doneTasks++
			}
			if state == job.StateFailed && failed > testQueue().Attempts {
				t.Errorf("task %v failed %d times", task, failed)
			}
		}
		if state == job.StateCompleted && doneTasks != l.accepted[id] {
			t.Errorf("job %s is completed with %d of %d tasks done", id, doneTasks, l.accepted[id])
		}
	}
	for id, sure := range l.refused {
		for task := range runs {
			if sure && task.Job == id {
				t.Errorf("job %s was refused and ran", id)
			}
		}
	}
}
