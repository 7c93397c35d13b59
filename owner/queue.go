package owner

import "container/heap"

// taskQueue holds the tasks that wait for a gate, ordered by urgency.
type taskQueue struct {
	items taskHeap
}

func (q *taskQueue) push(t *task) { heap.Push(&q.items, t) }

func (q *taskQueue) pop() *task { return heap.Pop(&q.items).(*task) }

func (q *taskQueue) len() int { return len(q.items) }

func (q *taskQueue) remove(t *task) {
	if t.position >= 0 {
		heap.Remove(&q.items, t.position)
	}
}

// taskHeap implements heap.Interface.
type taskHeap []*task

// Len implements sort.Interface.Len.
func (h taskHeap) Len() int { return len(h) }

// Less implements sort.Interface.Less.
func (h taskHeap) Less(i, j int) bool {
	a, b := h[i].job, h[j].job
	if a == b {
		return h[i].order < h[j].order
	}
	if a.before(b) || b.before(a) {
		return a.before(b)
	}
	return h[i].order < h[j].order
}

// Swap implements sort.Interface.Swap.
func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.Push.
func (h *taskHeap) Push(x any) {
	t := x.(*task)
	t.position = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.Pop.
func (h *taskHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.position = -1
	*h = old[:len(old)-1]
	return last
}
