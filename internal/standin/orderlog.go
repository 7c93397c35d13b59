package standin

import (
	"fmt"
	"time"

	"rackspur/job"
)

// Kinds of orders in an executor's log.
const (
	OrderStart = "start"
	OrderStop  = "stop"
	OrderHold  = "hold"
)

// mostOrders is how many orders an executor keeps in its log: those of about ten
// minutes with a hold each 150 ms.
const mostOrders = 4000

// Order is a call that an executor has carried out or turned away.
type Order struct {
	At   time.Time
	Kind string
	// Name is the run of a start or a stop.
	Name job.RunName
	// Seen is the number of the newest noted end that a hold names.
	Seen int64
	// Until is the lease that the call asked for; zero if it asked for none.
	Until time.Time
	// Lease is when the executor's lease was over, after the call.
	Lease time.Time
	Err   error
}

// String implements fmt.Stringer.String.
func (o Order) String() string {
	text := fmt.Sprintf("%s %v, lease %+d ms", o.Kind, o.Name, o.Lease.Sub(o.At).Milliseconds())
	if !o.Until.IsZero() {
		text += fmt.Sprintf(", asked for %+d ms", o.Until.Sub(o.At).Milliseconds())
	}
	if o.Seen != 0 {
		text += fmt.Sprintf(", notes ends up to %d", o.Seen)
	}
	if o.Err != nil {
		text += ": " + o.Err.Error()
	}
	return text
}

// Orders returns the newest orders in the order in which they were carried out.
func (e *Executor) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// record keeps an order that was carried out now; the lock is held.
func (e *Executor) record(now time.Time, o Order, untilMS int64) {
	o.At = now
	o.Lease = e.leaseEnd()
	if untilMS != 0 {
		o.Until = e.at(untilMS)
	}
	e.orders = append(e.orders, o)
	if len(e.orders) >= 2*mostOrders {
		e.orders = append([]Order(nil), e.orders[mostOrders:]...)
	}
}
