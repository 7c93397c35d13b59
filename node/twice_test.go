package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/owner"
)

// Two runs of a task must never be active at the same time on targets that are up. The
// tests of this file combine faults and vary the time between them. Callers resubmit the
// job to the other entry box 1.3 s after the first fault of its owner.

// Range of the time between two faults.
const (
	minOffset  = -300 * time.Millisecond
	maxOffset  = 1600 * time.Millisecond
	offsetStep = 50 * time.Millisecond
	// playTime is how long a site runs after the fault: second runs have started by then,
	// and first runs have ended unless they run to completion.
	playTime = 4 * time.Second
)

// sweep runs a test for each time between two faults.
func sweep(t *testing.T, test func(s *virtualSite, offset time.Duration)) {
	t.Helper()
	sweepFrom(t, minOffset, maxOffset, test)
}

// sweepFrom runs a test for each offset from low to high.
func sweepFrom(t *testing.T, low, high time.Duration, test func(s *virtualSite, offset time.Duration)) {
	t.Helper()
	for offset := low; offset <= high; offset += offsetStep {
		subtest(t, offset.String(), func(s *virtualSite) { test(s, offset) })
	}
}

// subtest runs a test in its own bubbles, under the default bounds, with long leases of the
// platform and with targets that are identified by their id only, and checks all runs.
func subtest(t *testing.T, name string, test func(s *virtualSite)) {
	t.Helper()
	checkedSubtest(t, name, test, (*virtualSite).checkOneAtATime)
}

// checkedSubtest is subtest with another check.
func checkedSubtest(t *testing.T, name string, test, check func(s *virtualSite)) {
	t.Helper()
	longLeases := defaultBounds
	longLeases.maxHold = 15 * time.Second
	idOnly := defaultBounds
	idOnly.idOnly = true
	for _, bounds := range []virtualBounds{defaultBounds, longLeases, idOnly} {
		t.Run(fmt.Sprintf("%s/leases of %v, id only %v", name, bounds.maxHold, bounds.idOnly), func(t *testing.T) {
			t.Parallel()
			inBubbleWith(t, bounds, func(s *virtualSite) {
				test(s)
				check(s)
			})
		})
	}
}

// The owner is lost, and an agent some time later, before it has stopped that owner's
// runs. The lease that it requested last must end before the job is resubmitted.
func TestAgentLostAfterOwner(t *testing.T) {
	sweep(t, func(s *virtualSite, offset time.Duration) {
		s.submitBestEffort()
		s.play(playTime, event{0, s.entries[0].kill}, event{offset, s.agents[1].kill})
	})
}

// As TestAgentLostAfterOwner, with an owner that shuts down in order: it sends no stops
// either.
func TestAgentLostAfterOwnerLeft(t *testing.T) {
	sweep(t, func(s *virtualSite, offset time.Duration) {
		s.submitBestEffort()
		leave := func() {
			s.entries[0].owner.Stop()
			s.entries[0].kill()
		}
		s.play(playTime, event{0, leave}, event{offset, s.agents[1].kill})
	})
}

// The owner is lost, and an agent is killed some time later and restarted. Its new process
// must not give best-effort runs the longer contact timeout of durable jobs, counted from
// its own start.
func TestAgentRestartedAfterOwner(t *testing.T) {
	for _, down := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(fmt.Sprintf("down for %v", down), func(t *testing.T) {
			sweep(t, func(s *virtualSite, offset time.Duration) {
				s.submitBestEffort()
				a := s.agents[1]
				s.play(playTime, event{0, s.entries[0].kill}, event{offset, a.kill}, event{offset + down, a.start})
			})
		})
	}
	t.Run("claimed before", func(t *testing.T) {
		const back = 100 * time.Millisecond
		sweepFrom(t, -time.Second, minOffset-back, func(s *virtualSite, offset time.Duration) {
			s.submitBestEffort()
			a := s.agents[1]
			s.play(playTime, event{0, s.entries[0].kill}, event{offset, a.kill}, event{offset + back, a.start})
		})
	})
}

// As TestAgentLostAfterOwner, with an agent that is frozen for a time.
func TestAgentFrozenAfterOwner(t *testing.T) {
	const frozen = 3 * time.Second
	sweep(t, func(s *virtualSite, offset time.Duration) {
		s.submitBestEffort()
		a := s.agents[1]
		s.play(offset+frozen+time.Second, event{0, s.entries[0].kill}, event{offset, a.awake.shut}, event{offset + frozen, a.awake.open})
	})
}

// An agent that is restarted within 0.5 s while its owners are up loses no run: they claim
// their runs before the target's lease expires.
func TestAgentRestartedAloneKeepsRuns(t *testing.T) {
	for ms := 0; ms < 400; ms += 20 {
		for _, down := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond} {
			t.Run(fmt.Sprintf("killed %d ms on, down for %v", ms, down), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(s *virtualSite) {
					s.submitBestEffort()
					wait.For(s.ctx, time.Duration(ms)*time.Millisecond)
					a := s.agents[1]
					s.play(2*time.Second, event{0, a.kill}, event{down, a.start})
					for _, x := range s.spans() {
						if x.End != 0 && x.End != gate.EndDone {
							t.Errorf("%s", s.describe(x))
						}
					}
				})
			})
		}
	}
}

