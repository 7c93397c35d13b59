package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"rackspur/internal/standin"
)

// restartSoakSeeds are played by TestSoakRestarts in each run. Each takes about 12 s.
var restartSoakSeeds = []uint64{
	1, // no failure known
	// Once in two plays: a start that got no answer was carried out 2 s late, by the next
	// life of its target, which nobody had called yet: the task's first run was done and
	// noted. Until its first call a life can't tell such orders from others.
	515707851790,
	// Once: the hold that followed the first heartbeat of a newer life had it forget the end
	// of a run, unheard, and the task began again.
	932265993314,
	// Once, beside other work: a hold that was meant for a former life gave the newer one a
	// lease of 4.5 s, which its gate did not reckon with; two runs of a task at one time.
	5265843908064,
}

// Times of a soak with targets that start again.
const (
	// restartSeconds is the usual length of a round.
	restartSeconds = 5
	// restartLeast and restartSpread are the shortest time between two events, in
	// milliseconds, and by how much it varies.
	restartLeast  = 50
	restartSpread = 450
	// mostDownMS is how long a target is down at most; a third are back within 5 ms.
	mostDownMS  = 800
	quickDownMS = 5
	// lateWordMS is how much later a former life's last words come at most.
	lateWordMS = 1500
	// leaveBound is when nothing may start any more after draining was acknowledged (the
	// users' drainMs), leaveContact how long after a blow an agent isn't held to it.
	leaveBound   = 2 * time.Second
	leaveContact = 3 * time.Second
)

// restartsPlan is the plan of TestSoakRestarts.
var restartsPlan = soakPlan{
	resend: longResend, jobPause: soakJobPause, faultOdds: 400, slowClocks: true,
	beside: func(r *soakRun, end time.Time, callers *sync.WaitGroup) {
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
			r.others(end)
		}()
	},
}

// TestSoakRestarts is the soak whose targets crash and start again, mostly under the id that
// they had, in series and beside kills of agents and entries, drains, orders that are
// lost or late, and words of former lives that come late. Other writers leave entries and
// send heartbeats that can't be read all the time.
func TestSoakRestarts(t *testing.T) {
	length := time.Duration(soakNumber(soakSecondsVariable, restartSeconds)) * time.Second
	rounds := int(soakNumber(soakRoundsVariable, 1))
	for _, seed := range soakSeedsOr(restartSoakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, restartsPlan, seed, length, rounds) })
	}
}

// leave is a life that has said that it leaves.
type leave struct {
	m     *machine
	life  *standin.Executor
	acked time.Time
}

// restarts strikes the targets until a time, and then has all that leave start again.
func (r *soakRun) restarts(end time.Time) {
	random := r.part(restartsPart)
	var events sync.WaitGroup
	var mu sync.Mutex
	var leaves []leave
	struck := map[*machine]time.Time{}
	for time.Now().Before(end) {
		pause(milliseconds(restartLeast + random.IntN(restartSpread)))
		m, kind := r.agents[random.IntN(len(r.agents))], random.IntN(12)
		down, lasts := milliseconds(random.IntN(mostDownMS)), milliseconds(100+random.IntN(1200))
		if random.IntN(3) == 0 {
			down = milliseconds(random.IntN(quickDownMS))
		}
		late, lateKind, entry := milliseconds(random.IntN(lateWordMS)), random.IntN(3), r.entries[random.IntN(len(r.entries))]
		events.Go(func() {
			switch kind {
			case 0, 1, 2, 3, 4, 5:
				r.restartWithLateWord(m, down, late, lateKind)
			case 6:
				r.note("crash of the executor of %s; it comes back under another id", m.name)
				r.newLife(m)
			case 7, 8:
				mu.Lock()
				struck[m] = time.Now()
				mu.Unlock()
				m.downNoted(r, "kill", func() { m.kill() }, func() time.Duration { return lasts / 3 })
			case 9:
				entry.downNoted(r, "kill", func() { entry.kill() }, func() time.Duration { return lasts / 3 })
			case 10:
				r.loseOrders(m, lasts)
			case 11:
				if l, ok := r.leave(m); ok {
					mu.Lock()
					leaves = append(leaves, l)
					mu.Unlock()
					pause(lasts + leaveBound)
					r.restartTarget(m, 0)
				}
			}
		})
	}
	events.Wait()
	for _, l := range leaves {
		r.checkLeft(l, struck[l.m])
	}
}

// restartWithLateWord restarts a target under its id; a word of the former life comes some
// time later: that it is there, that it leaves, or that it has ended.
func (r *soakRun) restartWithLateWord(m *machine, down, late time.Duration, kind int) {
	word, ok := m.port.Executor().Beat()
	r.note("the executor of %s crashes and is back under its id after %v; late word %d after %v", m.name, down, kind, late)
	r.restartTarget(m, down)
	if !ok || kind == 0 {
		return
	}
	word.Draining = kind == 2
	pause(late)
	// It may be turned away, or the agent may be down.
	_ = m.port.SendBeat(context.Background(), m.ip+":"+platformControlPort, word)
}

// leave has a target say that it leaves; ok is false if that was not acknowledged.
func (r *soakRun) leave(m *machine) (l leave, ok bool) {
	e := m.port.Executor()
	e.Drain()
	beat, up := e.Beat()
	if !up || m.port.SendBeat(context.Background(), m.ip+":"+platformControlPort, beat) != nil {
		return leave{}, false
	}
	r.note("the executor of %s leaves", m.name)
	return leave{m: m, life: e, acked: time.Now()}, true
}

// checkLeft checks that nothing was started at a life that leaves, beyond the bound; an
// agent that was struck is not held to it for a time.
func (r *soakRun) checkLeft(l leave, struck time.Time) {
	for _, s := range l.life.Journal() {
		excused := s.Started.After(struck) && s.Started.Before(struck.Add(leaveContact))
		if !excused && s.Started.After(l.acked.Add(leaveBound)) {
			r.t.Errorf("%v started at %s %v after draining was acknowledged", s.Name, l.m.name, s.Started.Sub(l.acked))
		}
	}
}
