package gate

import (
	"time"

	"rackspur/job"
)

// This file tells the owners of runs that were lost with their target why: a target that crashes
// takes all its runs along, and one of them may have caused it.

// Reasons that are reported with EndLost. An owner may be told again with a later reason.
const (
	// ReasonSilent: the target was silent until its lease was over. It may have crashed.
	ReasonSilent = "target silent"
	// ReasonCrashed: the target's process has ended without having announced it.
	ReasonCrashed = "target crashed"
	// ReasonCrashedUnconfirmed is ReasonCrashed if the run's start was not answered, so that the
	// target may have crashed before.
	ReasonCrashedUnconfirmed = "target crashed about when the run was to start"
	// ReasonCrashedAlone is ReasonCrashed if no other run was active.
	ReasonCrashedAlone = "target crashed under this run alone"
	// ReasonAlive: a target that was silent has not crashed; it answers again.
	ReasonAlive = "target answers again"
)

const (
	// lossKept is how long losses are reported to owners that link anew.
	lossKept = 30 * time.Second
	// maxLosses bounds the losses that are kept.
	maxLosses = 64
)

// loss is a run that was lost with its target.
type loss struct {
	run *run
	at  Time
	// crashReason is the reason to report if the target has crashed.
	crashReason string
}

// crashReason returns the reason to report for an active run if the target has crashed.
func (g *Gate) crashReason(r *run) string {
	switch {
	case g.activeRuns() <= 1:
		return ReasonCrashedAlone
	case r.phase != phaseRunning:
		return ReasonCrashedUnconfirmed
	}
	return ReasonCrashed
}

// endAnnounced reports whether the current incarnation has announced its end, or is not known well
// enough to tell its end from a crash.
func (g *Gate) endAnnounced() bool {
	return !g.current.named() || g.draining || g.deregistered() || g.candidateDraining()
}

// overReasons returns why the runs that are active now are lost if the current incarnation is over.
func (g *Gate) overReasons() map[job.RunName]string {
	reasons := map[job.RunName]string{}
	for name, r := range g.runs {
		switch {
		case !r.active():
		case g.endAnnounced():
			reasons[name] = reasonIncarnationOver
		default:
			reasons[name] = g.crashReason(r)
		}
	}
	return reasons
}

// noteLoss keeps a run that was lost, for owners whose link is broken now.
func (g *Gate) noteLoss(now Time, r *run, crashReason string) *loss {
	if len(g.losses) >= maxLosses {
		g.losses = g.losses[1:]
	}
	l := &loss{run: r, at: now, crashReason: crashReason}
	g.losses = append(g.losses, l)
	return l
}

// reportSilent reports what has become of a target that was silent: it has crashed or not.
func (g *Gate) reportSilent(crashed bool) {
	for _, l := range g.silent {
		reason := ReasonAlive
		if crashed {
			reason = l.crashReason
		}
		l.run = l.run.lostFor(reason)
		g.sendLoss(l.run)
	}
	g.silent = nil
}

// lostFor returns a copy of a lost run with another reason.
func (r *run) lostFor(reason string) *run {
	return &run{RunName: r.RunName, owner: r.owner, bestEffort: r.bestEffort, phase: phaseEnded, end: EndLost, reason: reason, acknowledged: true}
}

// sendLoss reports a lost run of a durable job to its owner, or to all owners if it has none: the job
// may have been taken over. The names of a best-effort job's runs are not unique over time, so that
// an active run may bear the name by now.
func (g *Gate) sendLoss(r *run) {
	if r.bestEffort {
		return
	}
	if o := g.owners[r.owner]; o != nil && o.open {
		o.sendState(r)
		return
	}
	for _, o := range g.owners {
		o.sendState(r)
	}
}

// lossesFor returns the states of the newest losses that concern an owner; see sendLoss.
func (g *Gate) lossesFor(now Time, owner string) (states []RunState) {
	for _, l := range g.losses {
		if l.run.bestEffort || now-l.at > lossKept || g.runs[l.run.RunName] != nil {
			continue
		}
		if o := g.owners[l.run.owner]; l.run.owner == owner || o == nil || !o.open {
			states = append(states, l.run.state())
		}
	}
	return states
}

// endLost ends a run that was lost with its incarnation.
func (g *Gate) endLost(now Time, r *run, reason string) {
	g.endUnlisted(now, r, EndLost, reason)
	if reason != reasonIncarnationOver {
		g.noteLoss(now, r, reason)
	}
}

// endRunsAfterSilence ends the active runs of a target that was silent until its lease was over.
func (g *Gate) endRunsAfterSilence(now Time) {
	reasons := g.overReasons()
	for name, reason := range reasons {
		r := g.runs[name]
		g.endUnlisted(now, r, EndLost, ReasonSilent)
		g.silent = append(g.silent, g.noteLoss(now, r, reason))
	}
}
