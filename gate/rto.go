package gate

import (
	"sync"
	"time"
)

// Bounds of the time after which a call to an executor counts as unanswered.
const (
	// leastRTO and mostRTO bound that time. An executor is on the
	// gate's own machine: 99 of 100 starts are answered within 17 ms, half of
	// them within 2 ms (journal c5c04998).
	leastRTO = 8 * time.Millisecond
	mostRTO  = 30 * time.Millisecond
	// latencyWeight and deviationWeight are the weights of a new time in the
	// smoothed time to an answer and in its deviation, and deviations how many
	// deviations beyond it are waited: the figures of TCP's retransmission timer
	// (RFC 6298).
	latencyWeight   = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// rtoEstimator learns from answers after what time a call should be sent again: the
// retransmission timeout. It is safe for concurrent use.
type rtoEstimator struct {
	mu         sync.Mutex
	smoothed   time.Duration
	deviation  time.Duration
	answeredAt time.Time
}

// answered takes in the time that an answer took beyond what the call allowed the
// executor to wait.
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

// heard takes in an answer that tells nothing of the time that it took.
func (e *rtoEstimator) heard() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answeredAt = time.Now()
}

// timeout returns how long to wait for an answer before the call is sent again.
func (e *rtoEstimator) timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.smoothed == 0 {
		return mostRTO
	}
	return min(max(e.smoothed+deviations*e.deviation, leastRTO), mostRTO)
}

// answeredSince says whether any call was answered after a time.
func (e *rtoEstimator) answeredSince(t time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answeredAt.After(t)
}
