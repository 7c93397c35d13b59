package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// powerLosses is the number of power losses, powerJobs the number of jobs submitted at
// each.
const (
	powerLosses = 3
	powerJobs   = 6
)

// All processes and targets lose power as soon as a job is accepted; only the store
// survives. Every accepted job must complete, with each task done at least once.
func TestAcceptedJobsOutliveAllPower(t *testing.T) {
	d := newDeployment(t, 3, 3)
	accepted := map[string]bool{}
	for loss := range powerLosses {
		for id := range d.acceptUntilPowerLoss(loss) {
			accepted[id] = true
		}
		for _, m := range append(append([]*box(nil), d.entries...), d.agents...) {
			m.restart()
		}
		waitFor(t, "an entry is ready", func() bool {
			return answers("http://" + d.entries[0].ip + ":" + platformReadinessPort + "/v1/ready")
		})
	}
	if len(accepted) < powerLosses {
		t.Fatalf("%d jobs accepted in %d losses of power", len(accepted), powerLosses)
	}
	for id := range accepted {
		waitFor(t, "job "+id+" is completed", func() bool {
			status, state := d.entries[0].ask(http.MethodGet, id, nil)
			if status == http.StatusGone {
				t.Fatalf("job %s was accepted but is unknown", id)
			}
			return state == string(job.StateCompleted)
		})
	}
	done := map[job.ID]int{}
	for task, spans := range d.spans() {
		for _, s := range spans {
			if s.End == gate.EndDone {
				done[task.Job]++
				break
			}
		}
	}
	for id := range accepted {
		if done[job.ID(id)] != 4 {
			t.Errorf("job %s is completed but only %d of 4 tasks are done", id, done[job.ID(id)])
		}
	}
}

// acceptUntilPowerLoss submits jobs, kills everything as soon as the first is accepted,
// and returns the accepted ones.
func (d *deployment) acceptUntilPowerLoss(loss int) map[string]bool {
	d.t.Helper()
	var mu sync.Mutex
	accepted := map[string]bool{}
	first := make(chan struct{}, powerJobs)
	var callers sync.WaitGroup
	for n := range powerJobs {
		callers.Go(func() {
			id := fmt.Sprintf("%08x%08x", loss+1, n+1)
			for try := 0; ; try++ {
				status, _ := d.entries[(n+try)%len(d.entries)].ask(http.MethodPost, id, platformJob(4, false))
				switch status {
				case http.StatusOK:
					mu.Lock()
					accepted[id] = true
					mu.Unlock()
					first <- struct{}{}
					return
				case 0:
					return // The entry is down.
				}
				pause(20 * time.Millisecond)
			}
		})
	}
	select {
	case <-first:
	case <-time.After(waitTimeout):
		d.t.Error("no job was accepted")
	}
	var kills sync.WaitGroup
	for _, m := range append(append([]*box(nil), d.entries...), d.agents...) {
		kills.Go(m.kill)
	}
	for _, m := range d.agents {
		d.restartTarget(m, 0)
	}
	kills.Wait()
	callers.Wait()
	return accepted
}
