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

// Leave makes the executor drain and announce that its process ends after a time of its clock. It
// returns how long that takes. The caller crashes it then; see ExecutorPort.Leave.
func (e *Executor) Leave(after time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.draining = true
	e.endsMS = e.clock(now) + after.Milliseconds()
	return e.timeAtClock(e.endsMS).Sub(now)
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
	b = Heartbeat{Life: e.Life, Born: e.Born, Capacity: e.Capacity, ClockMS: e.clock(time.Now()), Sequence: e.heartbeats, Draining: e.draining}
	if e.endsMS > 0 {
		b.RemainingMS = max(0, e.endsMS-b.ClockMS)
	}
	return b, true
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
	// RemainingMS is the time until the process of a draining executor ends; 0 if unknown.
	RemainingMS int64
}
