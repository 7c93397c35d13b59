package standin

import (
	"time"

	"rackspur/job"
)

// Drain makes the executor report from now on that it is draining.
func (e *Executor) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Draining reports whether the executor is draining.
func (e *Executor) Draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// Beat returns the executor's next heartbeat; ok is false while the executor is down.
func (e *Executor) Beat() (b Beat, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return Beat{}, false
	}
	e.heartbeats++
	return Beat{Life: e.Life, Born: e.Born, Capacity: e.Capacity, ClockMS: e.clock(time.Now()), Sequence: e.heartbeats, Draining: e.draining}, true
}

// Beat is the content of a heartbeat.
type Beat struct {
	Life     string
	Born     int64
	Capacity job.Resources
	ClockMS  int64
	// Sequence numbers the heartbeats of this incarnation from 1.
	Sequence int64
	Draining bool
}
