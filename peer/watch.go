package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/connectivity"

	"rackspur/observe"
	"rackspur/rpc"
)

// frameWatch ends a link whose connection has gone silent. A link that is without a
// frame for its whole time ends. One with runs at its gate is doubted sooner: if a
// new connection to the same address is made before a frame comes, the old one is
// silent; if the other side or the way there is slow, the frame comes first.
type frameWatch struct {
	// timeout is how long the link may be without a frame, busyTimeout how long
	// until it is doubted while the gate has runs of the owner.
	timeout, busyTimeout time.Duration
	// connect makes a new connection.
	connect func(ctx context.Context) bool
	// end ends the link.
	end context.CancelFunc

	mu sync.Mutex
	// last ends the link, doubt begins a new connection.
	last, doubt *time.Timer
	// busy says that the gate has runs of the owner, or was sent orders.
	busy bool
	// settle ends the making of a new connection.
	settle context.CancelFunc
}

// newFrameWatch returns a watch over a link that must bring its first frame within a
// time.
func newFrameWatch(first, timeout time.Duration, connect func(context.Context) bool, end context.CancelFunc) *frameWatch {
	w := &frameWatch{timeout: timeout, busyTimeout: busyFrameTimeout, connect: connect, end: end, settle: func() {}}
	w.last = time.AfterFunc(first, end)
	w.doubt = time.AfterFunc(first, w.test)
	w.doubt.Stop()
	return w
}

// stop ends the watch.
func (w *frameWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last.Stop()
	w.doubt.Stop()
	w.settle()
}

// heard takes in that a frame has come.
func (w *frameWatch) heard(busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	w.busy = busy
	w.last.Reset(w.timeout)
	if busy {
		w.doubt.Reset(w.busyTimeout)
		return
	}
	w.doubt.Stop()
}

// sent takes in that a frame was sent, maybe with orders. The gate tells soon that
// it has them.
func (w *frameWatch) sent(orders bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy || !orders {
		return
	}
	w.busy = true
	w.doubt.Reset(w.busyTimeout)
}

// test makes a new connection and ends the link if no frame has come by then.
func (w *frameWatch) test() {
	w.mu.Lock()
	ctx, settle := context.WithTimeout(context.Background(), w.timeout)
	w.settle = settle
	w.mu.Unlock()
	defer settle()
	if w.connect(ctx) && ctx.Err() == nil {
		w.end()
	}
}

// reachable makes a connection to an address and says whether the process there has
// answered over it.
func reachable(ctx context.Context, address string, m *observe.Metrics) bool {
	conn, err := rpc.Dial(address, m)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.Connect()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}
