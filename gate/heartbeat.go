package gate

// This file holds what follows from what a target says of itself.

// OnHeartbeat takes in what the target says of itself. It returns false for a word that
// is not believed: of a life that is over, or of one that can't be told.
func (g *Gate) OnHeartbeat(now Time, b Heartbeat) (Actions, bool) {
	switch {
	case g.pastLives[b.Life]:
		return Actions{}, false
	case g.life.ambiguous(b.Life), g.otherService(b):
		g.passOverHeartbeat(now, b)
		return Actions{}, false
	case b.Life == g.life:
		if b.Sequence < g.sequence {
			g.takeLateHeartbeat(now, b)
			return Actions{}, true
		}
	case g.namedBy(b.Life):
		g.life = b.Life
	case g.answersAs(now) || g.mayBeAtWork(now):
		return g.addClaim(now, b), true
	default:
		crosses := b.Life.ID == g.callsID()
		g.newLife(now, b.Life, crosses)
		if crosses {
			g.describe(b)
			return g.callAfresh(now, b.ClockMS), true
		}
	}
	g.describe(b)
	return g.startFromQueue(now, Actions{HoldNow: g.fence == 0}), true
}

// callAfresh makes the next call to a target that has started again bear a new fencing
// token: from then on nothing is carried out there that was meant for the former life. It
// needs no first look, which tells the clock.
func (g *Gate) callAfresh(now Time, clockMS int64) Actions {
	if clockMS != 0 {
		g.resetClock(now, clockMS)
		g.raiseFence()
	}
	return Actions{HoldAfresh: true}
}

// describe takes in a heartbeat of the life that is known.
func (g *Gate) describe(b Heartbeat) {
	g.known = true
	g.sequence = b.Sequence
	g.service = b.Service
	g.capacity = b.Capacity
	g.labels = b.Labels
	g.draining = g.draining || b.Draining
	g.tellAll()
}

// otherService says whether a heartbeat names another service than the one that the target
// belongs to by the settings: it is another writer's.
func (g *Gate) otherService(b Heartbeat) bool {
	return g.options.Service != "" && b.Service != g.options.Service
}

// takeLateHeartbeat takes in a heartbeat that a newer one has overtaken. A target that
// leaves does not change its mind; all else the newer one has told.
func (g *Gate) takeLateHeartbeat(now Time, b Heartbeat) {
	g.passOverHeartbeat(now, b)
	if b.Draining && !g.draining {
		g.draining = true
		g.tellAll()
	}
}

// namedBy says whether a heartbeat names the life that the gate found when it started,
// and whose id it does not know yet.
func (g *Gate) namedBy(life Life) bool {
	return !g.life.named() && g.fence != 0 && (g.life.Born == 0 || g.life.Born == life.Born)
}

// answersAs says whether the target has just answered calls that name the life that
// is known. A heartbeat of another life may then be one that was held up: an earlier
// process of this gate knew that life, and this one does not. The answer to the next
// call decides.
func (g *Gate) answersAs(now Time) bool {
	return (g.known || g.listedMS != 0) && g.life != Life{} && !g.targetSilent(now)
}

// mayBeAtWork says whether runs of the life that is known may be at work, as far as
// its lease tells.
func (g *Gate) mayBeAtWork(now Time) bool {
	if g.leaseOver(now) {
		return false
	}
	for _, r := range g.runs {
		if r.atWork() {
			return true
		}
	}
	return false
}

// OnDeregister takes in that a life of the target has ended by its own word. If it does
// not tell which, the next call shows whether the target is there.
func (g *Gate) OnDeregister(now Time, life Life) Actions {
	if life != g.life {
		return Actions{HoldNow: g.life.ambiguous(life)}
	}
	g.endLife(now, life.Born != 0)
	return g.takeClaimOf(now, "")
}
