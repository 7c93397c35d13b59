package gate

import "container/heap"

// queue holds runs that wait for room, ordered by rank.
type queue struct {
	items runHeap
}

func (q *queue) push(r *run) { heap.Push(&q.items, r) }

func (q *queue) len() int { return len(q.items) }

// last returns the last run in the order, or nil.
func (q *queue) last() *run {
	var last *run
	for _, r := range q.items {
		if last == nil || before(last, r) {
			last = r
		}
	}
	return last
}

// first returns the next run, or nil.
func (q *queue) first() *run {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

func (q *queue) pop() *run { return heap.Pop(&q.items).(*run) }

// remove removes a run.
func (q *queue) remove(r *run) {
	for i, item := range q.items {
		if item == r {
			heap.Remove(&q.items, i)
			return
		}
	}
}

func (q *queue) takeAll() []*run {
	all := q.items
	q.items = nil
	return all
}

// runHeap implements heap.Interface.
type runHeap []*run

// Len implements sort.Interface.Len.
func (h runHeap) Len() int { return len(h) }

// Less implements sort.Interface.Less.
func (h runHeap) Less(i, j int) bool {
	return before(h[i], h[j])
}

// before reports whether a precedes b in the queue.
func before(a, b *run) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.order < b.order
}

// Swap implements sort.Interface.Swap.
func (h runHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.Push.
func (h *runHeap) Push(x any) { *h = append(*h, x.(*run)) }

// Pop implements heap.Interface.Pop.
func (h *runHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
