package agent

import "sync"

// outbox is a queue of messages for one stream. Pushing never blocks, so that
// the core's lock is never held by a slow peer.
type outbox[T any] struct {
	mu     sync.Mutex
	items  []T
	ready  chan struct{}
	closed bool
}

func newOutbox[T any]() *outbox[T] {
	return &outbox[T]{ready: make(chan struct{}, 1)}
}

func (o *outbox[T]) push(item T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.items = append(o.items, item)
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// close drops what is left and everything that comes.
func (o *outbox[T]) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.items = nil
}

// take returns all items, oldest first.
func (o *outbox[T]) take() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	items := o.items
	o.items = nil
	return items
}

// drain sends items until done is closed or send fails.
func (o *outbox[T]) drain(done <-chan struct{}, send func(T) error) error {
	for {
		select {
		case <-done:
			return nil
		case <-o.ready:
		}
		for _, item := range o.take() {
			if err := send(item); err != nil {
				return err
			}
		}
	}
}
