package gate

import (
	"errors"
	"time"
)

// Hold is a hold that is due: the call and what the gate knew when it was made.
type Hold struct {
	Life Life
	Call HoldCall
	sent Time
	// peek: the first look, made to learn the clock.
	peek bool
}

// NextHold returns the hold to make now.
func (g *Gate) NextHold(now Time, wait time.Duration) Hold {
	h := Hold{Life: g.life, sent: now}
	if g.fence == 0 {
		h.peek = true
		return h
	}
	if g.watching() {
		wait = min(wait, watchWait)
	}
	if g.hasLateOrders(now) {
		wait = min(wait, lateOrderWait)
	}
	wait = min(wait, g.options.Lease/holdsPerLease)
	h.Call = HoldCall{Fence: g.fence, WaitMS: int(wait.Milliseconds())}
	if g.mayNote(now) {
		h.Call.Seen = g.seen
	}
	if g.lapsing {
		h.Call.WaitMS = 0
		return h
	}
	if g.unanswered(now) || !g.surveyed {
		return h
	}
	h.Call.UntilMS = g.extendLease(now)
	return h
}

// noteWithin is how long after the target's newest answer ends may be noted. While a hold waits
// for up to 150 ms, the target may start again and a run may end there: a hold beside that one
// had the newer life forget an end, unheard, and the task began again.
const noteWithin = 20 * time.Millisecond

// mayNote says whether the life that is known is surely there. A newer one would take the number
// of the newest noted end for its own, and forget as many ends, unheard: after a call that failed
// the target may have started again.
func (g *Gate) mayNote(now Time) bool {
	return g.confirmed && now-g.held <= noteWithin
}

// notesToTell says whether ends may be noted that no hold has told the target.
func (g *Gate) notesToTell() bool {
	return g.confirmed && g.seen > g.told
}

// holdsPerLease is how many holds are waited for in the time of a lease at least: where the
// platform allows leases of 0.2 s, those of a hold that waits 0.15 s lapse while the next is
// on its way.
const holdsPerLease = 4

// unanswered says whether holds have gone without an answer for so long that
// the lease is not extended any more, so that it is known when it is over.
func (g *Gate) unanswered(now Time) bool {
	return now-g.held > holdPatience
}

// holdPatience is how long holds may go unanswered while they extend the lease.
const holdPatience = 700 * time.Millisecond

// OnHold takes in the answer to a hold.
func (g *Gate) OnHold(now Time, h Hold, a Answer, lists HoldAnswer, err error) Actions {
	if h.Life.ID != g.life.ID {
		return Actions{}
	}
	if err != nil {
		if h.Life != g.life {
			return Actions{}
		}
		g.takeAnswer(now, a, err)
		if h.sent >= g.confirmedBy {
			g.confirmed = false
		}
		return g.holdFailed(now, h, a, err)
	}
	g.answeredNow(now)
	former := g.life
	if !g.takeAnswerer(now, h, a) {
		g.confirmed = false
		return Actions{HoldNow: g.life != former}
	}
	g.takeClock(now, a.ClockMS)
	g.confirmRecalled()
	if a.ClockMS < g.listedMS {
		// Answers on different connections may overtake one another.
		g.passOverLists(now, a)
		return Actions{}
	}
	g.listedMS = a.ClockMS
	g.held = now
	if h.sent >= g.confirmedBy {
		g.confirmed = true
		g.confirmedBy = h.sent
	}
	if h.peek {
		if a.ClockMS == 0 {
			return Actions{}
		}
		g.fenced(h.Call.Fence)
		g.grantedMS = max(g.grantedMS, a.ClockMS+g.options.Lease.Milliseconds())
		return Actions{HoldNow: true}
	}
	if h.Call.Fence != g.fence {
		return Actions{}
	}
	g.told = max(g.told, h.Call.Seen)
	g.takeFinished(now, lists.Finished)
	g.takeRunning(now, h, lists)
	g.takeSurvey(a)
	g.finishLapse(a)
	g.advanceSeen()
	g.stopOverdue(now)
	return g.startFromQueue(now, g.stopWhatMust(now, Actions{HoldNow: g.notesToTell()}))
}

