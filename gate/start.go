package gate

import (
	"errors"
)

// startFromQueue starts what fits, in the order of rank.
func (g *Gate) startFromQueue(now Time, a Actions) Actions {
	a.Life = g.life
	g.tellOpen(now)
	if !g.Open(now) || !g.life.named() {
		g.rejectQueue("closed")
		return a
	}
	var aside []*run
	for r := g.queue.first(); r != nil; r = g.queue.first() {
		next := g.nextStep(now, r)
		if next == stepWaitAll {
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

// startStep is what to do with the run that is next in the queue.
type startStep int

const (
	stepStart startStep = iota
	// stepSetAside: the run waits although there may be room for it; those after it don't
	// wait for it.
	stepSetAside
	// stepReject: the run's owner is out of contact.
	stepReject
	// stepWaitAll: nothing can start now.
	stepWaitAll
)

// nextStep says what to do with the run that is next in the queue.
func (g *Gate) nextStep(now Time, r *run) startStep {
	switch {
	case g.olderRunAtWork(r) || !g.leaseAllowsStart(now, r):
		return stepSetAside
	case g.ownerSilent(now, r):
		return stepReject
	case g.leaseShort(now) || now < g.fullUntil || !g.health.mayStart(now):
		return stepWaitAll
	case !g.capacity.Minus(g.used).Fits(r.need):
		return stepWaitAll
	}
	return stepStart
}

// olderRunAtWork says whether another run of the same task is at work here: of an owner
// that had the job before, or one that is being stopped.
func (g *Gate) olderRunAtWork(r *run) bool {
	for name, other := range g.runs {
		if name.TaskName == r.TaskName && other != r && other.atWork() {
			return true
		}
	}
	return false
}

func (g *Gate) start(now Time, r *run) StartCall {
	r.phase = phaseStarting
	r.started = now
	r.progress = progress{}
	r.untilMS = g.leaseUntil(now, min(now+startLease, g.leaseBound(now)))
	g.grantedMS = max(g.grantedMS, r.untilMS)
	g.used = g.used.Plus(r.need)
	g.health.started(now)
	g.ordered = true
	return StartCall{Name: r.RunName, Spec: r.spec, Need: r.need, Checkpoint: r.checkpoint, UntilMS: r.untilMS, Fence: g.fence}
}

// hasUnclaimed says whether runs of an earlier process are there whose owners,
// and so their needs, are not known yet.
func (g *Gate) hasUnclaimed() bool {
	for _, r := range g.runs {
		if r.owner == "" && r.phase != phaseEnded {
			return true
		}
	}
	return false
}

// atWork says whether a run was started and is not over.
func (r *run) atWork() bool {
	return r.phase != phaseQueued && r.phase != phaseEnded
}

// release gives back the room of a run that is over.
func (g *Gate) release(r *run) {
	if r.atWork() {
		g.used = g.used.Minus(r.need)
	}
}

// OnStart takes in the answer to a start.
func (g *Gate) OnStart(now Time, life Life, c StartCall, ans Answer, err error) Actions {
	r := g.runs[c.Name]
	if life != g.life || r == nil || r.phase != phaseStarting {
		return Actions{}
	}
	g.takeAnswer(now, ans, err)
	switch {
	case err == nil:
		g.setRunning(now, r)
		if !r.bestEffort {
			g.tell(r)
		}
		return Actions{}
	case errors.Is(err, ErrUnanswered):
		r.phase = phaseUnsure
		r.unsureSince = now
		return Actions{HoldNow: true}
	}
	g.release(r)
	if errors.Is(err, ErrNoRoom) && g.hasUnclaimed() {
		// Runs whose needs are not known yet take the room.
		r.phase = phaseQueued
		g.queue.push(r)
		g.fullUntil = now + fullPause
		return Actions{}
	}
	if errors.Is(err, ErrUnhealthy) {
		g.health.turnedAway(now)
	}
	g.reject(r, err.Error())
	g.tellAll()
	return g.startFromQueue(now, Actions{HoldNow: errors.Is(err, ErrFenced)})
}

// OnStop takes in the answer to a stop.
func (g *Gate) OnStop(now Time, life Life, c StopCall, ans Answer, err error) Actions {
	r := g.runs[c.Name]
	if life != g.life || r == nil {
		return Actions{}
	}
	g.takeAnswer(now, ans, err)
	if err == nil {
		r.stopConfirmed = now
		return Actions{HoldNow: true}
	}
	return Actions{}
}
