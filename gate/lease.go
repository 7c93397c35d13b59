package gate

import "time"

// This file holds how far a gate may extend its target's lease. A lease is the only
// thing that ends runs once the gate itself is lost, so it must never reach beyond the
// time by which the runs there have to be over.

// Times of leases.
const (
	// bestEffortLapse is how long after BestEffortContact a run of a job that is not
	// kept may still be at work, if its stop does not take or the gate is lost.
	bestEffortLapse = 400 * time.Millisecond
	// leastLease is the shortest lease worth starting a run with: a start that gets no
	// answer is sent again for orderTimeout.
	leastLease = 100 * time.Millisecond
	// unclaimedPatience is how long runs of an earlier process wait for their owners,
	// before they are stopped. No lease is extended meanwhile. Owners are linked again
	// within 0.15 s; what is left of the lease of a process that was killed 0.5 s ago
	// is 0.35 s.
	unclaimedPatience = 250 * time.Millisecond
)

// mustEndBy returns when a run has to be over at the latest, by what is known now: its
// owner may have been lost right after the newest proof of its life, and the job is then
// taken in or taken over elsewhere. It is zero for a run that no owner answers for: the
// process that started it has given the longest lease that it may have.
func (g *Gate) mustEndBy(r *run) Time {
	contact := g.contactWith(r)
	if contact == 0 {
		return 0
	}
	by := contact + g.options.Contact + g.options.MaxHold
	if r.bestEffort {
		by = contact + g.options.BestEffortContact + bestEffortLapse
	}
	if r.stopBy != 0 {
		return min(by, r.stopBy)
	}
	return by
}

// leaseBound returns the time up to which the target's lease may reach now. Runs that
// wait count: they may be at work before the lease is given anew.
func (g *Gate) leaseBound(now Time) Time {
	bound := now + g.options.MaxHold
	for _, r := range g.runs {
		if r.phase != phaseEnded {
			bound = min(bound, g.mustEndBy(r))
		}
	}
	return bound
}

// leaseUntil returns the time on the target's clock at which a lease must end to be
// over at a time of the gate.
func (g *Gate) leaseUntil(now, end Time) int64 {
	left := float64(end-now) * (1 - clockSlack)
	return g.executorClock(now) + time.Duration(left).Milliseconds()
}

// extendLease returns the end of the lease to ask for with a hold, on the target's
// clock; 0 if none may be given. An earlier hold may have been lost, so that one which
// asks for less can still extend the lease; it never shortens it.
func (g *Gate) extendLease(now Time) int64 {
	until := g.leaseUntil(now, g.leaseBound(now))
	if until <= g.executorClock(now) {
		return 0
	}
	g.grantedMS = max(g.grantedMS, until)
	return until
}

// leaseAllowsStart says whether the lease that was given ends by the time by which a
// run would have to be over.
func (g *Gate) leaseAllowsStart(now Time, r *run) bool {
	return g.grantedMS <= g.leaseUntil(now, g.mustEndBy(r))
}

// leaseOver says whether the lease that was given is surely over.
func (g *Gate) leaseOver(now Time) bool {
	return g.executorClock(now) > g.grantedMS+lapseMargin.Milliseconds()
}

// leaseShort says whether so little lease may be given that nothing can be started.
func (g *Gate) leaseShort(now Time) bool {
	return g.leaseBound(now)-now < leastLease
}
