package gate

// candidate is a heartbeat of an incarnation that is not the current one.
type candidate struct {
	Heartbeat
	arrived Time
	// lifetime is what the incarnation's heartbeats have announced so far.
	lifetime lifetime
}

// maxCandidates bounds the candidates that wait for the target's next answer. More than two at
// a time can only be delayed heartbeats.
const maxCandidates = 8

// addCandidate keeps a heartbeat of an unknown incarnation until the target's next answer, and
// requests that answer. If the id is the same, the call carries a new token; see
// fenceFormerIncarnation.
func (g *Gate) addCandidate(now Time, b Heartbeat) Actions {
	g.storeCandidate(now, b)
	if g.current.named() && b.Incarnation.ID != g.current.ID {
		return Actions{HoldNow: true}
	}
	if g.fence != 0 {
		g.raiseFence()
	}
	// If another incarnation answers, acknowledgements would make it drop its own ends.
	g.SuspectRestart(now)
	return Actions{ReplaceHolds: true}
}

// storeCandidate keeps the newest heartbeat of each unknown incarnation.
func (g *Gate) storeCandidate(now Time, b Heartbeat) {
	var announced lifetime
	announced.update(now, b)
	for i, c := range g.candidates {
		if c.Incarnation != b.Incarnation {
			continue
		}
		announced.merge(c.lifetime)
		if b.Sequence < c.Sequence {
			g.candidates[i].Draining = c.Draining || b.Draining
			g.candidates[i].lifetime = announced
			return
		}
		b.Draining = c.Draining || b.Draining
		g.candidates = append(g.candidates[:i], g.candidates[i+1:]...)
		break
	}
	if len(g.candidates) == maxCandidates {
		g.candidates = g.candidates[1:]
	}
	g.candidates = append(g.candidates, candidate{Heartbeat: b, arrived: now, lifetime: announced})
}

// candidateDraining reports whether a candidate with the current id says that the target
// drains. That heartbeat was acknowledged, so it has to count.
func (g *Gate) candidateDraining() bool {
	for _, c := range g.candidates {
		if c.Draining && c.Incarnation.ID == g.current.ID {
			return true
		}
	}
	return false
}

// dropStaleCandidates drops the heartbeats that arrived before a call was sent which the
// current incarnation has answered: they were delayed.
func (g *Gate) dropStaleCandidates(sent Time) {
	kept := g.candidates[:0]
	for _, c := range g.candidates {
		if c.arrived > sent {
			kept = append(kept, c)
		}
	}
	g.candidates = kept
}

// confirmCandidate applies the newest heartbeat of the current incarnation, if there is one.
func (g *Gate) confirmCandidate() {
	for i := len(g.candidates) - 1; i >= 0; i-- {
		c := g.candidates[i]
		if c.Incarnation == g.current || g.identifies(c.Incarnation) && g.current.Born != 0 {
			g.current = c.Incarnation
			g.lifetime.merge(c.lifetime)
			g.applyHeartbeat(c.arrived, c.Heartbeat)
			break
		}
	}
	g.candidates = nil
}

// adoptCandidate applies the newest heartbeat of another target once the known one rejects
// calls; id is the target that rejected them, or empty if it is unknown.
func (g *Gate) adoptCandidate(now Time, id string) Actions {
	candidates := g.candidates
	g.candidates = nil
	for i := len(candidates) - 1; i >= 0; i-- {
		if c := candidates[i]; !g.endedIncarnations[c.Incarnation] && (id == "" || id == c.Incarnation.ID) {
			a, trusted := g.OnHeartbeat(now, c.Heartbeat)
			if trusted && g.current == c.Incarnation {
				g.lifetime.merge(c.lifetime)
			}
			return a
		}
	}
	return Actions{}
}
