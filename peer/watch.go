package peer

import (
	"sync"
	"time"
)

// frameWatch ends a link that has been without a frame for too long: sooner while
// the gate has runs of the owner, since it tells of these more often.
type frameWatch struct {
	timer *time.Timer
	// timeout is how long the link may be without a frame, busyTimeout the same
	// while the gate has runs of the owner.
	timeout, busyTimeout time.Duration

	mu sync.Mutex
	// busy says that the gate has runs of the owner, or was sent orders.
	busy bool
}

// heard takes in that a frame has come.
func (w *frameWatch) heard(busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = busy
	if busy {
		w.timer.Reset(w.busyTimeout)
		return
	}
	w.timer.Reset(w.timeout)
}

// sent takes in that a frame was sent, maybe with orders. The first after an idle
// time begins the shorter time: the gate tells soon that it has them.
func (w *frameWatch) sent(orders bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy || !orders {
		return
	}
	w.busy = true
	w.timer.Reset(w.busyTimeout)
}
