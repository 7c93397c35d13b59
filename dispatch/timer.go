package dispatch

import "container/heap"

// timer calls f at a time.
type timer struct {
	at Time
	f  func(now Time)
}

// timers is a queue of things to do later, ordered by time.
type timers struct {
	heap timerHeap
}

func (t *timers) add(at Time, f func(now Time)) {
	heap.Push(&t.heap, timer{at: at, f: f})
}

// next returns the time of the earliest timer, or false if there is none.
func (t *timers) next() (Time, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// run calls every timer that is due.
func (t *timers) run(now Time) {
	for len(t.heap) > 0 && t.heap[0].at <= now {
		due := heap.Pop(&t.heap).(timer)
		due.f(now)
	}
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
