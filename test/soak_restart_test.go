package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// restartSoakSeeds are the seeds of TestSoakRestarts. Each takes about 12 s.
var restartSoakSeeds = []uint64{
	1, // no failure known
	// A delayed start for a former life of a target was carried out by the next life, after
	// the task was done. A life can't tell such orders from others until its first call.
	515707851790,
	// The first hold after a target's restart acknowledged a run's end that the agent had
	// not received, and the task ran again.
	932265993314,
	// A hold meant for a former life gave the next one a lease that its gate did not know
	// of, and two runs of a task overlapped.
	5265843908064,
}

// Times of a soak with targets that restart.
const (
	// restartSeconds is the usual length of a round.
	restartSeconds = 5
	// restartMinMS is the shortest time between two events, restartSpreadMS the range
	// above it.
	restartMinMS    = 50
	restartSpreadMS = 450
	// maxDownMS is the longest time that a target is down; a third are down for less than
	// quickDownMS.
	maxDownMS   = 800
	quickDownMS = 5
	// maxLateHeartbeatMS is the longest delay of a former life's last heartbeat.
	maxLateHeartbeatMS = 1500
	// drainBound is the longest time from the acknowledgement of draining to the last start
	// (drainMs in the settings); drainExemption is how long after its agent was killed a
	// target is exempt from it.
	drainBound     = 2 * time.Second
	drainExemption = 3 * time.Second
)

// restartsPlan is the plan of TestSoakRestarts.
var restartsPlan = soakPlan{
	resend: longResend, jobPause: soakJobPause, faultOdds: 400, slowClocks: true,
	background: func(r *soakRun, end time.Time, callers *sync.WaitGroup) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.longJobs(end, callers)
		}()
		r.faults.Add(2)
		go func() {
			defer r.faults.Done()
			r.restarts(end)
		}()
		go func() {
			defer r.faults.Done()
			r.writeInvalid(end)
		}()
	},
}

// TestSoakRestarts is the soak whose targets crash and restart, mostly under the same id,
// while agents and entries are killed, targets drain, orders are lost or delayed and
// heartbeats of former lives arrive late. Invalid rows and heartbeats are sent throughout.
func TestSoakRestarts(t *testing.T) {
	length := time.Duration(envUint(soakSecondsVariable, restartSeconds)) * time.Second
	rounds := int(envUint(soakRoundsVariable, 1))
	for _, seed := range chooseSeeds(restartSoakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, restartsPlan, seed, length, rounds) })
	}
}

// drainedLife is a life of a target whose draining was acknowledged.
type drainedLife struct {
	m     *box
	life  incarnation
	acked time.Time
}

// restarts injects restarts and the faults around them until a time, then checks the
// targets that drained.
func (r *soakRun) restarts(end time.Time) {
	random := r.randomFor(restartsPart)
	var events sync.WaitGroup
	var mu sync.Mutex
	var drained []drainedLife
	killed := map[*box]time.Time{}
	for time.Now().Before(end) {
		pause(milliseconds(restartMinMS + random.IntN(restartSpreadMS)))
		m, kind := r.agents[random.IntN(len(r.agents))], random.IntN(12)
		down, lasts := milliseconds(random.IntN(maxDownMS)), milliseconds(100+random.IntN(1200))
		if random.IntN(3) == 0 {
			down = milliseconds(random.IntN(quickDownMS))
		}
		late, lateKind, entry := milliseconds(random.IntN(maxLateHeartbeatMS)), random.IntN(3), r.entries[random.IntN(len(r.entries))]
		events.Go(func() {
			switch kind {
			case 0, 1, 2, 3, 4, 5:
				r.restartWithLateHeartbeat(m, down, late, lateKind)
			case 6:
				r.note("crash of the target of %s; it restarts under another id", m.name)
				r.newLife(m)
			case 7, 8:
				mu.Lock()
				killed[m] = time.Now()
				mu.Unlock()
				m.restartLogged(r, "kill", func() { m.kill() }, func() time.Duration { return lasts / 3 })
			case 9:
				entry.restartLogged(r, "kill", func() { entry.kill() }, func() time.Duration { return lasts / 3 })
			case 10:
				r.loseOrders(m, lasts)
			case 11:
				if l, ok := r.drainTarget(m); ok {
					mu.Lock()
					drained = append(drained, l)
					mu.Unlock()
					pause(lasts + drainBound)
					r.restartTarget(m, 0)
				}
			}
		})
	}
	events.Wait()
	for _, l := range drained {
		r.checkDrained(l, killed[l.m])
	}
}

// restartWithLateHeartbeat restarts a target under its id. Unless kind is 0, a heartbeat
// of the former life arrives later: ready, or draining if kind is 2.
func (r *soakRun) restartWithLateHeartbeat(m *box, down, late time.Duration, kind int) {
	heartbeat, ok := m.life().NextHeartbeat()
	r.note("the target of %s crashes and restarts under its id after %v; late heartbeat %d after %v", m.name, down, kind, late)
	r.restartTarget(m, down)
	if !ok || kind == 0 {
		return
	}
	heartbeat.Draining = kind == 2
	pause(late)
	// It may be refused, or the agent may be down.
	_ = m.port.SendHeartbeat(context.Background(), m.ip+":"+platformControlPort, heartbeat)
}

// drainTarget makes a target drain and announce it; ok is false if that was not
// acknowledged.
func (r *soakRun) drainTarget(m *box) (l drainedLife, ok bool) {
	e := m.life()
	e.Drain()
	beat, up := e.NextHeartbeat()
	if !up || m.port.SendHeartbeat(context.Background(), m.ip+":"+platformControlPort, beat) != nil {
		return drainedLife{}, false
	}
	r.note("the target of %s drains", m.name)
	return drainedLife{m: m, life: e, acked: time.Now()}, true
}

// checkDrained checks that nothing was started at a draining life after drainBound, unless
// its agent was killed shortly before.
func (r *soakRun) checkDrained(l drainedLife, killed time.Time) {
	for _, s := range l.life.Journal() {
		exempt := s.Started.After(killed) && s.Started.Before(killed.Add(drainExemption))
		if !exempt && s.Started.After(l.acked.Add(drainBound)) {
			r.t.Errorf("%v started at %s %v after draining was acknowledged", s.Name, l.m.name, s.Started.Sub(l.acked))
		}
	}
}

// processSoakSeeds are the seeds of TestSoakTargetProcesses.
var processSoakSeeds = []uint64{
	// Those of TestSoakRestarts whose failures came with calls that crossed a restart.
	515707851790, 932265993314,
	// Starts that got slow answers were given up, and a target got no work after the faults.
	1440717752670,
}

// TestSoakTargetProcesses is TestSoakRestarts with targets that are processes, so that the operating
// system decides which calls cross a restart. Guards against a durable task that starts again
// after its end was acknowledged.
func TestSoakTargetProcesses(t *testing.T) {
	length := time.Duration(envUint(soakSecondsVariable, restartSeconds)) * time.Second
	rounds := int(envUint(soakRoundsVariable, 1))
	plan := restartsPlan
	plan.targetProcesses = true
	for _, seed := range chooseSeeds(processSoakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, plan, seed, length, rounds) })
	}
}
