package gate

import (
	"sync"
	"time"
)

// Parameters of the retransmission timeout.
const (
	// minRTO and maxRTO bound the timeout. The target is on the gate's own box: it answers half
	// of the starts within 2 ms and 99 of 100 within 17 ms.
	minRTO = 8 * time.Millisecond
	maxRTO = 30 * time.Millisecond
	// latencyWeight and deviationWeight are the weights of a new sample in the smoothed latency
	// and its deviation, and rtoDeviations is the number of deviations added to the latency, as
	// in TCP (RFC 6298).
	latencyWeight   = 1.0 / 8
	deviationWeight = 1.0 / 4
	rtoDeviations   = 4
)

// rtoEstimator computes the retransmission timeout from the observed latencies. It is safe for
// concurrent use.
type rtoEstimator struct {
	mu         sync.Mutex
	smoothed   time.Duration
	deviation  time.Duration
	answeredAt time.Time
}

// answered records the latency of an answer, not counting the wait that the call allowed.
func (e *rtoEstimator) answered(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answeredAt = time.Now()
	if e.smoothed == 0 {
		e.smoothed, e.deviation = took, took/2
		return
	}
	e.deviation += time.Duration(deviationWeight * float64((took-e.smoothed).Abs()-e.deviation))
	e.smoothed += time.Duration(latencyWeight * float64(took-e.smoothed))
}

// answeredUntimed records an answer without a latency sample.
func (e *rtoEstimator) answeredUntimed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answeredAt = time.Now()
}

// timeout returns how long to wait for an answer before sending the call again.
func (e *rtoEstimator) timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.smoothed == 0 {
		return maxRTO
	}
	return min(max(e.smoothed+rtoDeviations*e.deviation, minRTO), maxRTO)
}

// answeredSince reports whether any call was answered after t.
func (e *rtoEstimator) answeredSince(t time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answeredAt.After(t)
}
