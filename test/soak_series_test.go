package test

import (
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"rackspur/internal/standin"
)

// Times of a series of faults, in milliseconds. The agents' faults begin from half a
// second before to 1.6 s after the entry's: the bounds of contact (1 s) and lease (1 s)
// and the callers' wait (1.3 s) meet there.
const (
	seriesFirst   = 900
	seriesPause   = 1400
	seriesSpread  = 900
	seriesEarly   = 500
	seriesLate    = 1600
	seriesAgain   = 300
	seriesMostAge = 1500
	// Half of the agents' faults begin between these times after the entry's: from
	// the callers' wait less a lease up to the bound of contact and a tick, where a
	// lease that was given last outlives the callers' wait.
	seriesClose = 200
	seriesApart = 1100
)

// mostDown is how many agents may be away until the end of a round.
const mostDown = 2

// Kinds of blows: what a series does to one machine.
const (
	blowKill = iota
	blowStop
	blowFreeze
	// blowCut resets the connections and refuses new ones for a time.
	blowCut
	// blowSilent lets no byte through for a time.
	blowSilent
	// blowReset resets the clients' connections once.
	blowReset
	// blowFreezeReset is a freeze whose clients lose their connections.
	blowFreezeReset
	// blowKillToEnd keeps the process away until the end of the round.
	blowKillToEnd
	// blowExecutor lets nothing through between an agent and its executor.
	blowExecutor
	// blowOrders has an executor's orders unanswered, and lost or carried out late.
	blowOrders
)

var (
	entryBlows = [...]int{
		blowKill, blowKill, blowKill, blowKill, blowStop, blowStop, blowFreeze,
		blowFreezeReset, blowFreezeReset, blowCut, blowSilent, blowReset, blowReset,
	}
	agentBlows = [...]int{blowKill, blowKill, blowKillToEnd, blowFreeze, blowFreeze, blowCut, blowSilent, blowSilent, blowExecutor, blowOrders}
)

// blow is one fault of a series.
type blow struct {
	m     *machine
	kind  int
	after time.Duration
	lasts time.Duration
}

