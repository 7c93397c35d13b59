package gate

// OnDeregister handles the deregistration of an incarnation. If it does not identify one, the
// next call shows whether the target is still there.
//
// The process may go on for some time, for instance until it gets the answer. Runs of a target that
// keeps its id over a restart wait for the next lists; those of any other are stopped, and end once
// a list, a refused connection, another incarnation's answer or the end of the lease shows that they
// are over.
func (g *Gate) OnDeregister(now Time, incarnation Incarnation) Actions {
	if incarnation != g.current {
		return Actions{HoldNow: g.current.ambiguous(incarnation)}
	}
	// Only targets that may keep their id over a restart report when they began.
	keepsID := incarnation.Born != 0
	if keepsID || !g.hasActiveRuns() {
		g.endIncarnation(now, keepsID)
		return g.adoptCandidate(now, "")
	}
	g.deregisteredAt = now
	g.rejectQueue("target deregistered")
	for _, r := range g.runs {
		if r.active() {
			g.requestStop(now, r, StopDeregistered)
		}
	}
	g.reportChanged()
	return g.sendStops(now, Actions{HoldNow: true})
}

// deregistered reports whether the current incarnation has deregistered.
func (g *Gate) deregistered() bool { return g.deregisteredAt != 0 }

// endsDeregistered reports whether a hold that was refused shows that a deregistered incarnation
// has ended. One that was sent before the deregistration may have been refused for another
// reason.
func (g *Gate) endsDeregistered(h Hold) bool {
	return g.deregistered() && h.sent >= g.deregisteredAt
}

// hasActiveRuns reports whether any run was started and has not ended.
func (g *Gate) hasActiveRuns() bool {
	for _, r := range g.runs {
		if r.active() {
			return true
		}
	}
	return false
}