// takeSurvey takes in that the target has listed what earlier processes, or orders to a
// former life, have left there; they may have given it the longest lease.
func (g *Gate) takeSurvey(a Answer) {
	if g.surveyed {
		return
	}
	g.surveyed = true
	g.grantedMS = max(g.grantedMS, a.ClockMS+g.options.Lease.Milliseconds())
}

func (g *Gate) holdFailed(now Time, h Hold, a Answer, err error) Actions {
	switch {
	case errors.Is(err, ErrFenced):
		// An earlier process of this gate has set a higher token.
		g.fenced(h.Call.Fence)
		g.grantedMS = max(g.grantedMS, a.ClockMS+g.options.Lease.Milliseconds())
		return Actions{HoldNow: true}
	case errors.Is(err, ErrOtherLife):
		if g.life.named() {
			return g.turnedAway(now, a.Life.ID)
		}
	}
	return g.Tick(now)
}

// finish marks a run as ended and tells its owner.
func (g *Gate) finish(now Time, r *run, kind EndKind, ran time.Duration) {
	r.phase = phaseEnded
	r.end = kind
	r.ran = ran
	g.health.ended(now, r)
	if r.discarded {
		r.discarded = false
		g.discard(now, r)
	}
	g.tell(r)
	g.tellAll()
	if g.health.suspect {
		g.rejectQueue("suspect")
	}
}

func (g *Gate) setRunning(now Time, r *run) {
	r.phase = phaseRunning
	r.runningSince = now
}

// reject ends a run that never started.
func (g *Gate) reject(r *run, reason string) {
	r.phase = phaseEnded
	r.end = EndRejected
	r.reason = reason
	r.noted = true
	g.tell(r)
	g.removeIfNoted(r)
}

// giveBack takes a run that waits out of the queue and rejects it.
func (g *Gate) giveBack(r *run, reason string) {
	g.queue.remove(r)
	g.reject(r, reason)
}

// mayBeNoted says whether the executor may forget the end. Nothing durable
// follows from a run of a job that is not kept: its end needs no owner's word.
func (r *run) mayBeNoted() bool {
	return (r.noted || r.bestEffort) && !r.discarded
}

// advanceSeen moves the number of the newest noted end forward.
func (g *Gate) advanceSeen() {
	for {
		r := g.listed[g.seen+1]
		if r == nil || !r.mayBeNoted() {
			return
		}
		g.seen++
		delete(g.listed, g.seen)
		g.removeIfNoted(r)
	}
}

// finishLapse ends a lapse once the executor's lease is surely over: ends that
// must not count can be noted now.
func (g *Gate) finishLapse(a Answer) {
	if !g.lapsing || a.ClockMS <= g.leaseEndMS() {
		return
	}
	g.lapsing = false
	for _, r := range g.listed {
		if r.discarded {
			r.discarded = false
			r.noted = true
		}
	}
	g.tellAll()
}

func (g *Gate) removeIfNoted(r *run) {
	if r.phase != phaseEnded || !r.noted {
		return
	}
	if r.number != 0 && r.number > g.seen {
		return
	}
	if g.runs[r.RunName] == r {
		delete(g.runs, r.RunName)
	}
}

// Unnoted says whether ends wait for the word of their owners.
func (g *Gate) Unnoted() bool {
	return len(g.listed) > 0
}

// Confirmed says whether nothing puts in doubt that the life that is known is there.
func (g *Gate) Confirmed() bool { return g.confirmed }

// Doubt takes in that the target may have started again, as when a hold is overdue. Only a
// hold that is sent from now on settles it.
func (g *Gate) Doubt(now Time) {
	g.confirmed = false
	g.confirmedBy = max(g.confirmedBy, now)
}

// Lapsing says whether the lease is left to lapse.
func (g *Gate) Lapsing() bool { return g.lapsing }
