package gate

import (
	"time"

	"rackspur/job"
	"rackspur/speed"
)

// Incarnation identifies a process of the target from its start to its end. A restarted target
// may keep its id, but all its counters start anew. Incarnations are compared by both fields
// and by nothing else.
type Incarnation struct {
	ID string `json:"life"`
	// Born is when the incarnation began, in Unix milliseconds as reported by the target; 0 for
	// targets that do not report it, which take a new id with each start.
	Born int64 `json:"born,omitempty"`
}

// named reports whether the id is known.
func (l Incarnation) named() bool { return l.ID != "" }

// ambiguous reports whether other has the same id but does not identify the incarnation.
func (l Incarnation) ambiguous(other Incarnation) bool {
	return l.ID == other.ID && l.Born != 0 && other.Born == 0
}

// incarnationState is the state that belongs to one incarnation of the target and is reset with
// the next.
type incarnationState struct {
	current Incarnation
	// begun is when the gate learned of the incarnation.
	begun Time
	// idConfirmed is set once a hold that named the id was answered.
	idConfirmed bool
	// formerID is the id of the previous incarnation, whose runs may still be active. While the
	// id is unknown, calls in flight carry formerID.
	formerID string

	// known is set with the first heartbeat, which provides the fields up to sequence.
	known    bool
	service  string
	capacity job.Resources
	labels   []string
	draining bool
	sequence int64

	// fence is the fencing token of all calls but clock probes; 0 before the first answer.
	fence uint64
	// probeFence is the fencing token of clock probes. It is 0 unless the target may have
	// restarted under its id: the probe may then be the first call to the newer incarnation.
	probeFence uint64
	// clockMS was the target's clock at clockAt; 0 before the first answer.
	clockMS int64
	clockAt Time
	// grantedMS is the latest end of a lease that was requested, on the target's clock; it may
	// have been granted.
	grantedMS int64
	// formerGrantedMS is the latest end of a lease that was requested from the previous
	// incarnation under the same id, on its clock. If such a call reaches this incarnation, it
	// is read on this clock. inheritedMS is the latest end of a lease that may have been
	// granted that way.
	formerGrantedMS, inheritedMS int64
	// listedMS is the target's clock reading of the newest processed lists, listGapMS the time
	// on that clock since the lists before.
	listedMS, listGapMS int64
	// confirmed is set while nothing suggests a restart: no other incarnation has sent a
	// heartbeat under the id, and no hold is overdue or has failed. confirmedBy is when the
	// newest hold that delivered lists was sent, or when a restart was first suspected.
	confirmed   bool
	confirmedBy Time
	// runsListed is set once the target has listed the runs left by earlier processes of this
	// gate, or by orders to the previous incarnation.
	runsListed bool
	// succeeded is set once an order was answered by a newer incarnation.
	succeeded bool
	// fullUntil is until when the target is assumed to have no room.
	fullUntil Time

	// seen is the number of the newest end that may be acknowledged, seenSent the newest that a
	// hold has acknowledged; listed holds the ends after seen.
	seen     int64
	seenSent int64
	listed   map[int64]*run
	// deregisteredAt is when the incarnation deregistered while it had runs; 0 if it has not.
	deregisteredAt Time
	// lapsing is set while the gate lets the lease expire.
	lapsing bool
	health  health
	// silent are the runs that were lost because the target was silent.
	silent []*loss
	// lifetime is what the incarnation has announced of its end and of its cold time.
	lifetime lifetime

	// speed holds the newest ratios of run time to estimate.
	speed speed.Window
}

func newIncarnationState(incarnation Incarnation, now Time) incarnationState {
	return incarnationState{current: incarnation, begun: now, clockAt: now, listed: map[int64]*run{}}
}

