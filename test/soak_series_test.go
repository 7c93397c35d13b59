package test

import (
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"rackspur/internal/standin"
)

// Times of a series of faults. The agents' faults start from seriesEarlyMS before to
// seriesLateMS after the entry's: within that range the bounds of contact (1 s) and lease
// (1 s) and the callers' resubmission (1.3 s) interact.
const (
	seriesFirstMS     = 900
	seriesPauseMS     = 1400
	seriesSpreadMS    = 900
	seriesEarlyMS     = 500
	seriesLateMS      = 1600
	seriesRepeatMinMS = 300
	seriesRepeatMaxMS = 1500
	// Half of the agents' faults start between these times after the entry's: the last
	// lease that the agent granted then outlasts the callers' wait for an answer.
	seriesNearMinMS = 200
	seriesNearMaxMS = 1100
)

// maxAgentsDown is how many agents of a round may be killed until its end.
const maxAgentsDown = 2

// Kinds of faults of a series, each at one box.
const (
	faultKill = iota
	faultStop
	faultFreeze
	// faultCut resets the inbound connections and refuses new ones for a time.
	faultCut
	// faultSilent drops all bytes of the inbound connections for a time.
	faultSilent
	// faultReset resets the inbound connections once.
	faultReset
	// faultFreezeReset freezes the process and resets the inbound connections.
	faultFreezeReset
	// faultKillToEnd kills the process until the end of the round.
	faultKillToEnd
	// faultTargetSilent drops all bytes between an agent and its target for a time.
	faultTargetSilent
	// faultOrders leaves some orders to a target unanswered, and loses or delays them.
	faultOrders
)

var (
	entryFaults = [...]int{
		faultKill, faultKill, faultKill, faultKill, faultStop, faultStop, faultFreeze,
		faultFreezeReset, faultFreezeReset, faultCut, faultSilent, faultReset, faultReset,
	}
	agentFaults = [...]int{faultKill, faultKill, faultKillToEnd, faultFreeze, faultFreeze, faultCut, faultSilent, faultSilent, faultTargetSilent, faultOrders}
)

// seriesFault is one fault of a series: after is its start within the series.
type seriesFault struct {
	m     *box
	kind  int
	after time.Duration
	lasts time.Duration
}

