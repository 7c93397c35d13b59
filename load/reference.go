package load

import (
	"container/heap"
	"time"
)

// reference simulates a central queue without latency on the same arrivals: tasks
// start in order of arrival on the first free slot. It shows how much of the
// response time is due to the load itself.
func (s *Scenario) reference(list []arrival) []sample {
	slots := make(timeHeap, s.Slots)
	samples := make([]sample, len(list))
	for i, a := range list {
		end := time.Duration(0)
		for _, run := range a.runs {
			start := max(a.at, slots[0])
			slots[0] = start + run
			end = max(end, slots[0])
			heap.Fix(&slots, 0)
		}
		samples[i] = sample{kind: a.kind.Name, at: a.at, ideal: a.ideal(s), response: end - a.at + s.RTT,
			tasks: len(a.job.Tasks), work: a.work, outcome: "complete"}
	}
	return samples
}

// timeHeap is a min-heap of the times at which the slots become free.
type timeHeap []time.Duration

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *timeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
