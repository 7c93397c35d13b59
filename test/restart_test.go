package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// Times of the tests with targets that restart under the same id.
const (
	// restartAge is the age of the first life when it crashes: its clock and counters
	// then stay ahead of the next life's for the rest of the test.
	restartAge = 4 * time.Second
	// restartDown is how long the target is down.
	restartDown = 600 * time.Millisecond
	// restartLoad is how long jobs are submitted after the crash.
	restartLoad = 3500 * time.Millisecond
	// restartTask is the duration of a task, restartPause the time between two jobs of
	// two tasks: 8 of the 20 tasks that fit run at a time.
	restartTask  = 800 * time.Millisecond
	restartPause = 200 * time.Millisecond
	// restartMaxLatency is the longest time that a job may take after the restart: twice
	// its tasks' duration.
	restartMaxLatency = 2 * restartTask
)

// restartJobs submits jobs of two tasks until end and waits for their answers. It
// returns the durations of the served jobs that were submitted later than after.
func (d *deployment) restartJobs(end, after time.Time) (took []time.Duration) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := 1; time.Now().Before(end); n++ {
		id := longID(n, restartTask)
		callers.Add(1)
		go func() {
			defer callers.Done()
			began := time.Now()
			status, _ := d.entries[0].askWithin(longClient, longDeadline, http.MethodPost, platformPrefix+id, platformJobOf(2, true, restartTask))
			mu.Lock()
			defer mu.Unlock()
			if began.After(after) && status == http.StatusOK {
				took = append(took, time.Since(began))
			}
		}()
		pause(restartPause)
	}
	callers.Wait()
	return took
}

// A target that crashes and restarts under the same id starts its clock and the numbers
// of its ends anew. They must not be compared with those of the former life: otherwise
// its lists are dropped as stale, and tasks are started twice.
func TestTargetRestartsUnderItsID(t *testing.T) {
	d := newDeployment(t, 1, 2)
	m := d.agents[0]
	began := time.Now()
	crashed := began.Add(restartAge)
	go func() {
		pause(time.Until(crashed))
		d.restartTarget(m, restartDown)
	}()
	// One lease after the target is up again.
	recovered := crashed.Add(restartDown + d.bounds.maxHold)
	took := d.restartJobs(crashed.Add(restartLoad), recovered)
	checkOneRun(t, d.spans(), m.former[0])
	newer := m.port.Executor()
	if len(newer.Journal()) == 0 {
		t.Error("no run started at the target after its restart")
	}
	if len(took) == 0 {
		t.Error("no job was served after the restart")
	}
	for _, x := range took {
		if x > restartMaxLatency {
			t.Errorf("a job submitted after the restart took %v", x)
		}
	}
	waitFor(t, "the ends of the newer life's runs are noted", func() bool {
		for _, s := range newer.Journal() {
			if !s.Noted {
				return false
			}
		}
		return true
	})
}

// checkOneRun checks that no two runs of a task overlap and that none starts after a run
// that ended done. Ends that the crashed life had not reported are exempt.
func checkOneRun(t *testing.T, tasks map[job.TaskName][]standin.Span, crashed incarnation) {
	t.Helper()
	life := crashed.Incarnation()
	for task, spans := range tasks {
		for i, s := range spans[1:] {
			before := spans[i]
			if overlap(before, s) {
				t.Errorf("two runs of %v overlap: %+v and %+v", task, before, s)
			}
			unheard := before.Life == life.ID && before.Born == life.Born && !before.Noted
			if before.End == gate.EndDone && !unheard {
				t.Errorf("%v started after a run that ended done: %+v and %+v", task, before, s)
			}
		}
	}
}

// A target that restarted under the same id announces that it drains. Its heartbeats'
// sequence numbers start anew and must not be taken for late ones of the former life:
// otherwise runs go on starting there.
func TestDrainingAfterRestartUnderItsID(t *testing.T) {
	for _, agentKilled := range []bool{false, true} {
		t.Run(fmt.Sprintf("agent killed %v", agentKilled), func(t *testing.T) {
			d := newDeployment(t, 1, 2)
			m := d.agents[0]
			pause(restartAge)
			if agentKilled {
				// The target restarts while the agent is down; the restarted agent knows the
				// former life from the store.
				m.kill()
			}
			d.restartTarget(m, restartDown)
			if agentKilled {
				m.restart()
			}
			newer := m.port.Executor()
			waitFor(t, "a run starts at the restarted target", func() bool {
				d.entries[0].ask(http.MethodPost, longID(int(time.Now().UnixMilli()%1e9), 20*time.Millisecond), platformJobOf(2, true, 20*time.Millisecond))
				return len(newer.Journal()) > 0
			})
			newer.Drain()
			var told time.Time
			waitFor(t, "draining is acknowledged", func() bool {
				b, ok := newer.NextHeartbeat()
				told = time.Now()
				return ok && m.port.SendHeartbeat(context.Background(), m.ip+":"+platformControlPort, b) == nil
			})
			pause(drainSettle)
			d.restartJobs(time.Now().Add(drainWatch), time.Now())
			for _, s := range newer.Journal() {
				if s.Started.After(told.Add(drainSettle)) {
					t.Errorf("run %v started %v after draining was acknowledged", s.Name, s.Started.Sub(told))
				}
			}
		})
	}
}

// Times of the test with a draining target.
const (
	// drainSettle is how long starts in flight may still arrive; the contract allows 2 s.
	drainSettle = 300 * time.Millisecond
	// drainWatch is how long jobs are submitted while the target drains.
	drainWatch = time.Second
)
