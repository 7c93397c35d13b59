package gate

import "time"

// Lease parameters. A target has a single lease for all its runs. If the gate fails, only the
// expiry of the lease ends them, so it must not extend beyond the time by which any run has to
// have ended: mustEndBy returns that time for a run, leaseBound the earliest over all runs.
// When every hold granted a full lease of 1 s, an agent that failed 0.85 s after an owner left
// a run active for 0.53 s beside its replacement (TestAgentLostAfterOwner).
const (
	// bestEffortGrace is how long after BestEffortContactTimeout a best-effort run may still be
	// active if its stop is not carried out or the gate fails.
	bestEffortGrace = 400 * time.Millisecond
	// minStartLease is the shortest lease worth starting a run with: an unanswered start is
	// retried for minOrderTimeout or longer.
	minStartLease = 100 * time.Millisecond
	// unclaimedWait is how long runs of an earlier process wait to be claimed before they are
	// stopped. Owners are linked again within 150 ms. The lease is not extended meanwhile, and
	// 350 ms are left of it if the process was killed 0.5 s ago. Extending it left a run of a
	// lost owner active for 1.35 s beside its replacement (TestAgentRestartedAfterOwner).
	unclaimedWait = 250 * time.Millisecond
)

// mustEndBy returns when a run has to have ended at the latest. Its owner may have failed right
// after the last contact, and its job may then be resubmitted or taken over elsewhere. ok is
// false for a run without a known owner: its lease was granted by an earlier process.
func (g *Gate) mustEndBy(r *run) (by Time, ok bool) {
	contact, ok := g.lastContact(r)
	if !ok {
		return 0, false
	}
	by = contact + g.options.ContactTimeout + g.options.Lease
	if r.bestEffort {
		by = contact + g.options.BestEffortContactTimeout + bestEffortGrace
	}
	if r.stopBy != 0 {
		by = min(by, r.stopBy)
	}
	return by, true
}

// leaseBound returns the time up to which the target's lease may extend; now or earlier if it
// must not be extended. Queued runs count, since they may start before the lease is renewed.
func (g *Gate) leaseBound(now Time) Time {
	bound := now + g.options.Lease
	for _, r := range g.runs {
		if r.phase == phaseEnded {
			continue
		}
		by, ok := g.mustEndBy(r)
		if !ok {
			return now
		}
		bound = min(bound, by)
	}
	return bound
}

// leaseUntil converts the end of a lease to the target's clock, early enough for a slow clock.
func (g *Gate) leaseUntil(now, end Time) int64 {
	left := float64(end-now) * (1 - clockSlack)
	return g.targetClock(now) + time.Duration(left).Milliseconds()
}

// extendLease returns the end of the lease to request with a hold, on the target's clock; 0 if
// the lease must not be extended. An earlier hold may have been lost, so a hold that requests
// less can still extend the lease; it never shortens it.
func (g *Gate) extendLease(now Time) int64 {
	until := g.leaseUntil(now, g.leaseBound(now))
	if until <= g.targetClock(now) {
		return 0
	}
	g.grantedMS = max(g.grantedMS, until)
	return until
}

// leaseAllowsStart reports whether the granted lease ends by the time at which the run would
// have to have ended.
func (g *Gate) leaseAllowsStart(now Time, r *run) bool {
	by, ok := g.mustEndBy(r)
	return ok && g.grantedMS <= g.leaseUntil(now, by)
}

// leaseEndMS returns the latest end of the lease that the target may hold, on its clock. This
// includes leases requested from the previous incarnation, whose clock may have been ahead:
// without them, runs were considered ended 2 s before a lease granted that way expired.
func (g *Gate) leaseEndMS() int64 { return max(g.grantedMS, g.inheritedMS) }

// leaseOver reports whether the granted lease has certainly expired. Before the incarnation's first
// answer it may be one that was requested from the previous incarnation.
func (g *Gate) leaseOver(now Time) bool {
	if g.clockMS == 0 {
		return now-g.begun > g.longestLease()
	}
	return g.targetClock(now) > g.leaseEndMS()+lapseMargin.Milliseconds()
}

// leaseShort reports whether the lease that may be granted is too short to start anything.
func (g *Gate) leaseShort(now Time) bool {
	return g.leaseBound(now)-now < minStartLease
}

// leaseLeft returns the time left of the granted lease, on the target's clock.
func (g *Gate) leaseLeft(now Time) time.Duration {
	return time.Duration(max(0, g.leaseEndMS()-g.targetClock(now))) * time.Millisecond
}
