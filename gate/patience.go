package gate

import (
	"sync"
	"time"
)

// Bounds of the time after which a call to an executor counts as unanswered.
const (
	// leastPatience and mostPatience bound that time. An executor is on the
	// gate's own machine: 99 of 100 starts are answered within 17 ms, half of
	// them within 2 ms (journal c5c04998).
	leastPatience = 8 * time.Millisecond
	mostPatience  = 30 * time.Millisecond
	// latencyWeight and deviationWeight are the weights of a new time in the
	// smoothed time to an answer and in its deviation, and deviations how many
	// deviations beyond it are waited: the figures of TCP's retransmission timer
	// (RFC 6298).
	latencyWeight   = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// patience learns how long the executor takes to answer. It is safe for
// concurrent use.
type patience struct {
	mu         sync.Mutex
	smoothed   time.Duration
	deviation  time.Duration
	answeredAt time.Time
}

// answered takes in the time that an answer took beyond what the call allowed the
// executor to wait.
func (p *patience) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = time.Now()
	if p.smoothed == 0 {
		p.smoothed, p.deviation = took, took/2
		return
	}
	p.deviation += time.Duration(deviationWeight * float64((took-p.smoothed).Abs()-p.deviation))
	p.smoothed += time.Duration(latencyWeight * float64(took-p.smoothed))
}

// heard takes in an answer that tells nothing of the time that it took.
func (p *patience) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = time.Now()
}

// wait returns how long to wait for an answer before the call is sent again.
func (p *patience) wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.smoothed == 0 {
		return mostPatience
	}
	return min(max(p.smoothed+deviations*p.deviation, leastPatience), mostPatience)
}

// answeredSince says whether any call was answered after a time.
func (p *patience) answeredSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answeredAt.After(t)
}
