package gate

import (
	"errors"
	"time"
)

// startFromQueue starts as many queued runs as fit, in order of rank.
func (g *Gate) startFromQueue(now Time, a Actions) Actions {
	a.Incarnation = g.current
	g.reportOpen(now)
	if !g.Open(now) || !g.current.named() {
		g.rejectQueue("closed")
		return a
	}
	var aside []*run
	for r := g.queue.first(); r != nil; r = g.queue.first() {
		next := g.nextStep(now, r)
		if next == stepBlocked {
			break
		}
		g.queue.pop()
		switch next {
		case stepSetAside:
			aside = append(aside, r)
		case stepReject:
			g.reject(r, "owner silent")
		default:
			a.Starts = append(a.Starts, g.start(now, r))
		}
	}
	for _, r := range aside {
		g.queue.push(r)
	}
	return a
}

// reasonTooLarge is why a run is rejected that the target can never hold.
const reasonTooLarge = "too large"

// rejectTooLarge rejects the queued runs that the target can't hold any more: its capacity has shrunk.
func (g *Gate) rejectTooLarge() {
	for _, r := range g.queue.takeAll() {
		if g.capacity.Fits(r.need) {
			g.queue.push(r)
			continue
		}
		g.reject(r, reasonTooLarge)
	}
}

// startStep says how to handle the run at the head of the queue.
type startStep int

const (
	stepStart startStep = iota
	// stepSetAside: the run must wait for a reason of its own and does not block those behind
	// it.
	stepSetAside
	// stepReject: the run's owner is out of contact.
	stepReject
	// stepBlocked: no run can start now.
	stepBlocked
)

// nextStep decides how to handle the run at the head of the queue.
func (g *Gate) nextStep(now Time, r *run) startStep {
	switch {
	case g.olderRunActive(r) || !g.leaseAllowsStart(now, r):
		return stepSetAside
	case g.ownerSilent(now, r):
		return stepReject
	case g.leaseShort(now) || now < g.fullUntil || !g.health.mayStart(now):
		return stepBlocked
	case !g.capacity.Minus(g.used).Fits(r.need):
		return stepBlocked
	case r.alone && g.activeRuns() > 0 && now-r.arrived < maxAloneWait:
		return stepBlocked
	case g.aloneActive(now):
		return stepBlocked
	}
	return stepStart
}

const (
	// maxAloneWait is how long a run that is to be alone waits until the others have ended, which
	// keeps those behind it waiting too.
	maxAloneWait = 2 * time.Second
	// maxAloneTime is how long a run that is to be alone keeps others from starting.
	maxAloneTime = 5 * time.Second
)

// aloneActive reports whether a run is active beside which no other is to start.
func (g *Gate) aloneActive(now Time) bool {
	for _, r := range g.runs {
		if r.alone && r.active() && now-r.started < maxAloneTime {
			return true
		}
	}
	return false
}

// olderRunActive reports whether another run of the same task is active here: one of a previous
// owner of the job, or one that is being stopped.
func (g *Gate) olderRunActive(r *run) bool {
	for name, other := range g.runs {
		if name.TaskName == r.TaskName && other != r && other.active() {
			return true
		}
	}
	return false
}

func (g *Gate) start(now Time, r *run) StartCall {
	r.phase = phaseStarting
	r.started = now
	r.startedMS = g.targetClock(now)
	r.progress = progress{}
	r.untilMS = g.leaseUntil(now, min(now+startLease, g.leaseBound(now)))
	g.grantedMS = max(g.grantedMS, r.untilMS)
	g.used = g.used.Plus(r.need)
	g.health.started(now)
	g.ordered = true
	return StartCall{Name: r.RunName, Spec: r.spec, Need: r.need, Checkpoint: r.checkpoint, UntilMS: r.untilMS, Fence: g.fence}
}

// hasUnclaimedRuns reports whether there are active runs of an earlier process that no owner
// has claimed, so that their resource needs are unknown.
func (g *Gate) hasUnclaimedRuns() bool {
	for _, r := range g.runs {
		if r.owner == "" && r.phase != phaseEnded {
			return true
		}
	}
	return false
}

// active reports whether a run was started and has not ended.
func (r *run) active() bool {
	return r.phase != phaseQueued && r.phase != phaseEnded
}

// release frees the resources of a run that is ending.
func (g *Gate) release(r *run) {
	if r.active() {
		g.used = g.used.Minus(r.need)
	}
}

// OnStart handles the answer to a start.
func (g *Gate) OnStart(now Time, incarnation Incarnation, c StartCall, ans Answer, err error) Actions {
	if incarnation != g.current {
		return Actions{}
	}
	look := g.lookForNewer(now, ans)
	r := g.runs[c.Name]
	if r == nil || r.phase != phaseStarting {
		return look
	}
	g.recordAnswer(now, ans, err)
	switch {
	case err == nil:
		g.setRunning(now, r)
		if !r.bestEffort {
			g.sendState(r)
		}
		return look
	case errors.Is(err, ErrUnanswered):
		r.phase = phaseUnknown
		r.unknownSince = now
		look.HoldNow = true
		return look
	}
	g.release(r)
	if errors.Is(err, ErrNoRoom) && g.hasUnclaimedRuns() && !r.mustStop {
		// Unclaimed runs, whose needs are unknown, take up the room.
		r.phase = phaseQueued
		g.queue.push(r)
		g.fullUntil = now + fullPause
		return Actions{}
	}
	if errors.Is(err, ErrUnhealthy) {
		g.health.extendBackoff(now)
	}
	g.reject(r, err.Error())
	g.reportChanged()
	if g.fromNewer(ans) {
		return look
	}
	return g.startFromQueue(now, Actions{HoldNow: errors.Is(err, ErrFenced)})
}

// OnStop handles the answer to a stop.
func (g *Gate) OnStop(now Time, incarnation Incarnation, c StopCall, ans Answer, err error) Actions {
	if incarnation != g.current {
		return Actions{}
	}
	look := g.lookForNewer(now, ans)
	r := g.runs[c.Name]
	if r == nil {
		return look
	}
	g.recordAnswer(now, ans, err)
	if err == nil {
		r.stopConfirmed = now
		look.HoldNow = true
	}
	return look
}