// checkAnswerer determines which incarnation has answered a hold; it returns false if the
// answer can't be attributed to the current one. An incarnation that answers a call sent after
// another was known is newer than that. An answer to an earlier call may have arrived out of
// order and proves nothing.
func (g *Gate) checkAnswerer(now Time, h Hold, a Answer) bool {
	answered := Incarnation{ID: g.current.ID, Born: a.Incarnation.Born}
	switch {
	case answered == g.current:
		g.idConfirmed = g.current.named()
		g.dropStaleCandidates(h.sent)
		return true
	case g.current.ambiguous(answered), h.sent < g.begun:
		g.skipLists(now, a)
		return false
	case g.current.Born == 0 && g.listedMS == 0:
		g.current = answered
		g.begun = now
		g.idConfirmed = g.current.named()
		g.resetClock(now, a.ClockMS)
		return true
	}
	g.onRestart(now, answered, a.ClockMS)
	return false
}

// fromNewer reports whether the answer to a call that was meant for the current incarnation shows
// that a newer one has taken its place.
func (g *Gate) fromNewer(a Answer) bool {
	return a.Incarnation.Born != 0 && g.current.Born != 0 && a.Incarnation.Born != g.current.Born
}

// lookForNewer requests a hold if an order was answered by a newer incarnation, whose lists are
// needed. The hold carries a higher token, so that it fences that incarnation; those in flight may
// be waiting for the former one.
func (g *Gate) lookForNewer(now Time, a Answer) Actions {
	if !g.fromNewer(a) || g.succeeded {
		return Actions{}
	}
	g.succeeded = true
	if g.fence != 0 {
		g.raiseFence()
	}
	g.SuspectRestart(now)
	return Actions{ReplaceHolds: true}
}

// onRestart handles an answer that shows that the target has restarted under its id. The new
// incarnation's lists count only once it has answered a call with a higher token than all calls
// to the previous one, none of which can be carried out from then on.
func (g *Gate) onRestart(now Time, incarnation Incarnation, clockMS int64) {
	g.markEnded(g.current)
	delete(g.endedIncarnations, incarnation)
	g.replaceIncarnation(now, incarnation, true)
	g.idConfirmed = incarnation.named()
	g.resetClock(now, clockMS)
	g.raiseFence()
	g.confirmCandidate()
	g.confirmRecalled()
	g.reportChanged()
}

// identifyListed sets the id of a target that listed its runs while no call named one. As it does
// not tell when it began, it may have restarted since and must list them again. The clock is kept
// until an answer shows that it has begun anew: leases may still run by it.
func (g *Gate) identifyListed(now Time, incarnation Incarnation) {
	former := g.incarnationState
	g.replaceIncarnation(now, incarnation, true)
	g.clockMS, g.clockAt = former.clockMS, former.clockAt
	g.grantedMS, g.inheritedMS = former.grantedMS, former.inheritedMS
	g.raiseFence()
}

// clockBegunAnew reports whether the answer to a hold shows that the target has restarted since
// its clock was last read.
func (g *Gate) clockBegunAnew(h Hold, a Answer) bool {
	return !g.runsListed && g.clockMS != 0 && a.ClockMS != 0 && h.sent >= g.clockAt && a.ClockMS < g.targetClock(h.sent)
}

// endIncarnation records that the current incarnation has ended for good: a call that named it
// was rejected, or it has deregistered. A heartbeat of another incarnation is no proof, since
// it may have been delayed, and the current one would no longer be trusted. sameID says whether
// the target may return under its id; see replaceIncarnation.
func (g *Gate) endIncarnation(now Time, sameID bool) {
	over := g.current
	g.replaceIncarnation(now, Incarnation{}, sameID)
	g.markEnded(over)
	g.reportChanged()
}

// maxEndedIncarnations bounds the set of ended incarnations. A message of one that was dropped
// from it is taken for a new incarnation's until the target's next answer.
const maxEndedIncarnations = 1000

