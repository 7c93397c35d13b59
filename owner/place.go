package owner

import (
	"slices"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Parameters of placement.
const (
	// slowFactor is how many times slower than the median a target must be to be chosen
	// last.
	slowFactor = 2.0
	// lateRankPenalty is added to the rank of runs of late jobs, which puts them behind
	// all others at a gate.
	lateRankPenalty = time.Minute
	// placementNoise is the random part of a score.
	placementNoise = 0.02
	// rackPenalty is taken from the score of gates outside the rack that a task prefers.
	rackPenalty = 0.5
)

// place sends waiting tasks to gates that have room for them.
func (o *Owner) place(now Time) {
	o.checkIsolation(now)
	if o.stopped || o.waiting.len() == 0 {
		return
	}
	usable := withoutReserved(now, o.usableGates())
	median := medianSlowness(usable)
	var c compared
	var unplaced []*task
	m := o.newMisses(now)
	for o.waiting.len() > 0 && len(usable) > 0 && !m.enough() {
		t := o.waiting.pop()
		if !t.job.record.BestEffort && !o.active(now) || !t.mayReplace() {
			unplaced = append(unplaced, t)
			continue
		}
		if m.skip(t) {
			unplaced = append(unplaced, t)
			continue
		}
		if o.giveUpCrasher(now, t) {
			continue
		}
		s := c.of(o, usable, t.job.record.Queue.Service)
		gates, held := usable, false
		if len(t.crashes()) > 0 {
			gates, held = o.gatesForSuspect(now, usable, t)
		}
		var v *gateView
		if !held {
			v, held = o.choose(now, gates, median, s, t)
		}
		if v == nil {
			unplaced = append(unplaced, t)
			if !held {
				m.add(usable, t)
			}
			continue
		}
		o.notePlaced(s, v, t)
		o.sendStart(now, v, t)
		if t.runsAlone() {
			v.reservedFor = t
			usable = withoutReserved(now, usable)
		}
	}
	for _, t := range unplaced {
		if t.job.final == "" {
			o.waiting.push(t)
		}
	}
}

func (o *Owner) usableGates() []*gateView {
	usable := make([]*gateView, 0, len(o.activeGates))
	for _, v := range o.activeGates {
		if v.linked && v.report.Open && !v.report.Suspect {
			usable = append(usable, v)
		}
	}
	return usable
}

// choose returns the gate for a task, or nil if none has room or the task is held for a faster
// target.
func (o *Owner) choose(now Time, usable []*gateView, median float64, s *speeds, t *task) (v *gateView, held bool) {
	if o.options.Policy != nil {
		return o.chooseByPolicy(now, usable, median, t), false
	}
	if s != nil && t.step.EstimateMS > 0 {
		return o.chooseBySpeed(now, usable, s, t)
	}
	var best *gateView
	bestScore := 0.0
	for _, v := range usable {
		score, ok := o.score(now, v, t, median)
		if ok && (best == nil || score > bestScore) {
			best = v
			bestScore = score
		}
	}
	if best == nil {
		o.clearAvoided(usable, t)
	}
	return best, false
}

// score rates a gate for a task; higher is better. It returns false if the gate can't
// take the task.
func (o *Owner) score(now Time, v *gateView, t *task, median float64) (float64, bool) {
	if !o.eligible(v, t) {
		return 0, false
	}
	capacity := v.report.Capacity
	free := v.free()
	room := free.Plus(job.Resources{CPU: capacity.CPU * queueShare(now, t) / 1000, Memory: capacity.Memory, GPU: capacity.GPU})
	if !room.Fits(t.step.Need) {
		return 0, false
	}
	score := float64(free.CPU-t.step.Need.CPU)/float64(capacity.CPU) + o.random.Float64()*placementNoise
	if median > 0 && v.report.Slowness > slowFactor*median {
		score -= 1
	}
	if t.lacksRack(v) {
		score -= rackPenalty
	}
	return score, true
}

// eligible reports whether a gate may take a task if it has room.
func (o *Owner) eligible(v *gateView, t *task) bool {
	return !t.avoid[v.name] && t.fits(v) && (t.step.Spread <= 0 || o.countOnGate(v, t) < t.step.Spread)
}

// fits reports whether a gate has what a task requires, whatever runs there now.
func (t *task) fits(v *gateView) bool {
	capacity := v.report.Capacity
	if v.report.Service != t.job.record.Queue.Service || capacity.CPU == 0 || !capacity.Fits(t.step.Need) {
		return false
	}
	return t.step.Label == "" || slices.Contains(v.report.Labels, t.step.Label)
}

// lacksRack reports whether a gate is outside the rack that a task prefers.
func (t *task) lacksRack(v *gateView) bool {
	return t.step.Rack != "" && !slices.Contains(v.report.Labels, t.step.Rack)
}

// queueShare returns the share of a gate's capacity, in thousandths, that may be queued
// there for the gate to accept a task. Tasks of the highest priority are also sent to
// gates with a full queue, which then reject runs that rank lower.
func queueShare(now Time, t *task) int {
	if t.job.record.Queue.Priority == 0 && now >= t.fullUntil {
		return 2 * gate.QueueShare
	}
	return gate.QueueShare
}

// countOnGate returns how many tasks of t's step are placed on a gate.
func (o *Owner) countOnGate(v *gateView, t *task) int {
	n := 0
	for _, other := range t.job.tasks {
		if other.step == t.step && other.gate == v.name && (other.phase == taskPlaced || other.phase == taskRunning) {
			n++
		}
	}
	return n
}

// clearAvoided lets a task that avoids every usable gate that can hold it go to any of them.
func (o *Owner) clearAvoided(usable []*gateView, t *task) {
	found := false
	for _, v := range usable {
		if !t.fits(v) {
			continue
		}
		if !t.avoid[v.name] {
			return
		}
		found = true
	}
	if found {
		t.avoid = nil
	}
}

func medianSlowness(usable []*gateView) float64 {
	all := make([]float64, 0, len(usable))
	for _, v := range usable {
		if v.report.Slowness > 0 {
			all = append(all, v.report.Slowness)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// sendStart places a task on a gate: it queues the order to start a run of it.
func (o *Owner) sendStart(now Time, v *gateView, t *task) {
	t.run = t.nextRun()
	t.unresolved = false
	t.phase = taskPlaced
	t.job.share.longestWait = max(t.job.share.longestWait, now-t.since)
	if !t.job.placed {
		o.reorder(t.job, func() { t.job.placed = true })
	}
	t.gate = v.name
	t.since = now
	v.busy = true
	o.stats.Placed++
	v.starts = append(v.starts, gate.Order{
		Name: t.runName(), Spec: t.job.record.Spec, Need: t.step.Need,
		Estimate:   time.Duration(t.step.EstimateMS) * time.Millisecond,
		Rank:       o.rank(now, v, t),
		Checkpoint: t.checkpoint, BestEffort: t.job.record.BestEffort, Alone: t.runsAlone(),
	})
	v.notify()
}

// rank converts a job's urgency to the gate's clock, in microseconds.
func (o *Owner) rank(now Time, v *gateView, t *task) int64 {
	gateNow := v.clock + (now - v.heard)
	rank := gateNow + t.job.urgency - now
	if t.job.late {
		rank += lateRankPenalty
	}
	return rank.Microseconds()
}
