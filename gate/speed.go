package gate

import "time"

// This file measures the speed of the target; see package speed.

// recordSpeed adds a run that has ended to the window. Ends that were heard late have no run time
// and don't count, nor do runs that were started in the cold time and ended after it. Runs whose
// progress was recorded are in the window already.
func (g *Gate) recordSpeed(now Time, r *run) {
	if r.end == EndDone && r.startedMS >= g.lifetime.warmMS && !r.progress.recorded && r.estimate >= minTimedEstimate {
		g.speed.Add(now, r.ran, r.estimate)
	}
}

// minTimedEstimate is the least estimate of a run whose whole time is a sample. It includes the
// delivery of the start and the end, up to 10 ms where the agent is short of processor time, so
// that a target with many short tasks would seem slow.
const minTimedEstimate = 100 * time.Millisecond

// recordProgress adds the first measured progress of a run, in percent of its work, over a time on
// the target's clock. A target that turns slow is noticed before the runs that it slows down have
// ended. Each run gives one sample: more of them would let a few long runs fill the window of a
// target with little work. A run that stands still tells nothing about the target's speed.
func (g *Gate) recordProgress(now Time, r *run, watched time.Duration, percent int) {
	if percent <= 0 || r.progress.recorded || r.estimate < minWatchedEstimate || r.progress.since.Milliseconds() < g.lifetime.warmMS {
		return
	}
	g.speed.Add(now, watched, r.estimate*time.Duration(percent)/100)
	r.progress.recorded = true
}

// minWatchedEstimate is the least estimate of a run whose progress is a sample. Of shorter ones
// only those that take longer than estimated last until their progress is measured, some 90 ms
// after their start.
const minWatchedEstimate = 200 * time.Millisecond

// MedianSlowness returns the median ratio of run time to estimate, 0 if it is unknown.
func (g *Gate) MedianSlowness(now Time) float64 { return g.speed.Slowness(now) }

// MedianSlowness returns the median ratio of run time to estimate, 0 if it is unknown.
func (d *Driver) MedianSlowness() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.MedianSlowness(d.now())
}
