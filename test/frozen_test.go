package test

import (
	"net/http"
	"testing"
	"time"
)

// Times of a test that freezes an agent.
const (
	// frozenLoad is how long jobs are submitted before, frozenFor how long the agent is frozen.
	frozenLoad = time.Second
	frozenFor  = 2500 * time.Millisecond
	// frozenRecovery is how soon after the freeze the target must get work.
	frozenRecovery = 3 * time.Second
	// frozenJobPause is the time between two jobs. They use a part of each target.
	frozenJobPause = 30 * time.Millisecond
)

// A target whose agent was frozen gets work again soon. The ends that the agent heard late
// must not count as slowness of the target, which owners with room elsewhere avoid.
func TestFrozenAgentGetsWorkAgain(t *testing.T) {
	d := newDeployment(t, 1, 3)
	m := d.agents[0]
	thawed := time.Now().Add(frozenLoad + frozenFor)
	go func() {
		pause(frozenLoad)
		m.freeze()
		pause(frozenFor)
		m.thaw()
	}()
	for n := 1; time.Now().Before(thawed.Add(frozenRecovery)); n++ {
		go d.entries[0].ask(http.MethodPost, longID(n, platformEstimate), platformJobOf(2, true, platformEstimate))
		pause(frozenJobPause)
	}
	// The first runs after the freeze may be orders of before.
	settled := thawed.Add(frozenRecovery / 3)
	started := 0
	for _, s := range m.port.Executor().Journal() {
		if s.Started.After(settled) {
			started++
		}
	}
	if started == 0 {
		t.Errorf("no run started at the target from %v to %v after its agent was awake again", frozenRecovery/3, frozenRecovery)
	}
	t.Logf("%d runs started", started)
}
