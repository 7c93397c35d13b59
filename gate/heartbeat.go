package gate

// This file handles the target's heartbeats.

// OnHeartbeat handles a heartbeat. It returns false if the heartbeat is not trusted: it is of
// an incarnation that has ended or can't be identified, or of another service.
func (g *Gate) OnHeartbeat(now Time, b Heartbeat) (Actions, bool) {
	switch {
	case g.endedIncarnations[b.Incarnation], g.deregistered() && b.Incarnation == g.current:
		return Actions{}, false
	case g.current.ambiguous(b.Incarnation), g.namesOtherService(b):
		g.skipHeartbeat(now, b)
		return Actions{}, false
	case b.Incarnation == g.current:
		if b.Sequence < g.sequence {
			g.applyLateHeartbeat(now, b)
			return Actions{}, true
		}
	case g.identifies(b.Incarnation):
		if g.current.Born == 0 && g.listedMS != 0 {
			g.identifyListed(now, b.Incarnation)
			g.applyHeartbeat(now, b)
			return g.startFromQueue(now, Actions{HoldNow: true}), true
		}
		g.current = b.Incarnation
	case g.currentAnswers(now) || g.mayHaveRuns(now):
		return g.addCandidate(now, b), true
	default:
		sameID := b.Incarnation.ID == g.callID()
		g.replaceIncarnation(now, b.Incarnation, sameID)
		if sameID {
			g.applyHeartbeat(now, b)
			return g.fenceFormerIncarnation(now, b.ClockMS), true
		}
	}
	g.applyHeartbeat(now, b)
	return g.startFromQueue(now, Actions{HoldNow: g.fence == 0}), true
}

// fenceFormerIncarnation makes the next call to a restarted target carry a new fencing token.
// Once the target has seen it, calls meant for the previous incarnation are no longer carried
// out. The heartbeat's clock replaces the clock probe.
func (g *Gate) fenceFormerIncarnation(now Time, clockMS int64) Actions {
	if clockMS != 0 {
		g.resetClock(now, clockMS)
		g.raiseFence()
	}
	return Actions{ReplaceHolds: true}
}

// applyHeartbeat applies a heartbeat of the current incarnation.
func (g *Gate) applyHeartbeat(arrived Time, b Heartbeat) {
	g.known = true
	g.sequence = b.Sequence
	g.service = b.Service
	g.capacity = b.Capacity
	g.labels = b.Labels
	g.rejectTooLarge()
	g.draining = g.draining || b.Draining || g.recalledDraining()
	g.updateLifetime(arrived, b)
	g.reportChanged()
}

// namesOtherService reports whether a heartbeat names a service other than the configured one
// and therefore comes from another sender.
func (g *Gate) namesOtherService(b Heartbeat) bool {
	return g.options.Service != "" && b.Service != g.options.Service
}

// applyLateHeartbeat handles a heartbeat that arrived after a newer one. Only draining and the
// announced times count, since they are never taken back.
func (g *Gate) applyLateHeartbeat(now Time, b Heartbeat) {
	g.skipHeartbeat(now, b)
	g.updateLifetime(now, b)
	if b.Draining && !g.draining {
		g.draining = true
		g.reportChanged()
	}
}

// identifies reports whether a heartbeat's incarnation can be the current one, whose id is not
// known yet.
func (g *Gate) identifies(incarnation Incarnation) bool {
	return !g.current.named() && g.fence != 0 && (g.current.Born == 0 || g.current.Born == incarnation.Born)
}

// currentAnswers reports whether the target has recently answered calls that name the current
// incarnation. A heartbeat of another one may then be a delayed one of an incarnation that only
// an earlier process of this gate knew; the answer to the next call decides.
func (g *Gate) currentAnswers(now Time) bool {
	return (g.known || g.listedMS != 0) && g.current != Incarnation{} && !g.targetSilent(now)
}

// mayHaveRuns reports whether runs of the current incarnation may be active, judging by its
// lease.
func (g *Gate) mayHaveRuns(now Time) bool {
	return !g.leaseOver(now) && g.hasActiveRuns()
}
