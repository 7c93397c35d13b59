package gate

import (
	"sync"
	"time"
)

// Parameters of the retransmission timeout.
const (
	// minRTO and maxRTO bound the timeout while answers are fast. The target is on the gate's own
	// box: it answers half of the starts within 2 ms and 99 of 100 within 17 ms.
	minRTO = 8 * time.Millisecond
	maxRTO = 30 * time.Millisecond
	// slowRTOFactor bounds the timeout to a multiple of the smoothed latency once that exceeds
	// maxRTO. Single slow answers mostly raise the deviation, which must not delay the tries of
	// orders whose calls are lost.
	slowRTOFactor = 2
	// maxSlowRTO bounds the timeout in any case, so that an order is resolved, after triesPerOrder
	// timeouts, by the time that its gate counts the target as silent.
	maxSlowRTO = silentAfter / triesPerOrder
	// triesPerOrder is the least number of timeouts that an order is waited for.
	triesPerOrder = 2
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
	// newestAnswered is when the newest of the answered calls was sent.
	newestAnswered time.Time
}

// answered records the latency of an answer, not counting the wait that the call allowed. A
// latency above silentAfter counts as that: the process may have been suspended.
func (e *rtoEstimator) answered(took time.Duration) {
	took = min(took, silentAfter)
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

// answeredCall records that a call sent at a time was answered.
func (e *rtoEstimator) answeredCall(sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sent.After(e.newestAnswered) {
		e.newestAnswered = sent
	}
}

// overtaken reports whether a call sent after t was answered. Calls sent by t that are not answered
// yet are then lost rather than slow.
func (e *rtoEstimator) overtaken(t time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newestAnswered.After(t)
}

// timeout returns how long to wait for an answer before sending the call again. Slow answers count
// only while there are any: a target that is silent may be followed by a newer incarnation, which
// has to be found soon.
func (e *rtoEstimator) timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.smoothed == 0 {
		return maxRTO
	}
	bound := maxRTO
	if e.smoothed > maxRTO && time.Since(e.answeredAt) <= silentAfter {
		bound = min(slowRTOFactor*e.smoothed, maxSlowRTO)
	}
	return min(max(e.smoothed+rtoDeviations*e.deviation, minRTO), bound)
}

// orderTimeout returns how long an order may go unanswered before the gate checks with a hold what
// became of it.
func (e *rtoEstimator) orderTimeout() time.Duration {
	return max(minOrderTimeout, triesPerOrder*e.timeout())
}

// lateAnswerWait returns how long the other tries of a resolved order, and abandoned holds, may
// continue before they are cancelled. Cancelling a call closes its connection, and most are
// answered shortly after.
func (e *rtoEstimator) lateAnswerWait() time.Duration {
	return max(minLateAnswerWait, e.timeout())
}

// answeredSince reports whether any call was answered after t.
func (e *rtoEstimator) answeredSince(t time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answeredAt.After(t)
}
