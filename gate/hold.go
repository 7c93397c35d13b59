package gate

import (
	"errors"
	"time"
)

// Hold is a hold to send, together with the gate's state when it was created.
type Hold struct {
	Incarnation Incarnation
	Call        HoldCall
	sent        Time
	// clockProbe marks the first hold, which only reads the target's clock.
	clockProbe bool
}

// NextHold returns the hold to send now; wait is how long its answer may be delayed.
func (g *Gate) NextHold(now Time, wait time.Duration) Hold {
	h := Hold{Incarnation: g.current, sent: now}
	if g.fence == 0 {
		h.clockProbe = true
		h.Call.Fence = g.probeFence
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
	if g.mayAcknowledge(now) {
		h.Call.Seen = g.seen
	}
	if g.lapsing {
		h.Call.WaitMS = 0
		return h
	}
	if g.holdsUnanswered(now) || !g.runsListed || g.deregistered() {
		return h
	}
	h.Call.UntilMS = g.extendLease(now)
	return h
}

// ackWindow is how long after the target's newest answer ends may be acknowledged. A target
// that restarts while a hold waits numbers its ends anew, and an acknowledgement sent beside
// that hold would make it drop an unreported end, and the task would run again.
const ackWindow = 20 * time.Millisecond

// mayAcknowledge reports whether the current incarnation is known to be running. A newer one
// would take the number for its own and drop that many unreported ends; any failed call may
// mean that the target has restarted.
func (g *Gate) mayAcknowledge(now Time) bool {
	return g.confirmed && now-g.lastHoldAnswer <= ackWindow
}

// hasUnsentAcks reports whether ends can be acknowledged that no hold has acknowledged yet.
func (g *Gate) hasUnsentAcks() bool {
	return g.confirmed && g.seen > g.seenSent
}

// holdsPerLease limits the wait of a hold to a fraction of the lease, so that a short lease
// does not expire before the next hold arrives: with a lease of 200 ms, a hold that waits
// 150 ms leaves too little time.
const holdsPerLease = 4

// holdsUnanswered reports whether holds have gone unanswered for so long that the lease is no
// longer extended, so that its end is known.
func (g *Gate) holdsUnanswered(now Time) bool {
	return now-g.lastHoldAnswer > maxHoldSilence
}

// maxHoldSilence is how long holds extend the lease without being answered.
const maxHoldSilence = 700 * time.Millisecond

// OnHold handles the answer to a hold.
func (g *Gate) OnHold(now Time, h Hold, a Answer, lists HoldAnswer, err error) Actions {
	if h.Incarnation.ID != g.current.ID {
		return Actions{}
	}
	if err != nil {
		if h.Incarnation != g.current {
			return Actions{}
		}
		g.recordAnswer(now, a, err)
		if h.sent >= g.confirmedBy {
			g.confirmed = false
		}
		return g.onHoldFailed(now, h, a, err)
	}
	g.recordContact(now)
	former := g.current
	if !g.checkAnswerer(now, h, a) {
		g.confirmed = false
		return Actions{HoldNow: g.current != former}
	}
	if g.clockBegunAnew(h, a) {
		g.resetClock(now, a.ClockMS)
	}
	g.updateClock(now, a.ClockMS)
	g.confirmRecalled()
	if a.ClockMS < g.listedMS {
		// Answers on different connections can arrive out of order.
		g.skipLists(now, a)
		return Actions{}
	}
	g.listGapMS = a.ClockMS - g.listedMS
	g.listedMS = a.ClockMS
	g.lastHoldAnswer = now
	if h.sent >= g.confirmedBy {
		g.confirmed = true
		g.confirmedBy = h.sent
	}
	if h.clockProbe {
		if a.ClockMS == 0 {
			return Actions{}
		}
		if g.fence == 0 {
			g.raiseFence()
		}
		g.grantedMS = max(g.grantedMS, a.ClockMS+g.options.Lease.Milliseconds())
		return Actions{HoldNow: true}
	}
	if h.Call.Fence != g.fence {
		return Actions{}
	}
	g.seenSent = max(g.seenSent, h.Call.Seen)
	g.checkCold(now)
	g.processFinished(now, lists.Finished)
	g.processRunning(now, h, lists)
	g.markRunsListed(a)
	g.finishLapse(a)
	g.advanceSeen()
	g.stopOverdue(now)
	return g.startFromQueue(now, g.sendStops(now, Actions{HoldNow: g.hasUnsentAcks()}))
}

// markRunsListed records that the target has listed the runs left by earlier processes, or by
// orders to its previous incarnation. These may have been granted the longest lease.
func (g *Gate) markRunsListed(a Answer) {
	if g.runsListed {
		return
	}
	g.runsListed = true
	g.grantedMS = max(g.grantedMS, a.ClockMS+g.options.Lease.Milliseconds())
}

func (g *Gate) onHoldFailed(now Time, h Hold, a Answer, err error) Actions {
	switch {
	case errors.Is(err, ErrFenced):
		// An earlier process of this gate has used a higher token.
		g.onFenced(h.Call.Fence)
		g.grantedMS = max(g.grantedMS, a.ClockMS+g.options.Lease.Milliseconds())
		return Actions{HoldNow: true}
	case errors.Is(err, ErrNotListening) && g.endsDeregistered(h):
		g.endIncarnation(now, false)
		return g.adoptCandidate(now, "")
	case errors.Is(err, ErrOtherIncarnation):
		if g.current.named() {
			return g.onTurnedAway(now, a.Incarnation.ID)
		}
	}
	return g.Tick(now)
}

// finish marks a run as ended and reports it to its owner.
func (g *Gate) finish(now Time, r *run, kind EndKind, ran time.Duration) {
	r.phase = phaseEnded
	r.end = kind
	r.ran = ran
	g.health.ended(now, r)
	g.recordSpeed(now, r)
	if r.discarded {
		r.discarded = false
		g.discard(now, r)
	}
	g.sendState(r)
	g.reportChanged()
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
	r.acknowledged = true
	g.sendState(r)
	g.removeIfAcknowledged(r)
}

// rejectQueued removes a run from the queue and rejects it.
func (g *Gate) rejectQueued(r *run, reason string) {
	g.queue.remove(r)
	g.reject(r, reason)
}

// acknowledgeable reports whether the target may forget the end. The end of a best-effort run
// needs no verdict, since nothing durable depends on it.
func (r *run) acknowledgeable() bool {
	return (r.acknowledged || r.bestEffort) && !r.discarded
}

// advanceSeen advances the number up to which ends may be acknowledged.
func (g *Gate) advanceSeen() {
	for {
		r := g.listed[g.seen+1]
		if r == nil || !r.acknowledgeable() {
			return
		}
		g.seen++
		delete(g.listed, g.seen)
		g.removeIfAcknowledged(r)
	}
}

// lapse lets the target's lease expire, so that the listed end of a run does not count. Nothing
// starts until then, and the active runs end with the lease.
func (g *Gate) lapse(r *run) {
	r.discarded = true
	g.counts.EndsDiscarded++
	if !g.lapsing {
		g.lapsing = true
		g.counts.Lapses++
	}
}

// finishLapse ends the lapse once the target's lease has certainly expired; discarded ends can
// then be acknowledged.
func (g *Gate) finishLapse(a Answer) {
	if !g.lapsing || a.ClockMS <= g.leaseEndMS() {
		return
	}
	g.lapsing = false
	for _, r := range g.listed {
		if r.discarded {
			r.discarded = false
			r.acknowledged = true
		}
	}
	g.reportChanged()
}

func (g *Gate) removeIfAcknowledged(r *run) {
	if r.phase != phaseEnded || !r.acknowledged {
		return
	}
	if r.number != 0 && r.number > g.seen {
		return
	}
	if g.runs[r.RunName] == r {
		delete(g.runs, r.RunName)
	}
}

// HasUnacknowledged reports whether ends wait for their owners' verdicts.
func (g *Gate) HasUnacknowledged() bool {
	return len(g.listed) > 0
}

// Confirmed reports whether nothing suggests that the target has restarted.
func (g *Gate) Confirmed() bool { return g.confirmed }

// SuspectRestart records that the target may have restarted, for example because a hold is
// overdue. Only a hold that is sent from now on resolves the suspicion.
func (g *Gate) SuspectRestart(now Time) {
	g.confirmed = false
	g.confirmedBy = max(g.confirmedBy, now)
}

// Lapsing reports whether the gate is letting the lease expire.
func (g *Gate) Lapsing() bool { return g.lapsing }
