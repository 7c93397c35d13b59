package owner

import (
	"time"

	"rackspur/job"
	"rackspur/speed"
)

// This file chooses gates by when tasks are expected to end there. A task goes to the gate with the
// best score, or it is held: it stays in the queue of waiting tasks until a faster gate has room.
// See docs/design/target-speed.md.

// Parameters of placement by speed.
const (
	// deliveryTime is taken from the time left: a frame takes a few milliseconds, and a task
	// needs one with the order and one with the end.
	deliveryTime = 10 * time.Millisecond
	// roomPause is the shortest time in which a gate that is full reports room: the pause
	// between two reports (package peer).
	roomPause = 30 * time.Millisecond
	// refuseMargin is how long before its job would be refused a task stops waiting: one and a
	// half pauses between ticks (package node), so that it is placed before.
	refuseMargin = 15 * time.Millisecond
	// maxHeldSteps bounds, for each service, the steps whose tasks wait for a faster target and are
	// passed over for others in one call of place. Beyond it they count as tasks without a gate,
	// see maxMisses.
	maxHeldSteps = 16
	// meanWeight is the weight of a new task in the mean estimate: the mean of the last 200 tasks
	// or so, as many as an owner places in about a second. With fewer, single long tasks move it
	// past the short ones.
	meanWeight = 0.005
	// maxMeans bounds the services with a mean estimate. All are dropped beyond it, which costs
	// a second until they are known again.
	maxMeans = 64
)

// chooseBySpeed returns the gate for a task by when it is expected to end there. It returns nil if
// none has room or the task waits for a faster target; held tells which.
func (o *Owner) chooseBySpeed(now Time, usable []*gateView, s *speeds, t *task) (v *gateView, held bool) {
	if s.lastHeld == t.step && len(t.avoid) == 0 {
		o.hold(s, t)
		return nil, true
	}
	work := t.work(now)
	wait := s.expectedWait(o.ownersPerGate())
	share := queueShare(now, t)
	var best *gateView
	var bestEnd, later speed.End
	bestScore, laterKnown := 0.0, false
	for _, v := range usable {
		if !o.eligible(v, t) {
			continue
		}
		slowness := s.expectedSlowness(v, t)
		if !s.hasRoom(v, t, slowness, share) {
			if end := work.Expect(slowness, wait); !laterKnown || end.Late < later.Late {
				later, laterKnown = end, true
			}
			continue
		}
		if score, end := o.scoreBySpeed(s, v, t, slowness, work); best == nil || score > bestScore {
			best, bestScore, bestEnd = v, score, end
		}
	}
	if best == nil {
		o.clearAvoided(usable, t)
		return nil, false
	}
	if laterKnown && t.mayHold(now) && speed.WorthWaiting(bestEnd, later) {
		if s.heldSteps == maxHeldSteps {
			return nil, false
		}
		s.heldSteps++
		o.hold(s, t)
		return nil, true
	}
	s.lastHeld = nil
	t.job.expectedLate = t.job.expectedLate || !bestEnd.InTime
	return best, false
}

// hasRoom reports whether a task fits on a gate, at most share thousandths of whose capacity may
// be queued there: on a slow gate less, since its queue takes longer.
func (s *speeds) hasRoom(v *gateView, t *task, slowness float64, share int) bool {
	capacity := v.report.Capacity
	queued := int(float64(capacity.CPU*share/1000) * min(1, s.fleet.Reference/slowness))
	return v.free().Plus(job.Resources{CPU: queued, Memory: capacity.Memory, GPU: capacity.GPU}).Fits(t.step.Need)
}

// scoreBySpeed rates a gate that has room for a task; higher is better. It also returns when the
// task is expected to end there.
func (o *Owner) scoreBySpeed(s *speeds, v *gateView, t *task, slowness float64, work speed.Task) (float64, speed.End) {
	capacity := float64(v.report.Capacity.CPU)
	missing := float64(t.step.Need.CPU-v.free().CPU) / capacity
	delay := time.Duration(0)
	if missing > 0 {
		delay = speed.QueueDelay(missing, slowness, s.mean.value)
	}
	end := work.Expect(slowness, delay)
	score := s.fleet.Score(slowness, end, speed.Room{Free: -missing, Used: s.used})
	// Other owners decide by the same reports. Differences of less than the task itself are left
	// to chance, so that they don't all choose the same gate.
	score += o.random.Float64() * max(placementNoise, float64(t.step.Need.CPU)/capacity)
	if t.lacksRack(v) {
		score -= rackPenalty
	}
	return score, end
}