// allSeries runs one series of faults after another until a time.
func (r *soakRun) allSeries(end time.Time) {
	random := r.randomFor(longSeriesPart)
	down := 0
	pause(milliseconds(seriesFirstMS + random.IntN(seriesSpreadMS)))
	for time.Now().Before(end) {
		entry, twice := random.IntN(len(r.entries)), random.IntN(4) == 0
		again := milliseconds(seriesRepeatMinMS + random.IntN(seriesRepeatMaxMS-seriesRepeatMinMS))
		series := r.newSeries(random, entry, &down)
		r.startSeries(series, 0, end)
		if twice {
			series[0].m = r.entries[(entry+1)%len(r.entries)]
			r.startSeries(series, again, end)
		}
		pause(milliseconds(seriesPauseMS + random.IntN(seriesSpreadMS)))
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// newSeries draws a series: a fault at an entry and one at each of one to three agents.
func (r *soakRun) newSeries(random *rand.Rand, entry int, down *int) []seriesFault {
	series := []seriesFault{{
		m: r.entries[entry], kind: entryFaults[random.IntN(len(entryFaults))],
		after: milliseconds(seriesEarlyMS), lasts: milliseconds(300 + random.IntN(1700)),
	}}
	count := 1 + random.IntN(3)
	for _, i := range random.Perm(len(r.agents))[:count] {
		kind := agentFaults[random.IntN(len(agentFaults))]
		if kind == faultKillToEnd {
			if *down++; *down > maxAgentsDown {
				kind = faultKill
			}
		}
		series = append(series, seriesFault{
			m: r.agents[i], kind: kind,
			after: agentAfter(random), lasts: faultDuration(random, kind),
		})
	}
	return series
}

// agentAfter draws when an agent's fault starts within a series.
func agentAfter(random *rand.Rand) time.Duration {
	anywhere := random.IntN(seriesEarlyMS + seriesLateMS)
	near := seriesEarlyMS + seriesNearMinMS + random.IntN(seriesNearMaxMS-seriesNearMinMS)
	if random.IntN(2) == 0 {
		return milliseconds(near)
	}
	return milliseconds(anywhere)
}

// faultDuration draws how long an agent's fault lasts.
func faultDuration(random *rand.Rand, kind int) time.Duration {
	if kind == faultKill {
		return milliseconds(100 + random.IntN(1900))
	}
	return milliseconds(500 + random.IntN(2500))
}

// startSeries schedules the faults of a series, shifted by after.
func (r *soakRun) startSeries(series []seriesFault, after time.Duration, end time.Time) {
	for _, b := range series {
		r.faults.Add(1)
		go func() {
			defer r.faults.Done()
			pause(after + b.after)
			r.applySeriesFault(b, end)
		}()
	}
}

// applySeriesFault applies a fault of a series and waits for its end.
func (r *soakRun) applySeriesFault(b seriesFault, end time.Time) {
	m := b.m
	switch b.kind {
	case faultKill:
		m.restartLogged(r, "kill", m.kill, func() time.Duration { return b.lasts })
	case faultKillToEnd:
		m.restartLogged(r, "kill", m.kill, func() time.Duration { return time.Until(end) })
	case faultStop:
		m.restartLogged(r, "stop", func() {
			m.signal(syscall.SIGTERM)
			<-m.done
		}, func() time.Duration { return b.lasts / 4 })
	case faultFreeze:
		r.freezeFor(m, b.lasts, func() {})
	case faultFreezeReset:
		r.freezeFor(m, b.lasts, m.inbound.breakAll)
	case faultCut:
		r.disrupt(m.name, "cut", m.inbound, faults{Refuse: true}, b.lasts)
	case faultSilent:
		r.disrupt(m.name, "silent", m.inbound, faults{CutUp: true, CutDown: true}, b.lasts)
	case faultReset:
		r.note("series: %s: connections reset", m.name)
		m.inbound.breakAll()
	case faultTargetSilent:
		r.disrupt(m.name, "target silent", m.targetProxy, faults{CutUp: true, CutDown: true}, b.lasts)
	case faultOrders:
		r.loseOrders(m, b.lasts)
	}
}

// restartLogged is restartAfterDelay with log lines for the end and the restart.
func (m *box) restartLogged(r *soakRun, how string, end func(), lasts func() time.Duration) {
	m.busy.Lock()
	defer m.busy.Unlock()
	r.note("series: %s %s", how, m.name)
	end()
	pause(max(0, lasts()))
	r.note("series: restart %s", m.name)
	m.restart()
}

// freezeFor suspends a process for a time; frozen is called right after it is suspended.
func (r *soakRun) freezeFor(m *box, lasts time.Duration, frozen func()) {
	m.busy.Lock()
	defer m.busy.Unlock()
	r.note("series: freeze %s for %v", m.name, lasts)
	m.freeze()
	frozen()
	pause(lasts)
	m.thaw()
}

// disrupt applies faults to a proxy for a time and then closes the open connections, since
// bytes were dropped on them.
func (r *soakRun) disrupt(name, how string, p *proxy, f faults, lasts time.Duration) {
	r.note("series: %s: %s for %v", name, how, lasts)
	p.set(f)
	if f.Refuse {
		p.breakAll()
	}
	pause(lasts)
	p.set(faults{})
	p.breakAll()
}

// Outcomes of orders during faultOrders, equally likely: carried out, lost, carried out
// late.
const (
	orderOutcomes = 3
	orderLost     = 1
	orderLate     = 2
)

// maxOrderDelay is the longest delay of an order that is carried out late.
const maxOrderDelay = 2 * time.Second

// loseOrders loses or delays orders to an agent's target for a time. Holds pass: without
// them all runs would lapse.
func (r *soakRun) loseOrders(m *box, lasts time.Duration) {
	r.note("series: orders to the target of %s are lost or late for %v", m.name, lasts)
	if m.processes != nil {
		r.setFaults(m, targetFaults{Seed: r.seed})
		pause(lasts)
		r.setFaults(m, targetFaults{})
		return
	}
	var orders atomic.Uint64
	m.port.SetCallFaults(func(kind string) standin.CallFault {
		if kind == standin.OrderHold {
			return standin.CallFault{}
		}
		return orderOutcome(r.seed, orders.Add(1))
	})
	pause(lasts)
	m.port.SetCallFaults(nil)
}

// setFaults replaces the faults of calls to a target that is a process.
func (d *deployment) setFaults(m *box, f targetFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.processes.current.Load().setFaults(f)
}

// orderOutcome draws the outcome of an order by its number.
func orderOutcome(seed, number uint64) standin.CallFault {
	random := rand.New(rand.NewPCG(seed, longOrdersPart<<32|number))
	late := time.Duration(1 + random.Int64N(int64(maxOrderDelay)))
	switch random.IntN(orderOutcomes) {
	case orderLost:
		return standin.CallFault{Unanswered: true}
	case orderLate:
		return standin.CallFault{Unanswered: true, Late: late}
	}
	return standin.CallFault{}
}
