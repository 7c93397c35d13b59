package standin

import (
	"time"

	"rackspur/job"
)

// Drain makes the executor say from now on that it is about to leave.
func (e *Executor) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Draining says whether the executor says that it is about to leave.
func (e *Executor) Draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// Beat returns what the executor's next heartbeat says; ok is false while it answers
// nothing.
func (e *Executor) Beat() (b Beat, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return Beat{}, false
	}
	e.beats++
	return Beat{Life: e.Life, Born: e.Born, Capacity: e.Capacity, ClockMS: e.clock(time.Now()), Sequence: e.beats, Draining: e.draining}, true
}

// Beat is what a heartbeat says.
type Beat struct {
	Life     string
	Born     int64
	Capacity job.Resources
	ClockMS  int64
	// Sequence counts the heartbeats of this life from 1.
	Sequence int64
	Draining bool
}