// A target answers no stop and carries it out late or never. If the owner is lost, or the
// only caller leaves, the gate must let the target's lease lapse before the job is
// resubmitted.
func TestStopThatDoesNotTake(t *testing.T) {
	late := []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second}
	for _, after := range late {
		name := fmt.Sprintf("late by %v", after)
		if after == 0 {
			name = "never"
		}
		fault := stopFault{on: true, after: after}
		subtest(t, "owner lost, "+name, func(s *virtualSite) {
			s.agents[1].target.setStops(fault)
			s.submitBestEffort()
			s.play(playTime, event{0, s.entries[0].kill})
		})
		subtest(t, "caller leaves, "+name, func(s *virtualSite) {
			s.agents[1].target.setStops(fault)
			leave := s.submitBestEffort()
			s.play(playTime, event{0, leave})
		})
	}
}

// As TestStopThatDoesNotTake, with an owner that has other runs at the gates.
func TestStopThatDoesNotTakeOfBusyOwner(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second, 3 * time.Second} {
		subtest(t, fmt.Sprintf("stops late by %v", after), func(s *virtualSite) {
			s.agents[1].target.setStops(stopFault{on: true, after: after})
			leave := s.submitBestEffort()
			s.keepBusy()
			s.play(playTime, event{0, leave})
		})
	}
}

// keepBusy makes the first entry box run another job at all targets, so that it keeps
// sending heartbeats to all gates.
func (s *virtualSite) keepBusy() {
	other := testJob(2, 6, true)
	other.Steps[0].EstimateMS = int(taskTime.Milliseconds())
	go s.entries[0].run(s.ctx, other)
	wait.For(s.ctx, 300*time.Millisecond)
}

// A target answers no orders and carries them out late: the start by 0.4 s, stops by
// seconds or never. When the only caller leaves, the run is being stopped already because
// its start was not answered; the owner's stop must still make the lease lapse.
func TestStopAfterLateStartThatDoesNotTake(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Second, 3 * time.Second} {
		subtest(t, fmt.Sprintf("stops late by %v", after), func(s *virtualSite) {
			x := s.agents[1].target
			x.setStops(stopFault{on: true, after: after})
			x.setStartsLate(400 * time.Millisecond)
			leave := s.submitBestEffort()
			x.setStartsLate(0)
			s.keepBusy()
			s.play(playTime, event{0, leave})
		})
	}
}

// The owner is frozen, and its callers leave and resubmit the job. When the owner wakes it
// learns that its runs have ended, or presumes so, before it learns that the callers have
// left. It must not start the tasks again.
func TestOwnerThatWakes(t *testing.T) {
	orders := []struct {
		name                     string
		timersAfter, framesAfter time.Duration
	}{
		{"frames first", 2 * time.Millisecond, 0},
		{"timers first", 0, 2 * time.Millisecond},
	}
	for _, order := range orders {
		t.Run(order.name, func(t *testing.T) {
			sweepFrom(t, time.Second, 4*time.Second, func(s *virtualSite, frozen time.Duration) {
				e := s.entries[0]
				e.setDelays(delays{timers: order.timersAfter, frames: order.framesAfter, notice: 20 * time.Millisecond})
				leave := s.submitBestEffort()
				s.play(frozen+time.Second, event{0, e.awake.shut}, event{0, leave}, event{frozen, e.awake.open})
			})
		})
	}
}

// As TestOwnerThatWakes, with an owner that is cut off from gates and callers and learns
// only 1 s after the cut has healed that its callers have left.
func TestOwnerCutOff(t *testing.T) {
	sweepFrom(t, time.Second, 4*time.Second, func(s *virtualSite, length time.Duration) {
		e := s.entries[0]
		e.setDelays(delays{notice: time.Second})
		leave := s.submitBestEffort()
		s.play(length+2*time.Second, event{0, e.cut}, event{0, leave}, event{length, e.heal})
	})
}

