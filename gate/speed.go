package gate

// This file measures the speed of the target; see package speed.

// recordSpeed adds a run that has ended to the window. Ends that were heard late have no run time
// and don't count, nor do runs that were started in the cold time and ended after it.
func (g *Gate) recordSpeed(now Time, r *run) {
	if r.end == EndDone && r.startedMS >= g.lifetime.warmMS {
		g.speed.Add(now, r.ran, r.estimate)
	}
}

// MedianSlowness returns the median ratio of run time to estimate, 0 if it is unknown.
func (g *Gate) MedianSlowness(now Time) float64 { return g.speed.Slowness(now) }

// MedianSlowness returns the median ratio of run time to estimate, 0 if it is unknown.
func (d *Driver) MedianSlowness() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.MedianSlowness(d.now())
}
