package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/connectivity"

	"rackspur/observe"
	"rackspur/rpc"
)

// frameWatch ends a link that receives no frames. A link without a frame for its timeout
// ends. A link with runs at its gate is probed sooner, by opening a new connection to the
// same address: if that succeeds before a frame arrives, the old connection is dead; if the
// gate or the network is merely slow, the frame arrives first.
type frameWatch struct {
	// timeout is how long the link may go without a frame, busyTimeout how long until
	// it is probed while the gate has runs of the owner.
	timeout, busyTimeout time.Duration
	// connect opens a new connection and reports whether that succeeded.
	connect func(ctx context.Context) bool
	// end ends the link.
	end context.CancelFunc

	mu sync.Mutex
	// expiry ends the link, probeTimer starts a probe.
	expiry, probeTimer *time.Timer
	// busy is set if the gate has runs of the owner or was sent orders.
	busy bool
	// cancelProbe cancels the probe that is under way.
	cancelProbe context.CancelFunc
}

// newFrameWatch returns a watch over a link that must receive its first frame within first.
func newFrameWatch(first, timeout time.Duration, connect func(context.Context) bool, end context.CancelFunc) *frameWatch {
	w := &frameWatch{timeout: timeout, busyTimeout: busyFrameTimeout, connect: connect, end: end, cancelProbe: func() {}}
	w.expiry = time.AfterFunc(first, end)
	w.probeTimer = time.AfterFunc(first, w.probe)
	w.probeTimer.Stop()
	return w
}

// stop ends the watch.
func (w *frameWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expiry.Stop()
	w.probeTimer.Stop()
	w.cancelProbe()
}

// frameReceived restarts the timers; busy reports whether the gate has runs of the owner.
func (w *frameWatch) frameReceived(busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelProbe()
	w.busy = busy
	w.expiry.Reset(w.timeout)
	if busy {
		w.probeTimer.Reset(w.busyTimeout)
		return
	}
	w.probeTimer.Stop()
}

// frameSent starts the probe timer if a frame with orders was sent, since the gate
// acknowledges them soon.
func (w *frameWatch) frameSent(orders bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy || !orders {
		return
	}
	w.busy = true
	w.probeTimer.Reset(w.busyTimeout)
}

// probe opens a new connection and ends the link if that succeeds before a frame arrives.
func (w *frameWatch) probe() {
	w.mu.Lock()
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	w.cancelProbe = cancel
	w.mu.Unlock()
	defer cancel()
	if w.connect(ctx) && ctx.Err() == nil {
		w.end()
	}
}

// reachable reports whether a new connection to an address can be established.
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
