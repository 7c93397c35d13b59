package gate

import (
	"math"
	"time"

	"rackspur/leaving"
)

// This file handles targets that leave and cold targets.

// ReasonLeaving is reported with a run that can't end before the target's process ends.
const ReasonLeaving = "leaving"

// deadline is a time by which something that the target announced is over. Each heartbeat can
// only move it to an earlier time: one that arrives late seems to tell more time than is left.
type deadline struct {
	// clockMS is the time on the target's clock, from heartbeats that carry its clock; 0 if
	// unknown.
	clockMS int64
	// at is the time on the gate's clock, counted from the arrival of heartbeats and so never too
	// early; 0 if unknown.
	at Time
}

// known reports whether the target has announced the deadline.
func (d deadline) known() bool { return d.at != 0 }

// update applies a heartbeat's time left; 0 tells nothing.
func (d *deadline) update(arrived Time, clockMS int64, left time.Duration) {
	if left <= 0 {
		return
	}
	told := deadline{at: arrived + left}
	if clockMS > 0 && clockMS <= math.MaxInt64-left.Milliseconds() {
		told.clockMS = clockMS + left.Milliseconds()
	}
	d.merge(told)
}

// merge takes the earlier of two announcements.
func (d *deadline) merge(other deadline) {
	if other.clockMS != 0 && (d.clockMS == 0 || other.clockMS < d.clockMS) {
		d.clockMS = other.clockMS
	}
	if other.at != 0 && (d.at == 0 || other.at < d.at) {
		d.at = other.at
	}
}

// left returns the time left; it is negative once the deadline has passed. clockMS is the target's
// clock; 0 if it is unknown.
func (d deadline) left(now Time, clockMS int64) time.Duration {
	left := d.at - now
	if d.clockMS != 0 && clockMS != 0 {
		left = min(left, time.Duration(d.clockMS-clockMS)*time.Millisecond)
	}
	return left
}

// lifetime is what an incarnation of the target has announced of its end and of its time after
// the start.
type lifetime struct {
	// leaves is when the process of a draining target ends at the earliest, cold when the target
	// no longer runs slowly.
	leaves, cold deadline
	// leavingLogged is set once the event about the end was recorded, warm once the cold time has
	// ended.
	leavingLogged, warm bool
	// warmMS is the target's clock when the cold time ended; 0 before that or if it is unknown.
	warmMS int64
}

// update applies a heartbeat; only a draining target has an end.
func (l *lifetime) update(arrived Time, b Heartbeat) {
	if b.Draining {
		l.leaves.update(arrived, b.ClockMS, b.Remaining)
	}
	l.cold.update(arrived, b.ClockMS, b.Cold)
}

// merge applies what heartbeats have announced that were kept as a candidate's.
func (l *lifetime) merge(other lifetime) {
	l.leaves.merge(other.leaves)
	l.cold.merge(other.cold)
}

// updateLifetime applies a heartbeat of the current incarnation.
func (g *Gate) updateLifetime(arrived Time, b Heartbeat) {
	g.lifetime.update(arrived, b)
	if g.lifetime.leaves.known() && !g.lifetime.leavingLogged {
		g.lifetime.leavingLogged = true
		g.recordLeaving(arrived)
	}
}

// timeLeft returns the time until the target's process ends at the earliest; ok is false if the
// target doesn't drain or hasn't told.
func (g *Gate) timeLeft(now Time) (left time.Duration, ok bool) {
	if !g.draining || !g.lifetime.leaves.known() {
		return 0, false
	}
	return g.lifetime.leaves.left(now, g.knownClock(now)), true
}

// knownClock returns the target's clock, or 0 before its first answer.
func (g *Gate) knownClock(now Time) int64 {
	if g.clockMS == 0 {
		return 0
	}
	return g.targetClock(now)
}

// reportedLeaving returns the time left as reported to owners. A time that has passed is reported
// as 1 ms, since 0 means unknown.
func (g *Gate) reportedLeaving(now Time) time.Duration {
	left, ok := g.timeLeft(now)
	if !ok {
		return 0
	}
	return max(left, time.Millisecond)
}

