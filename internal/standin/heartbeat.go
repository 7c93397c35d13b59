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

// NextHeartbeat returns the executor's next heartbeat; ok is false while the executor is down.
func (e *Executor) NextHeartbeat() (b Heartbeat, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return Heartbeat{}, false
	}
	e.heartbeats++
	return Heartbeat{Life: e.Life, Born: e.Born, Capacity: e.Capacity, ClockMS: e.clock(time.Now()), Sequence: e.heartbeats, Draining: e.draining}, true
}

// Heartbeat is the content of a heartbeat.
type Heartbeat struct {
	Life     string
	Born     int64
	Capacity job.Resources
	ClockMS  int64
	// Sequence numbers the heartbeats of this incarnation from 1.
	Sequence int64
	Draining bool
}
