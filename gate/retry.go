package gate

import (
	"context"
	"errors"
	"time"
)

// Parameters for retrying an order.
const (
	// maxTries is how often an order is sent at most. If half of all calls go unanswered, one
	// order in 256 remains unresolved.
	maxTries = 8
	// maxUnansweredTries is the limit while the target answers no call at all. Three tries in a
	// row are lost by chance only if most calls are.
	maxUnansweredTries = 3
	// newConnectionTry is the try that uses a new connection: the connections of the earlier
	// ones may be dead.
	newConnectionTry = 3
	// minOrderTimeout is the shortest time that an order may go unanswered before the gate checks
	// with a hold what became of it; see rtoEstimator.orderTimeout.
	minOrderTimeout = 60 * time.Millisecond
	// minLateAnswerWait is the shortest time that the other tries of a resolved order, and
	// abandoned holds, may continue; see rtoEstimator.lateAnswerWait.
	minLateAnswerWait = maxRTO
)

// retriedCall is a start or a stop that is sent again until it is answered. This is safe: a
// target treats a second start of the same run as a duplicate, and a start that it carries out
// late has an expired lease. For a newer incarnation see the comment in lateorder.go.
type retriedCall struct {
	call func(ctx context.Context) (Answer, error)
	rto  *rtoEstimator
	// timeout is how long the call may go unanswered.
	timeout time.Duration
	began   time.Time
	answers chan try
	tries   int
	// open counts the tries in flight, lost those that ended without an answer.
	open, lost int
}

// try is the result of one try.
type try struct {
	answer Answer
	err    error
}

// newRetriedCall returns a call that has not been sent yet.
func newRetriedCall(e *rtoEstimator, call func(ctx context.Context) (Answer, error)) *retriedCall {
	return &retriedCall{call: call, rto: e, timeout: e.orderTimeout(), began: time.Now(), answers: make(chan try, maxTries)}
}

// run sends the call until it is resolved. ErrUnanswered means that it may have been carried
// out, or may be carried out later.
func (c *retriedCall) run(ctx context.Context) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.cancelOpen(cancel)
	timeout := time.NewTimer(c.timeout)
	defer timeout.Stop()
	for {
		c.send(ctx)
		resend, t := c.await(ctx, timeout.C)
		if !resend {
			return t.answer, t.err
		}
	}
}

// cancelOpen cancels the tries in flight. Without any, no timer is needed, which saves a
// wake-up of the process per order.
func (c *retriedCall) cancelOpen(cancel context.CancelFunc) {
	if c.open == 0 {
		cancel()
		return
	}
	time.AfterFunc(c.rto.lateAnswerWait(), func() { c.cancelLost(cancel) })
}

// cancelLost cancels the tries in flight once they are lost rather than slow. Until then their
// answers show how slow the target is.
func (c *retriedCall) cancelLost(cancel context.CancelFunc) {
	left := silentAfter - time.Since(c.began)
	if left <= 0 || c.rto.overtaken(c.began) {
		cancel()
		return
	}
	time.AfterFunc(min(left, minLateAnswerWait), func() { c.cancelLost(cancel) })
}

func (c *retriedCall) send(ctx context.Context) {
	c.tries++
	if c.tries == newConnectionTry {
		ctx = OnNewConnection(ctx)
	}
	c.open++
	go func() {
		sent := time.Now()
		answer, err := c.call(ctx)
		if answered(err) {
			c.rto.answered(time.Since(sent))
			c.rto.answeredCall(sent)
		}
		c.answers <- try{answer: answer, err: err}
	}()
}

// mayComeLate reports whether a try was not answered, so that it may be carried out later.
func (c *retriedCall) mayComeLate() bool { return c.open+c.lost > 0 }

// answered reports whether the target has answered the call that returned err.
func answered(err error) bool {
	return !errors.Is(err, ErrUnanswered) && !errors.Is(err, ErrUnreachable)
}

// await waits until the call is resolved or has to be sent again.
func (c *retriedCall) await(ctx context.Context, timeout <-chan time.Time) (resend bool, t try) {
	due := time.NewTimer(c.rto.timeout())
	defer due.Stop()
	for {
		select {
		case t := <-c.answers:
			c.open--
			if errors.Is(t.err, ErrUnanswered) {
				c.lost++
			}
			if answered(t.err) || c.tries == 1 && errors.Is(t.err, ErrUnreachable) {
				return false, c.decided(t)
			}
			if c.mayResend() {
				return true, try{}
			}
			if c.open == 0 {
				return false, try{err: ErrUnanswered}
			}
		case <-due.C:
			if c.mayResend() && time.Since(c.began) < c.timeout {
				return true, try{}
			}
			due.Reset(c.rto.timeout())
		case <-timeout:
			return false, try{err: ErrUnanswered}
		case <-ctx.Done():
			return false, try{err: ErrUnanswered}
		}
	}
}

// decided returns the result of an answered call. If an earlier try was not answered, only
// success is certain: after any other answer the earlier try may have been carried out, or may
// be later.
func (c *retriedCall) decided(t try) try {
	if t.err == nil || c.tries == 1 {
		return t
	}
	return try{answer: t.answer, err: ErrUnanswered}
}

// mayResend reports whether the call may be sent again.
func (c *retriedCall) mayResend() bool {
	if c.tries < maxUnansweredTries {
		return true
	}
	return c.tries < maxTries && c.rto.answeredSince(c.began)
}
