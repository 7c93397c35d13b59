package owner

import (
	"slices"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Bounds of placing.
const (
	// slowFactor is how many times slower than the median an executor must be to
	// be used last.
	slowFactor = 2.0
	// lateRank puts the runs of late jobs behind all others at a gate.
	lateRank = time.Minute
)

// place sends waiting tasks to gates as far as there is room.
func (o *Owner) place(now Time) {
	o.reviewIsolation(now)
	if o.over || o.waiting.len() == 0 {
		return
	}
	usable := o.usableGates()
	median := medianSlowness(usable)
	var back []*task
	misses := 0
	for o.waiting.len() > 0 && len(usable) > 0 && misses < maxMisses {
		t := o.waiting.pop()
		if !t.job.record.BestEffort && !o.active(now) {
			back = append(back, t)
			continue
		}
		v := o.choose(now, usable, median, t)
		if v == nil {
			back = append(back, t)
			misses++
			continue
		}
		o.send(now, v, t)
	}
	for _, t := range back {
		o.waiting.push(t)
	}
}

// maxMisses is how many tasks that find no room are looked at in one go.
const maxMisses = 8

func (o *Owner) usableGates() []*gateView {
	usable := make([]*gateView, 0, len(o.near))
	for _, v := range o.near {
		if v.linked && v.report.Open && !v.report.Suspect {
			usable = append(usable, v)
		}
	}
	return usable
}

// choose returns the gate that a task goes to, or nil.
func (o *Owner) choose(now Time, usable []*gateView, median float64, t *task) *gateView {
	if o.options.Policy != nil {
		return o.chooseByPolicy(now, usable, median, t)
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
		o.forgiveAll(usable, t)
	}
	return best
}

// score rates a gate for a task; higher is better.
func (o *Owner) score(now Time, v *gateView, t *task, median float64) (float64, bool) {
	capacity := v.report.Capacity
	if t.avoid[v.name] || v.report.Service != t.job.record.Queue.Service || capacity.CPU == 0 || !capacity.Fits(t.step.Need) {
		return 0, false
	}
	if t.step.Label != "" && !slices.Contains(v.report.Labels, t.step.Label) {
		return 0, false
	}
	if t.step.Spread > 0 && o.onGate(v, t) >= t.step.Spread {
		return 0, false
	}
	free := v.free()
	room := free.Plus(job.Resources{CPU: capacity.CPU * queueShare(now, t) / 1000, Memory: capacity.Memory, GPU: capacity.GPU})
	if !room.Fits(t.step.Need) {
		return 0, false
	}
	score := float64(free.CPU-t.step.Need.CPU)/float64(capacity.CPU) + o.random.Float64()*0.02
	if median > 0 && v.report.Slowness > slowFactor*median {
		score -= 1
	}
	if t.step.Rack != "" && !slices.Contains(v.report.Labels, t.step.Rack) {
		score -= 0.5
	}
	return score, true
}

// queueShare is how much of a gate's room may wait there, in thousandths, for a
// task to be sent to it. Tasks of the first priority go also to gates whose queue
// is full: these give back what comes after them.
func queueShare(now Time, t *task) int {
	if t.job.record.Queue.Priority == 0 && now >= t.fullUntil {
		return 2 * gate.QueueShare
	}
	return gate.QueueShare
}

// onGate counts the tasks of a task's step that are on a gate.
func (o *Owner) onGate(v *gateView, t *task) int {
	n := 0
	for _, other := range t.job.tasks {
		if other.step == t.step && other.gate == v.name && (other.phase == taskPlaced || other.phase == taskRunning) {
			n++
		}
	}
	return n
}

// forgiveAll lets a task that avoids every gate that it could use go to any.
func (o *Owner) forgiveAll(usable []*gateView, t *task) {
	for _, v := range usable {
		if !t.avoid[v.name] {
			return
		}
	}
	t.avoid = nil
}

func medianSlowness(usable []*gateView) float64 {
	var all []float64
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

// send orders a run of a task at a gate.
func (o *Owner) send(now Time, v *gateView, t *task) {
	t.run = max(t.run+1, job.FirstRun(t.job.record.Generation))
	t.phase = taskPlaced
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
		Checkpoint: t.checkpoint, BestEffort: t.job.record.BestEffort,
	})
	v.poke()
}

// rank translates a job's urgency to the gate's clock, in microseconds.
func (o *Owner) rank(now Time, v *gateView, t *task) int64 {
	gateNow := v.clock + (now - v.heard)
	rank := gateNow + t.job.urgency - now
	if t.job.late {
		rank += lateRank
	}
	return rank.Microseconds()
}
