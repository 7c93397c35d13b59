package retryafter

import "time"

const (
	// windowLength is how far back a window reaches.
	windowLength = 2 * time.Second
	// windowStep is the length of the buckets of a window, and thus its accuracy.
	windowStep = 100 * time.Millisecond
)

// window sums values over the time up to windowLength ago.
type window struct {
	buckets [windowLength / windowStep]float64
	// newest is the number of the newest bucket since time 0.
	newest int64
}

func (w *window) add(now time.Duration, value float64) {
	w.advance(now)
	w.buckets[w.newest%int64(len(w.buckets))] += value
}

// sum returns the sum over the time up to length ago.
func (w *window) sum(now, length time.Duration) float64 {
	w.advance(now)
	total := 0.0
	for i := range min(int64(length/windowStep), w.newest+1) {
		total += w.buckets[(w.newest-i)%int64(len(w.buckets))]
	}
	return total
}

// advance clears the buckets between the newest one and that of now.
func (w *window) advance(now time.Duration) {
	bucket := int64(now / windowStep)
	if bucket-w.newest >= int64(len(w.buckets)) {
		w.buckets = [len(w.buckets)]float64{}
		w.newest = bucket
	}
	for w.newest < bucket {
		w.newest++
		w.buckets[w.newest%int64(len(w.buckets))] = 0
	}
}