// markEnded records that an incarnation has ended, so that its messages are no longer trusted.
func (g *Gate) markEnded(incarnation Incarnation) {
	if len(g.endedIncarnations) >= maxEndedIncarnations {
		clear(g.endedIncarnations)
	}
	g.endedIncarnations[incarnation] = true
}

// onTurnedAway handles the rejection of a call that named the current id; id is the target that
// rejected it, or empty if it is unknown. An incarnation that has answered under that id has
// ended. One that has not was given a wrong id, by the store or a delayed heartbeat, and its
// runs may still be active: counting them as lost left two runs of a task active for 48 ms.
func (g *Gate) onTurnedAway(now Time, id string) Actions {
	if g.idConfirmed {
		g.endIncarnation(now, false)
	} else {
		g.forgetID()
	}
	a := g.adoptCandidate(now, id)
	a.HoldNow = true
	return a
}

// forgetID removes the id of the current incarnation and everything reported under it.
func (g *Gate) forgetID() {
	g.markEnded(g.current)
	g.current = Incarnation{Born: g.current.Born}
	g.recalled = Description{}
	g.known = false
	g.draining = false
	g.deregisteredAt = 0
	g.lifetime = lifetime{}
	g.sequence = 0
	g.rejectQueue("target not known")
	g.reportChanged()
}

// replaceIncarnation replaces the current incarnation; the zero value means that the new one is
// not known yet. sameID says whether the new incarnation has, or may have, the id named by
// calls to the previous one, so that it may carry out starts meant for that. Active runs then
// wait for its first lists; otherwise they have ended.
func (g *Gate) replaceIncarnation(now Time, incarnation Incarnation, sameID bool) {
	if sameID && incarnation != (Incarnation{}) {
		g.recordRestart(now, incarnation)
	}
	id := g.callID()
	reasons := g.overReasons()
	g.reportSilent(!g.endAnnounced())
	for name, r := range g.runs {
		switch {
		case r.phase == phaseQueued:
		case r.phase == phaseEnded:
			g.detachEnd(r)
		case sameID:
			r.awaitLists(now, reasons[name])
		default:
			g.endLost(now, r, reasons[name])
		}
	}
	former := max(g.grantedMS, g.formerGrantedMS)
	g.incarnationState = newIncarnationState(incarnation, now)
	if sameID {
		g.formerID = id
		g.formerGrantedMS = former
		g.probeFence = g.nextFence()
	}
	g.rejectQueue("target restarted")
}

// callID returns the id named by the calls in flight.
func (g *Gate) callID() string {
	if g.current.named() {
		return g.current.ID
	}
	return g.formerID
}

// reasonIncarnationOver is the reason given for runs lost with their incarnation.
const reasonIncarnationOver = "the target's life is over"

// detachEnd keeps an end independently of the incarnation that listed it, since it can no
// longer be acknowledged there. It is reported until the owner has accepted it.
func (g *Gate) detachEnd(r *run) {
	r.number = 0
	if r.discarded {
		r.discarded = false
		r.acknowledged = true
	}
	g.removeIfAcknowledged(r)
}

// awaitLists makes an active run of the previous incarnation wait for the first lists of the
// current one, which has the same id.
func (r *run) awaitLists(now Time, overReason string) {
	if !r.ofFormerIncarnation {
		r.overReason = overReason
	}
	r.ofFormerIncarnation = true
	r.phase = phaseUnknown
	r.unknownSince = now
	r.progress = progress{}
	r.stopSent, r.stopConfirmed = 0, 0
}

// knowsRuns reports whether the gate knows all runs on its target: they were listed, or every
// lease granted by an earlier process or an order to the previous incarnation has expired.
func (g *Gate) knowsRuns(now Time) bool {
	return g.runsListed || now-g.begun > g.longestLease()
}

// longestLease returns after what time a previously granted lease has expired even on the
// slowest clock.
func (g *Gate) longestLease() time.Duration {
	return g.options.Lease*103/100 + lapseMargin
}
