package standin

import (
	"fmt"
	"time"

	"rackspur/job"
)

// Kinds of orders.
const (
	OrderStart = "start"
	OrderStop  = "stop"
	OrderHold  = "hold"
)

// maxOrders is how many orders are kept when the log is trimmed: about ten minutes with a
// hold each 150 ms.
const maxOrders = 4000

// Order is the record of a call that an executor has carried out or refused.
type Order struct {
	At   time.Time
	Kind string
	// Name is the run that a start or a stop is for.
	Name job.RunName
	// Seen is the number up to which a hold acknowledges ends.
	Seen int64
	// Issued is the number of the newest end before a hold.
	Issued int64
	// Until is the end of the lease that the call asked for; zero if it asked for none.
	Until time.Time
	// Lease is the end of the executor's lease after the call.
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
		text += fmt.Sprintf(", acknowledges ends up to %d of %d", o.Seen, o.Issued)
	}
	if o.Err != nil {
		text += ": " + o.Err.Error()
	}
	return text
}

// Orders returns the most recent orders, oldest first.
func (e *Executor) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// record adds an order to the log. The lock must be held.
func (e *Executor) record(now time.Time, o Order, untilMS int64) {
	o.At = now
	o.Lease = e.leaseEnd()
	if untilMS != 0 {
		o.Until = e.timeAtClock(untilMS)
	}
	if e.OnOrder != nil {
		e.OnOrder(o)
	}
	e.orders = append(e.orders, o)
	if len(e.orders) >= 2*maxOrders {
		e.orders = append([]Order(nil), e.orders[maxOrders:]...)
	}
}
