package node

import (
	"context"
	"time"

	"rackspur/member"
)

// leaseWait is how long a submission waits for the entry box to acquire its lease, which
// takes two rounds of writes of 10 to 20 ms in all.
const leaseWait = 250 * time.Millisecond

// requestLease makes the incarnation acquire its lease. Without durable jobs no lease is
// held, which saves three renewals a second and as many reads of all other leases at each
// entry box.
func (t *term) requestLease() {
	select {
	case t.leaseRequested <- struct{}{}:
	default:
	}
}

// awaitLeaseRequest waits until the lease is needed: a durable job is submitted here, or
// another incarnation holds a lease, so that its jobs may have to be taken over. It
// returns false if the incarnation ends first.
func (t *term) awaitLeaseRequest() bool {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	go member.FollowLives(ctx, t.entry.store, t.entry.options.Parts, t.requestLease, t.entry.options.Unreadable, t.log)
	select {
	case <-t.leaseRequested:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// awaitLease requests the lease and waits up to leaseWait until it is acquired.
func (t *term) awaitLease(ctx context.Context) {
	select {
	case <-t.leaseAcquired:
		return
	default:
	}
	t.requestLease()
	ctx, cancel := context.WithTimeout(ctx, leaseWait)
	defer cancel()
	select {
	case <-t.leaseAcquired:
	case <-ctx.Done():
	}
}
