// Package speed decides by how fast targets run tasks: the gate of a target measures its
// slowness, the ratio of run time to estimate, and the owner of a job places tasks by when they
// are expected to end.
//
// Everything here is computed from its arguments; there is no clock.
package speed

import (
	"slices"
	"time"
)

// Limits of a Window.
const (
	// MinSamples is how many runs must have been recorded for the slowness to be known. With fewer, one
	// task that takes seven times as long moves the median too far.
	MinSamples = 5
	// maxSamples is how many of the newest runs count. Estimates are off by 40%, so the median
	// of 31 of them is within about 8% of the true ratio.
	maxSamples = 31
	// maxAge is how long a run counts. A slow target gets few new runs, so this bounds for how
	// long it is avoided once it runs at its usual speed again. Trying a target that is still
	// slow costs a few short tasks.
	maxAge = 5 * time.Second
)

// Window holds the newest ratios of run time to estimate of a target. Its zero value is empty.
type Window struct {
	samples [maxSamples]sample
	// count is the number of samples, next the index of the one written next.
	count, next int
}

type sample struct {
	at    time.Duration
	ratio float64
}

// Add records that a run has taken a time for work of this estimate. Unknown times and estimates
// don't count.
func (w *Window) Add(now, took, estimate time.Duration) {
	if took <= 0 || estimate <= 0 {
		return
	}
	w.samples[w.next] = sample{at: now, ratio: float64(took) / float64(estimate)}
	w.next = (w.next + 1) % maxSamples
	w.count = min(w.count+1, maxSamples)
}

// Reset drops all samples.
func (w *Window) Reset() { w.count, w.next = 0, 0 }

// Slowness returns the median ratio, or 0 if too few runs were recorded lately.
func (w *Window) Slowness(now time.Duration) float64 {
	var ratios [maxSamples]float64
	n := 0
	for i := range w.count {
		if now-w.samples[i].at <= maxAge {
			ratios[n] = w.samples[i].ratio
			n++
		}
	}
	if n < MinSamples {
		return 0
	}
	slices.Sort(ratios[:n])
	return (ratios[(n-1)/2] + ratios[n/2]) / 2
}