// A gate is cut off from the owner of a durable job. The owner replaces the run after the
// contact timeout and a lease; the first run must have ended by then even if the target
// carries out no stop, or the agent is lost or restarted.
func TestKeptRunsHeldToBeOver(t *testing.T) {
	const (
		length = 5 * time.Second
		down   = 300 * time.Millisecond
	)
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second} {
		name := "stops carried out " + after.String() + " late"
		if after == 0 {
			name = "stops never carried out"
		}
		t.Run(name, func(t *testing.T) {
			// Vary the time of the cut relative to the heartbeats.
			sweepFrom(t, 0, 250*time.Millisecond, func(s *virtualSite, shift time.Duration) {
				s.agents[1].target.setStops(stopFault{on: true, after: after})
				s.submitDurable()
				s.play(length, event{-shift, func() {}}, event{0, s.entries[0].paths[1].cut})
			})
		})
	}
	t.Run("agent lost", func(t *testing.T) {
		sweep(t, func(s *virtualSite, offset time.Duration) {
			s.submitDurable()
			s.play(length, event{0, s.entries[0].paths[1].cut}, event{offset, s.agents[1].kill})
		})
	})
	t.Run("agent restarted", func(t *testing.T) {
		sweep(t, func(s *virtualSite, offset time.Duration) {
			s.submitDurable()
			a := s.agents[1]
			s.play(length, event{0, s.entries[0].paths[1].cut}, event{offset, a.kill}, event{offset + down, a.start})
		})
	})
}

// The only caller leaves after the owner has placed tasks but before the frame with their
// starts is sent, so that the frame has both starts and stops. Although a gate handles stops
// first, no run may be active when the job is resubmitted.
func TestDroppedBeforeSent(t *testing.T) {
	now := time.Second
	e := &Entry{log: logr.Discard(), options: defaultBounds.options("entry-0")}
	bounds := e.ownerOptions("entry-0~1")
	bounds.Now = func() owner.Time { return now }
	o := owner.New(bounds, instantWriter{})
	g := gate.New(gateOptions(defaultBounds.options("agent-0"), "agent-0~1"))
	c := &directPair{t: t, now: &now, owner: o, gate: g, running: map[job.RunName]time.Duration{}}
	c.link()

	s := virtualJob(true)
	ticket := o.RunBestEffort(s, defaultCallTimeout, func(owner.BestEffortResult) {})
	if placed := o.Stats().Placed; placed != 3 {
		t.Fatalf("%d tasks placed before the caller left, want 3", placed)
	}
	left := now
	o.RemoveCaller(s.ID, ticket)
	for now < left+defaultBounds.resubmit {
		c.exchange()
	}
	if len(c.running) > 0 {
		t.Errorf("active %v after the caller has left, when it resubmits the job: %v", now-left, c.running)
	}
}

// directPair is an owner and a gate that exchange frames without links or a driver.
type directPair struct {
	t     *testing.T
	now   *time.Duration
	owner *owner.Owner
	gate  *gate.Gate
	// running has the active runs and the times of their starts.
	running map[job.RunName]time.Duration
}

const (
	pairOwner  = "entry-0~1"
	pairGate   = "agent-0"
	pairTarget = "i-1"
)

var pairLife = gate.Incarnation{ID: pairTarget}

func (c *directPair) clock() int64 { return c.now.Milliseconds() }

// link opens the gate and links it to the owner.
func (c *directPair) link() {
	c.execute(first(c.gate.OnHeartbeat(*c.now, gate.Heartbeat{
		Incarnation: pairLife, Service: testService, Capacity: job.Resources{CPU: 16000, Memory: 32768}, ClockMS: c.clock(), Sequence: 1,
	})))
	c.hold()
	c.hold()
	if !c.gate.Connect(*c.now, pairOwner, 1, func() {}) {
		c.t.Fatal("not connected")
	}
	c.owner.AddGate(pairGate, "zone-a")
	c.owner.LinkUp(pairGate, 1, func() {})
	c.exchange()
}

func first[A, B any](a A, _ B) A { return a }

// execute carries out the gate's orders to its target at once.
func (c *directPair) execute(a gate.Actions) {
	answer := gate.Answer{ClockMS: c.clock(), Incarnation: pairLife}
	for _, s := range a.Starts {
		c.running[s.Name] = *c.now
		c.execute(c.gate.OnStart(*c.now, a.Incarnation, s, answer, nil))
	}
	for _, s := range a.Stops {
		delete(c.running, s.Name)
		c.execute(c.gate.OnStop(*c.now, a.Incarnation, s, answer, nil))
	}
}

// hold lets the gate renew its target's lease.
func (c *directPair) hold() {
	h := c.gate.NextHold(*c.now, 0)
	*c.now += time.Millisecond
	var lists gate.HoldAnswer
	for name, started := range c.running {
		lists.Running = append(lists.Running, gate.Running{Name: name, Percent: int(100 * (*c.now - started) / taskTime)})
	}
	c.execute(c.gate.OnHold(*c.now, h, gate.Answer{ClockMS: c.clock(), Incarnation: pairLife}, lists, nil))
}

// exchange sends a frame each way, renews the lease and runs a tick of the gate.
func (c *directPair) exchange() {
	if f, ok := c.gate.Flush(*c.now, pairOwner, 1); ok {
		c.owner.OnFrame(pairGate, 1, f)
	}
	c.owner.Tick()
	if f, ok := c.owner.Flush(pairGate, 1); ok {
		c.execute(first(c.gate.OnFrame(*c.now, pairOwner, 1, f)))
	}
	c.hold()
	*c.now += 99 * time.Millisecond
	c.execute(c.gate.Tick(*c.now))
}