// allSeries strikes with one series after the other until a time.
func (r *soakRun) allSeries(end time.Time) {
	random := r.part(longSeriesPart)
	down := 0
	pause(milliseconds(seriesFirst + random.IntN(seriesSpread)))
	for time.Now().Before(end) {
		entry, twice := random.IntN(len(r.entries)), random.IntN(4) == 0
		again := milliseconds(seriesAgain + random.IntN(seriesMostAge-seriesAgain))
		blows := r.newSeries(random, entry, &down)
		r.strikeAll(blows, 0, end)
		if twice {
			blows[0].m = r.entries[(entry+1)%len(r.entries)]
			r.strikeAll(blows, again, end)
		}
		pause(milliseconds(seriesPause + random.IntN(seriesSpread)))
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// newSeries draws a series: a blow at an entry, and blows at one to three agents.
func (r *soakRun) newSeries(random *rand.Rand, entry int, down *int) []blow {
	blows := []blow{{
		m: r.entries[entry], kind: entryBlows[random.IntN(len(entryBlows))],
		after: milliseconds(seriesEarly), lasts: milliseconds(300 + random.IntN(1700)),
	}}
	count := 1 + random.IntN(3)
	for _, i := range random.Perm(len(r.agents))[:count] {
		kind := agentBlows[random.IntN(len(agentBlows))]
		if kind == blowKillToEnd {
			if *down++; *down > mostDown {
				kind = blowKill
			}
		}
		blows = append(blows, blow{
			m: r.agents[i], kind: kind,
			after: agentAfter(random), lasts: blowLasts(random, kind),
		})
	}
	return blows
}

// agentAfter draws when an agent is struck, from the series' begin on.
func agentAfter(random *rand.Rand) time.Duration {
	anywhere := random.IntN(seriesEarly + seriesLate)
	near := seriesEarly + seriesClose + random.IntN(seriesApart-seriesClose)
	if random.IntN(2) == 0 {
		return milliseconds(near)
	}
	return milliseconds(anywhere)
}

// blowLasts draws how long a blow at an agent lasts.
func blowLasts(random *rand.Rand, kind int) time.Duration {
	if kind == blowKill {
		return milliseconds(100 + random.IntN(1900))
	}
	return milliseconds(500 + random.IntN(2500))
}

// strikeAll begins the blows of a series, each at its time.
func (r *soakRun) strikeAll(blows []blow, after time.Duration, end time.Time) {
	for _, b := range blows {
		r.faults.Add(1)
		go func() {
			defer r.faults.Done()
			pause(after + b.after)
			r.strikeOnce(b, end)
		}()
	}
}

// strikeOnce carries out a blow.
func (r *soakRun) strikeOnce(b blow, end time.Time) {
	m := b.m
	switch b.kind {
	case blowKill:
		m.downNoted(r, "kill", m.kill, func() time.Duration { return b.lasts })
	case blowKillToEnd:
		m.downNoted(r, "kill", m.kill, func() time.Duration { return time.Until(end) })
	case blowStop:
		m.downNoted(r, "stop", func() {
			m.signal(syscall.SIGTERM)
			<-m.done
		}, func() time.Duration { return b.lasts / 4 })
	case blowFreeze:
		r.freezeFor(m, b.lasts, func() {})
	case blowFreezeReset:
		r.freezeFor(m, b.lasts, m.inward.breakAll)
	case blowCut:
		r.harm(m.name, "cut", m.inward, faults{Refuse: true}, b.lasts)
	case blowSilent:
		r.harm(m.name, "silent", m.inward, faults{CutUp: true, CutDown: true}, b.lasts)
	case blowReset:
		r.note("series: %s: connections reset", m.name)
		m.inward.breakAll()
	case blowExecutor:
		r.harm(m.name, "executor silent", m.app, faults{CutUp: true, CutDown: true}, b.lasts)
	case blowOrders:
		r.loseOrders(m, b.lasts)
	}
}

// downNoted is down with a note of the moments.
func (m *machine) downNoted(r *soakRun, how string, end func(), lasts func() time.Duration) {
	m.busy.Lock()
	defer m.busy.Unlock()
	r.note("series: %s %s", how, m.name)
	end()
	pause(max(0, lasts()))
	r.note("series: %s is started again", m.name)
	m.restart()
}

// freezeFor suspends a process for a time; frozen is called at its begin.
func (r *soakRun) freezeFor(m *machine, lasts time.Duration, frozen func()) {
	m.busy.Lock()
	defer m.busy.Unlock()
	r.note("series: freeze %s for %v", m.name, lasts)
	m.freeze()
	frozen()
	pause(lasts)
	m.thaw()
}

// harm harms connections for a time; those that were open end with it, since bytes
// have been lost on them.
func (r *soakRun) harm(name, how string, p *proxy, f faults, lasts time.Duration) {
	r.note("series: %s: %s for %v", name, how, lasts)
	p.set(f)
	if f.Refuse {
		p.breakAll()
	}
	pause(lasts)
	p.set(faults{})
	p.breakAll()
}

// Fates of the orders that a blow meets: of each three, one passes, one is lost and one
// is carried out late.
const (
	orderFates = 3
	orderLost  = 1
	orderLate  = 2
)

// mostLate is how much later an order may be carried out.
const mostLate = 2 * time.Second

// loseOrders has the orders to an agent's executor unanswered for a time, some lost and
// some carried out late. Holds pass: without them all would lapse at once.
func (r *soakRun) loseOrders(m *machine, lasts time.Duration) {
	r.note("series: orders to the executor of %s are lost or late for %v", m.name, lasts)
	var orders atomic.Uint64
	m.port.SetLoseOrders(func(kind string) standin.Loss {
		if kind == standin.OrderHold {
			return standin.Loss{}
		}
		return orderFate(r.seed, orders.Add(1))
	})
	pause(lasts)
	m.port.SetLoseOrders(nil)
}

// orderFate draws what becomes of an order by its number.
func orderFate(seed, number uint64) standin.Loss {
	random := rand.New(rand.NewPCG(seed, longOrdersPart<<32|number))
	late := time.Duration(1 + random.Int64N(int64(mostLate)))
	switch random.IntN(orderFates) {
	case orderLost:
		return standin.Loss{Unanswered: true}
	case orderLate:
		return standin.Loss{Unanswered: true, Late: late}
	}
	return standin.Loss{}
}
