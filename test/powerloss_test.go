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

// powerLosses is how often all power is lost, powerJobs how many jobs are handed in at the
// time.
const (
	powerLosses = 3
	powerJobs   = 6
)

// All processes lose power, and all targets with them, in the moment in which a job is
// answered as accepted; only the store is left. Every job that was accepted runs to its
// end, each task done once at least, and none is unknown.
func TestAcceptedJobsOutliveAllPower(t *testing.T) {
	d := newDeployment(t, 3, 3)
	accepted := map[string]bool{}
	for loss := range powerLosses {
		for id := range d.acceptUntilPowerLoss(loss) {
			accepted[id] = true
		}
		for _, m := range append(append([]*machine(nil), d.entries...), d.agents...) {
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
				t.Fatalf("job %s was accepted and is unknown", id)
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
			t.Errorf("job %s is completed with %d of 4 tasks done", id, done[job.ID(id)])
		}
	}
}

// acceptUntilPowerLoss hands jobs in, has all power lost as the first is accepted, and
// returns those that were answered as accepted.
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
					return // Power is lost.
				}
				pause(20 * time.Millisecond)
			}
		})
	}
	select {
	case <-first:
	case <-time.After(patience):
		d.t.Error("no job was accepted")
	}
	var kills sync.WaitGroup
	for _, m := range append(append([]*machine(nil), d.entries...), d.agents...) {
		kills.Go(m.kill)
	}
	for _, m := range d.agents {
		d.restartTarget(m, 0)
	}
	kills.Wait()
	callers.Wait()
	return accepted
}