// coldLeft returns how long the target still runs slowly after its start.
func (g *Gate) coldLeft(now Time) time.Duration {
	if g.lifetime.warm || !g.lifetime.cold.known() {
		return 0
	}
	return max(0, g.lifetime.cold.left(now, g.knownClock(now)))
}

// checkCold detects the end of the cold time. It is called before the ends of a list are handled,
// so that runs that ended later are no part of that time.
func (g *Gate) checkCold(now Time) {
	if g.lifetime.warm || !g.lifetime.cold.known() || g.coldLeft(now) > 0 {
		return
	}
	g.endCold(now)
}

// endCold ends the cold time, once for each incarnation. What was measured in that time says
// nothing about the target's usual speed.
func (g *Gate) endCold(now Time) {
	g.lifetime.warm = true
	g.lifetime.warmMS = g.knownClock(now)
	g.speed.Reset()
	g.reportChanged()
}

// listing is what the target's lists say of a run.
type listing struct {
	// firstMS and newestMS are the target's clock at the first and the newest list with the run,
	// first and newest the progress then.
	firstMS, newestMS int64
	first, newest     int
	// checkpointed is set once the run has taken a checkpoint itself.
	checkpointed bool
	// reported is set once the owner was told that the run can't end before the target leaves.
	reported bool
}

// noteListed records that a run is listed; it is called before the run takes up the checkpoint.
func (g *Gate) noteListed(r *run, x Running) {
	l := &r.progress.listing
	if l.firstMS == 0 {
		l.firstMS, l.first = g.listedMS, x.Percent
	}
	l.newestMS, l.newest = g.listedMS, x.Percent
	l.checkpointed = l.checkpointed || (x.Checkpoint != "" && x.Checkpoint != r.checkpoint)
}

// elapsed returns how long a run had taken at its newest list. If its start is not known, because
// it was started by an earlier process of the gate or carried out by a newer incarnation, the time
// is computed from the progress that was observed; 0 if that is too little.
func (r *run) elapsed() time.Duration {
	l := r.progress.listing
	if r.startedMS != 0 && (r.startedMS < l.firstMS || l.first <= 0) {
		return time.Duration(l.newestMS-r.startedMS) * time.Millisecond
	}
	watched := time.Duration(l.newestMS-l.firstMS) * time.Millisecond
	if l.first == PercentUnknown || l.newest-l.first < minObservedPercent {
		return 0
	}
	return time.Duration(float64(watched) * float64(l.newest) / float64(l.newest-l.first))
}

// minObservedPercent is the progress that must be observed of a run whose start is not known
// before its run time is computed from it. Progress is told in whole percents.
const minObservedPercent = 10

// watchesLeaving reports whether runs are reported that can't end before the target leaves.
func (g *Gate) watchesLeaving() bool {
	return g.options.MoveLeaving && g.draining && g.lifetime.leaves.known()
}

// detectLeaving reports the listed runs that can't end before the target's process ends to their
// owners, each once. The times are those of the newest list, on the target's clock.
func (g *Gate) detectLeaving(now Time) {
	if !g.watchesLeaving() {
		return
	}
	slowness := g.MedianSlowness(now)
	var listed []*run
	var runs []leaving.Run
	for _, r := range g.runs {
		l := r.progress.listing
		if r.phase != phaseRunning || l.newestMS != g.listedMS {
			continue
		}
		listed = append(listed, r)
		runs = append(runs, leaving.Run{
			Elapsed: r.elapsed(), Percent: l.newest, Estimate: r.estimate, Slowness: slowness,
			Checkpointed: l.checkpointed, Moved: l.reported || r.mustStop,
		})
	}
	left := g.lifetime.leaves.left(now, g.listedMS)
	for _, i := range leaving.CannotEnd(left, runs) {
		listed[i].progress.listing.reported = true
		g.counts.RunsLeaving++
		g.sendState(listed[i])
	}
}
