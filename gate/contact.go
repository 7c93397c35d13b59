package gate

import "time"

// lastContact returns when a run's owner is last known to have been alive; ok is false if that
// is unknown.
func (g *Gate) lastContact(r *run) (contact Time, ok bool) {
	o := g.owners[r.owner]
	switch {
	case o == nil:
		return 0, false
	case r.bestEffort:
		return o.contact, o.contact != 0
	}
	return o.durableContact, o.durableContact != 0
}

// ownerSilent reports whether the last contact with a run's owner is too long ago.
func (g *Gate) ownerSilent(now Time, r *run) bool {
	contact, ok := g.lastContact(r)
	switch {
	case !ok:
		return true
	case r.bestEffort:
		return now-contact > g.options.BestEffortContactTimeout
	}
	return now-contact > g.options.ContactTimeout
}

// overdue reports whether a run has no owner in contact. A run that was found on the target
// gets some time to be claimed.
func (g *Gate) overdue(now Time, r *run) bool {
	if _, ok := g.lastContact(r); !ok && r.foundAt != 0 {
		return now-r.foundAt > unclaimedWait
	}
	return g.ownerSilent(now, r)
}

// Tick handles everything that depends on elapsed time.
func (g *Gate) Tick(now Time) Actions {
	g.checkCold(now)
	g.endFormerRuns(now)
	g.endRunsAfterLease(now)
	g.stopOverdue(now)
	g.forgetOwners(now)
	return g.startFromQueue(now, g.sendStops(now, Actions{}))
}

// maxTickGap is the time between two checks beyond which the process must have been suspended;
// it exceeds twice tickInterval.
const maxTickGap = 250 * time.Millisecond

// stopOverdue stops the runs whose owner is out of contact. If a stop is not carried out, the
// run ends with the lease, which is not extended beyond the run's time. After a suspension of
// the process the check is skipped once, since frames of live owners may be waiting to be read.
func (g *Gate) stopOverdue(now Time) {
	suspended := now-g.lastOverdueCheck > maxTickGap
	g.lastOverdueCheck = now
	if suspended {
		return
	}
	for _, r := range g.runs {
		if !g.overdue(now, r) {
			continue
		}
		switch r.phase {
		case phaseQueued:
			g.rejectQueued(r, "owner silent")
		case phaseEnded:
			if r.bestEffort {
				g.abandon(now, r)
				g.advanceSeen()
				continue
			}
			g.discardOrphan(now, r)
		default:
			g.requestStop(now, r, overdueReason(r))
		}
	}
}

// discardOrphan discards an end that no owner has accepted for a long time. It is acknowledged
// after the lease has expired, so that it does not count.
func (g *Gate) discardOrphan(now Time, r *run) {
	if r.acknowledged || r.discarded {
		return
	}
	if r.owner != "" && now-g.contactOf(r.owner) < orphanContacts*g.options.ContactTimeout {
		return
	}
	if r.owner == "" && now-r.foundAt < orphanContacts*g.options.ContactTimeout {
		return
	}
	g.discard(now, r)
	g.advanceSeen()
}

// orphanContacts is how long an end waits for a new owner, in multiples of
// Options.ContactTimeout.
const orphanContacts = 5

func (g *Gate) contactOf(owner string) Time {
	if o := g.owners[owner]; o != nil {
		return o.contact
	}
	return 0
}

// forgetOwners removes owners that have been silent for long and own no runs.
func (g *Gate) forgetOwners(now Time) {
	for name, o := range g.owners {
		if o.open || now-max(o.contact, o.connected) < 2*orphanContacts*g.options.ContactTimeout {
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
