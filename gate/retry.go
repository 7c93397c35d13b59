package gate

import (
	"context"
	"errors"
	"time"
)

// Bounds of sending an order again.
const (
	// mostTries is how many times an order is sent at most: with half of all
	// calls unanswered one order in 256 is left in doubt.
	mostTries = 8
	// triesInSilence is how many times it is sent while the executor answers
	// nothing at all: three in a row are lost by chance only where calls mostly are.
	triesInSilence = 3
	// freshTry is the try that is made over a new connection: the first two may have
	// been sent over connections that have gone silent.
	freshTry = 3
	// orderTimeout is how long an order may go unanswered before the gate looks
	// for what became of it.
	orderTimeout = 60 * time.Millisecond
	// lateAnswer is how long the other tries of an order are left alone once it
	// is decided, and a hold that is no longer waited for: breaking off one that is
	// answered a moment later would cost its connection.
	lateAnswer = mostRTO
)

// retriedCall is a start or a stop that is sent again while it stays without an answer.
// This is safe: an executor takes a second start of the same run for the first,
// and one that is carried out late is past its lease.
type retriedCall struct {
	call    func(ctx context.Context) (Answer, error)
	rto     *rtoEstimator
	began   time.Time
	answers chan try
	tries   int
	// open is how many tries have neither an answer nor an error, lost how many ended
	// without an answer.
	open, lost int
}

// try is what became of one try of an order.
type try struct {
	answer Answer
	err    error
}

// newRetriedCall returns a call that was not sent yet.
func newRetriedCall(e *rtoEstimator, call func(ctx context.Context) (Answer, error)) *retriedCall {
	return &retriedCall{call: call, rto: e, began: time.Now(), answers: make(chan try, mostTries)}
}

// run sends the call until it is decided. ErrUnanswered says that it may have
// been done, or may be done later.
func (c *retriedCall) run(ctx context.Context) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.breakOff(cancel)
	timeout := time.NewTimer(orderTimeout)
	defer timeout.Stop()
	for {
		c.send(ctx)
		again, t := c.await(ctx, timeout.C)
		if !again {
			return t.answer, t.err
		}
	}
}

// breakOff ends the tries that are open. An order whose only try was answered needs
// no timer: each that fires is a wake-up of the process.
func (c *retriedCall) breakOff(cancel context.CancelFunc) {
	if c.open == 0 {
		cancel()
		return
	}
	time.AfterFunc(lateAnswer, cancel)
}

func (c *retriedCall) send(ctx context.Context) {
	c.tries++
	if c.tries == freshTry {
		ctx = OnNewConnection(ctx)
	}
	c.open++
	go func() {
		sent := time.Now()
		answer, err := c.call(ctx)
		if answered(err) {
			c.rto.answered(time.Since(sent))
		}
		c.answers <- try{answer: answer, err: err}
	}()
}

// mayComeLate says whether a try that was sent got no answer: it may be carried out later.
func (c *retriedCall) mayComeLate() bool { return c.open+c.lost > 0 }

// answered says whether an executor has answered a call.
func answered(err error) bool {
	return !errors.Is(err, ErrUnanswered) && !errors.Is(err, ErrUnreached)
}

// await waits until the call is decided or is to be sent again.
func (c *retriedCall) await(ctx context.Context, timeout <-chan time.Time) (again bool, t try) {
	due := time.NewTimer(c.rto.timeout())
	defer due.Stop()
	for {
		select {
		case t := <-c.answers:
			c.open--
			if errors.Is(t.err, ErrUnanswered) {
				c.lost++
			}
			if answered(t.err) || c.tries == 1 && errors.Is(t.err, ErrUnreached) {
				return false, c.decided(t)
			}
			if c.mayResend() {
				return true, try{}
			}
			if c.open == 0 {
				return false, try{err: ErrUnanswered}
			}
		case <-due.C:
			if c.mayResend() {
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

// decided returns the outcome by an answer. If an earlier try got none, only
// success is certain: after any other answer the earlier one may still have been
// done, or be done later.
func (c *retriedCall) decided(t try) try {
	if t.err == nil || c.tries == 1 {
		return t
	}
	return try{answer: t.answer, err: ErrUnanswered}
}

// mayResend says whether another try is of use.
func (c *retriedCall) mayResend() bool {
	if c.tries < triesInSilence {
		return true
	}
	return c.tries < mostTries && c.rto.answeredSince(c.began)
}
