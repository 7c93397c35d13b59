package gate

import "time"

// contactWith returns the newest proof that a run's owner lives; ok is false if there is
// none.
func (g *Gate) contactWith(r *run) (contact Time, ok bool) {
	o := g.owners[r.owner]
	switch {
	case o == nil:
		return 0, false
	case r.bestEffort:
		return o.contact, o.contact != 0
	}
	return o.keptContact, o.keptContact != 0
}

// ownerSilent says whether the newest proof that a run's owner lives is too old.
func (g *Gate) ownerSilent(now Time, r *run) bool {
	contact, ok := g.contactWith(r)
	switch {
	case !ok:
		return true
	case r.bestEffort:
		return now-contact > g.options.BestEffortContact
	}
	return now-contact > g.options.Contact
}

// overdue says whether a run has no owner in contact; a run that was found
// waits a moment for one.
func (g *Gate) overdue(now Time, r *run) bool {
	if _, ok := g.contactWith(r); !ok && r.found != 0 {
		return now-r.found > unclaimedPatience
	}
	return g.ownerSilent(now, r)
}

// Tick looks at times: silent owners, stops to send again, runs that stand still.
func (g *Gate) Tick(now Time) Actions {
	g.loseFormer(now)
	g.loseAll(now)
	g.stopOverdue(now)
	g.forgetOwners(now)
	return g.startFromQueue(now, g.stopWhatMust(now, Actions{}))
}

// standstill is how far apart two looks at the gate's times are only if the process has
// stood still: more than two of tickPause.
const standstill = 250 * time.Millisecond

// stopOverdue stops what has no owner in contact any more. If a stop does not take, the
// lease ends the run: it is not extended beyond the run's time. A process that has stood
// still reads the frames that wait first; they may tell of an owner that is in contact.
func (g *Gate) stopOverdue(now Time) {
	stoodStill := now-g.looked > standstill
	g.looked = now
	if stoodStill {
		return
	}
	for _, r := range g.runs {
		if !g.overdue(now, r) {
			continue
		}
		switch r.phase {
		case phaseQueued:
			g.giveBack(r, "owner silent")
		case phaseEnded:
			if r.bestEffort {
				g.abandon(now, r)
				g.advanceSeen()
				continue
			}
			g.judgeOrphan(now, r)
		default:
			g.stopRun(now, r, overdueReason(r))
		}
	}
}

// judgeOrphan decides about an end that no owner has claimed for a long time:
// it is noted after the lease has lapsed, so that it does not count.
func (g *Gate) judgeOrphan(now Time, r *run) {
	if r.noted || r.discarded {
		return
	}
	if r.owner != "" && now-g.contactOf(r.owner) < orphanPatience*g.options.Contact {
		return
	}
	if r.owner == "" && now-r.found < orphanPatience*g.options.Contact {
		return
	}
	g.discard(now, r)
	g.advanceSeen()
}

// orphanPatience is how many contact times an end waits for a new owner.
const orphanPatience = 5

func (g *Gate) contactOf(owner string) Time {
	if o := g.owners[owner]; o != nil {
		return o.contact
	}
	return 0
}

// forgetOwners drops owners that are long silent and own nothing.
func (g *Gate) forgetOwners(now Time) {
	for name, o := range g.owners {
		if o.open || now-max(o.contact, o.connected) < 2*orphanPatience*g.options.Contact {
			continue
		}
		if !g.ownsRuns(name) {
			delete(g.owners, name)
		}
	}
}

func (g *Gate) ownsRuns(owner string) bool {
	for _, r := range g.runs {
		if r.owner == owner {
			return true
		}
	}
	return false
}
