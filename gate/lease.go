package gate

import "time"

// Times of leases. A target has one lease for all its runs. It is the only thing that ends
// them once the gate is lost, so it must not reach beyond the time by which any of them
// has to be over: mustEndBy is that time of a run, leaseBound the earliest of them. With
// a lease of 1 s from each hold, an agent lost 0.85 s after an owner left a run at work for
// 0.53 s beside the one that the next owner had started (TestAgentLostAfterOwner).
const (
	// bestEffortLapse is how long after BestEffortContact a run of a job that is not
	// kept may still be at work, if its stop does not take or the gate is lost.
	bestEffortLapse = 400 * time.Millisecond
	// leastLease is the shortest lease worth starting a run with: a start that gets no
	// answer is sent again for orderTimeout.
	leastLease = 100 * time.Millisecond
	// unclaimedPatience is how long runs of an earlier process wait for their owners,
	// before they are stopped. No lease is extended meanwhile: that kept a run of a lost
	// owner at work for 1.35 s beside the next one (TestAgentRestartedAfterOwner). Owners
	// are linked again within 0.15 s; what is left of the lease of a process that was
	// killed 0.5 s ago is 0.35 s.
	unclaimedPatience = 250 * time.Millisecond
)

// mustEndBy returns when a run has to be over at the latest, by what is known now: its
// owner may have been lost right after the newest proof of its life, and the job is then
// taken in or taken over elsewhere. ok is false for a run that no owner answers for: the
// process that started it has given the longest lease that it may have.
func (g *Gate) mustEndBy(r *run) (by Time, ok bool) {
	contact, ok := g.contactWith(r)
	if !ok {
		return 0, false
	}
	by = contact + g.options.Contact + g.options.Lease
	if r.bestEffort {
		by = contact + g.options.BestEffortContact + bestEffortLapse
	}
	if r.stopBy != 0 {
		by = min(by, r.stopBy)
	}
	return by, true
}

// leaseBound returns the time up to which the target's lease may reach now; that is now,
// or before, if it may not be extended. Runs that wait count: they may be at work before
// the lease is given anew.
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

// leaseUntil returns the time on the target's clock at which a lease must end to be
// over at a time of the gate.
func (g *Gate) leaseUntil(now, end Time) int64 {
	left := float64(end-now) * (1 - clockSlack)
	return g.targetClock(now) + time.Duration(left).Milliseconds()
}

// extendLease returns the end of the lease to ask for with a hold, on the target's
// clock; 0 if none may be given. An earlier hold may have been lost, so that one which
// asks for less can still extend the lease; it never shortens it.
func (g *Gate) extendLease(now Time) int64 {
	until := g.leaseUntil(now, g.leaseBound(now))
	if until <= g.targetClock(now) {
		return 0
	}
	g.grantedMS = max(g.grantedMS, until)
	return until
}

// leaseAllowsStart says whether the lease that was given ends by the time by which a
// run would have to be over.
func (g *Gate) leaseAllowsStart(now Time, r *run) bool {
	by, ok := g.mustEndBy(r)
	return ok && g.grantedMS <= g.leaseUntil(now, by)
}

// leaseEndMS returns the end of the longest lease that the target may have, on its clock. A newer
// life whose clock was behind had one of 4.5 s by a hold that was meant for the former one: its
// runs counted as over 2 s too early.
func (g *Gate) leaseEndMS() int64 { return max(g.grantedMS, g.leasedMS) }

// leaseOver says whether the lease that was given is surely over.
func (g *Gate) leaseOver(now Time) bool {
	return g.targetClock(now) > g.leaseEndMS()+lapseMargin.Milliseconds()
}

// leaseShort says whether so little lease may be given that nothing can be started.
func (g *Gate) leaseShort(now Time) bool {
	return g.leaseBound(now)-now < leastLease
}

// leaseLeft returns how much of the newest lease is left, by the target's clock.
func (g *Gate) leaseLeft(now Time) time.Duration {
	return time.Duration(max(0, g.leaseEndMS()-g.targetClock(now))) * time.Millisecond
}