// notePlaced counts a task that is placed on a gate.
func (o *Owner) notePlaced(s *speeds, v *gateView, t *task) {
	t.held = false
	if !o.options.Decisions.PlaceBySpeed {
		return
	}
	o.meanOf(t.job.record.Queue.Service).add(time.Duration(t.step.EstimateMS) * time.Millisecond)
	if s != nil && s.fleet.IsSlow(v.slowness) {
		o.stats.PlacedSlow++
	}
}

// expectedSlowness returns the slowness by which a task's end is expected. A slow target that has
// had no runs for a time is unknown again. So an unknown target counts as the median one only for
// tasks no longer than the mean, for one from each owner at a time, and until it has as many runs
// as make its slowness known. Otherwise it counts as the slowest one.
func (s *speeds) expectedSlowness(v *gateView, t *task) float64 {
	if v.slownessKnown {
		return s.fleet.Cautious(v.slowness)
	}
	used := v.report.Capacity.CPU - v.report.Free.CPU + v.report.Queued.CPU
	long := s.mean.value > 0 && time.Duration(t.step.EstimateMS)*time.Millisecond > s.mean.value
	if long || len(v.starts)+len(v.inFlight) > 0 || used >= speed.MinSamples*t.step.Need.CPU {
		return s.slowest
	}
	return v.slowness
}

// hold notes that a task waits for a faster target.
func (o *Owner) hold(s *speeds, t *task) {
	s.lastHeld = nil
	if len(t.avoid) == 0 {
		s.lastHeld = t.step
	}
	s.heldWork += float64(t.step.Need.CPU) * float64(t.step.EstimateMS) / 1000
	if !t.held {
		t.held = true
		o.stats.HeldForSpeed++
	}
}

// expectedWait estimates how long a task waits for room at a fast gate behind those held before
// it, which other owners' tasks wait for, too.
func (s *speeds) expectedWait(owners float64) time.Duration {
	if s.fastCapacity == 0 {
		return roomPause
	}
	return roomPause + time.Duration(s.heldWork/s.fastCapacity*owners*float64(time.Second))
}

// mayHold reports whether a task may wait although a gate has room: its job would not be
// refused meanwhile for having no task placed, and can still be in time.
func (t *task) mayHold(now Time) bool {
	j := t.job
	if j.record.BestEffort && !j.placed && now+refuseMargin > j.refuseAt() {
		return false
	}
	return !j.late && !j.expectedLate
}

// work describes a task for the expectation of its end. The time left to the job's objective is
// divided among the steps that are still to run, by their estimates. A late job's tasks are to end
// before its result has lost its value.
func (t *task) work(now Time) speed.Task {
	j := t.job
	until := j.objective
	if j.late || j.expectedLate {
		until = j.veryLateAt
	}
	if j.paths == nil {
		j.paths = j.pathsFrom()
	}
	estimate := time.Duration(t.step.EstimateMS) * time.Millisecond
	left := time.Duration(float64(until-now) * float64(estimate) / float64(j.paths[t.name.Step]))
	return speed.Task{Estimate: estimate, Left: left - deliveryTime, Tasks: j.left}
}

// longestTask returns the longest task of a new job, to be placed now.
func (j *liveJob) longestTask(now Time) (longest speed.Task) {
	for _, t := range j.tasks {
		if work := t.work(now); work.Estimate > longest.Estimate {
			longest = work
		}
	}
	longest.Tasks = 1
	return longest
}

// pathsFrom returns the length of the longest chain of steps from each step on, by their
// estimates.
func (j *liveJob) pathsFrom() []time.Duration {
	paths := make([]time.Duration, len(j.record.Steps))
	for i := len(j.record.Steps) - 1; i >= 0; i-- {
		s := &j.record.Steps[i]
		paths[i] += time.Duration(s.EstimateMS) * time.Millisecond
		for _, a := range s.After {
			paths[a] = max(paths[a], paths[i])
		}
	}
	return paths
}

// meanEstimate is the smoothed estimate of the tasks of a service that were placed.
type meanEstimate struct {
	value time.Duration
	tasks int64
}

// add counts a task. One without an estimate tells nothing of the run time.
func (m *meanEstimate) add(estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	m.tasks++
	weight := max(meanWeight, 1/float64(m.tasks))
	m.value += time.Duration(weight * float64(estimate-m.value))
}

// meanOf returns the mean estimate of a service's tasks.
func (o *Owner) meanOf(service string) *meanEstimate {
	m := o.means[service]
	if m == nil {
		if len(o.means) >= maxMeans {
			clear(o.means)
		}
		m = &meanEstimate{}
		o.means[service] = m
	}
	return m
}
