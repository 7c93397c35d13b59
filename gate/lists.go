package gate

import (
	"time"

	"rackspur/job"
)

// This file handles the lists of running and ended runs with which a target answers a hold.

// processFinished handles the ends that the target lists.
func (g *Gate) processFinished(now Time, ends []Ended) {
	if len(ends) > 0 && len(g.listed) == 0 && ends[0].Number > g.seen+1 {
		// Ends before this one were acknowledged by an earlier process.
		g.seen = ends[0].Number - 1
	}
	for _, e := range ends {
		if e.Number <= g.seen || g.listed[e.Number] != nil {
			continue
		}
		if e.Name == (job.RunName{}) {
			// No owner can accept it, and it must not block the ends after it.
			g.listed[e.Number] = &run{phase: phaseEnded, number: e.Number, acknowledged: true}
			continue
		}
		r := g.runs[e.Name]
		if r == nil {
			r = g.addFoundRun(now, e.Name)
		}
		if r.phase == phaseEnded {
			// The run had been given up before the target listed its end.
			r.number = e.Number
			g.listed[e.Number] = r
			if r.acknowledged && (e.Kind == EndDone || e.Kind == EndFailed) {
				g.lapse(r)
			}
			continue
		}
		if r.phase == phaseQueued {
			// The end is that of another owner's run of the same name, which counted as lost. The
			// target rejects a start of that name from now on.
			g.queue.remove(r)
		}
		g.release(r)
		r.checkpoint = e.Checkpoint
		r.number = e.Number
		g.listed[e.Number] = r
		g.finish(now, r, e.Kind, g.runTime(r))
	}
}

// maxListGap is the longest time between two lists for which a listed end counts as just
// reported: a hold waits for an end, and an overdue one is followed by another.
const maxListGap = holdWait + 2*maxRTO

// runTime returns how long a run that is listed as ended has taken, or 0 if that is unknown
// because its end was heard late. It uses the target's clock: this process may have been
// suspended while the answer waited.
func (g *Gate) runTime(r *run) time.Duration {
	if g.listGapMS > maxListGap.Milliseconds() || r.ofFormerIncarnation {
		return 0
	}
	return time.Duration(max(0, g.listedMS-r.startedMS)) * time.Millisecond
}

// processRunning handles the runs that the target lists as running, and those missing from the
// list.
func (g *Gate) processRunning(now Time, h Hold, lists HoldAnswer) {
	g.reportSilent(false)
	isListed := make(map[job.RunName]bool, len(lists.Running))
	for _, x := range lists.Running {
		isListed[x.Name] = true
		r := g.runs[x.Name]
		if r == nil {
			r = g.addFoundRun(now, x.Name)
			g.setRunning(now, r)
		}
		g.noteListed(r, x)
		if x.Checkpoint != "" {
			r.checkpoint = x.Checkpoint
		}
		g.updateProgress(now, r, x.Percent)
		if r.ofFormerIncarnation {
			r.ofFormerIncarnation = false
			r.startedMS = g.listedMS
		}
		if r.phase == phaseUnknown && !r.mustStop {
			g.setRunning(now, r)
			g.sendState(r)
		}
	}
	g.detectSlowTarget(now)
	g.detectLeaving(now)
	if len(lists.Finished) >= maxListedEnds || lists.Partial {
		return
	}
	for name, r := range g.runs {
		if isListed[name] || r.phase == phaseEnded || r.phase == phaseQueued {
			continue
		}
		switch {
		case r.ofFormerIncarnation:
			g.endLost(now, r, r.overReason)
		case r.phase == phaseUnknown && r.unknownSince < h.sent && !r.mustStop:
			g.requestStop(now, r, StopUnanswered)
		case g.neverStarted(r, h):
			g.endUnlisted(now, r, EndRejected, "unanswered")
		case r.phase == phaseRunning && r.runningSince < h.sent:
			g.endUnlisted(now, r, EndLost, "not listed")
		}
	}
}

// endUnlisted ends a run that the target will never list as ended.
func (g *Gate) endUnlisted(now Time, r *run, kind EndKind, reason string) {
	if kind == EndLost {
		g.recordLost(now, r, reason)
	}
	g.release(r)
	r.acknowledged = true
	r.reason = reason
	g.finish(now, r, kind, 0)
	g.removeIfAcknowledged(r)
}

// endFormerRuns ends the runs of the previous incarnation, which the current one has not
// listed, once none of their starts can be carried out any more.
func (g *Gate) endFormerRuns(now Time) {
	if now-g.begun <= g.longestLease() {
		return
	}
	for _, r := range g.runs {
		if r.ofFormerIncarnation && r.active() {
			g.endLost(now, r, r.overReason)
		}
	}
}

// endRunsAfterLease ends all runs once the lease of an unresponsive target has certainly
// expired.
func (g *Gate) endRunsAfterLease(now Time) {
	if g.fence == 0 || !g.holdsUnanswered(now) || !g.leaseOver(now) {
		return
	}
	g.endRunsAfterSilence(now)
}

// maxListedEnds is the most ends that a target lists at once.
const maxListedEnds = 500

// neverStarted reports whether an unlisted run can no longer start: its stop was answered
// before the hold was sent, or the lease carried by its start has expired.
func (g *Gate) neverStarted(r *run, h Hold) bool {
	if r.phase != phaseUnknown {
		return false
	}
	if r.stopConfirmed != 0 && r.stopConfirmed < h.sent {
		return true
	}
	return r.untilMS < g.clockMS-g.options.Lease.Milliseconds()
}

// addFoundRun adds a run of an earlier process that was found on the target.
func (g *Gate) addFoundRun(now Time, name job.RunName) *run {
	r := &run{RunName: name, phase: phaseStarting, started: now, foundAt: now}
	g.runs[name] = r
	g.record(now, EventFound, r, "")
	for _, o := range g.owners {
		o.inventory = true
		o.notify()
	}
	return r
}
