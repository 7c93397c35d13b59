package gate

import (
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// Timing parameters and limits of holds.
const (
	// holdWait is how long a hold may wait for a run to end.
	holdWait = 150 * time.Millisecond
	// holdTimeout is the time allowed for a hold in addition to its wait.
	holdTimeout = 250 * time.Millisecond
	// maxHolds is the maximum number of holds in flight.
	maxHolds = 4
	// newConnectionAfter is the number of overdue holds after which the next one uses a new
	// connection, since the open ones may be dead.
	newConnectionAfter = 2
	// unacknowledgedPause is the time between two holds while ends wait to be acknowledged.
	unacknowledgedPause = 15 * time.Millisecond
	failurePause        = 60 * time.Millisecond
)

// holdCall is a hold in flight.
type holdCall struct {
	hold   Hold
	cancel context.CancelFunc
	sent   time.Time
	// due is when an answer was expected; overdue is set if none had come by then.
	due     time.Time
	overdue bool
	// abandoned is set once the answer is no longer waited for.
	abandoned atomic.Bool
	// early is set if the answer may have come before the end of the wait.
	early bool
	err   error
}

// wait returns how long the target may delay its answer.
func (c *holdCall) wait() time.Duration {
	return time.Duration(c.hold.Call.WaitMS) * time.Millisecond
}

// holdLoop sends holds continuously. When one is overdue, another is sent in parallel, so that
// ends are received even while some calls get no answer.
type holdLoop struct {
	driver *Driver
	// returned delivers each hold once its call has returned.
	returned chan *holdCall
	// underWay holds the holds that are waited for, oldest first; late those that have been
	// abandoned but may still occupy the target.
	underWay, late []*holdCall
	// resume is when to send the next hold while none is in flight.
	resume time.Time
	// waitingForLate: the next hold is delayed until late ones have returned.
	waitingForLate bool
	// newConnection: the next hold uses a new connection.
	newConnection bool
}

func newHoldLoop(d *Driver) *holdLoop {
	return &holdLoop{driver: d, returned: make(chan *holdCall), resume: time.Now()}
}

func (l *holdLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := l.untilDue()
		if due <= 0 {
			// With virtual time, a select on an expired timer crashes the race detector.
			l.onDue(ctx)
			continue
		}
		timer := time.NewTimer(due)
		select {
		case c := <-l.returned:
			l.onReturn(ctx, c)
		case <-l.driver.holdRequests:
			l.onHoldRequest(ctx)
		case <-timer.C:
			l.onDue(ctx)
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// untilDue returns the time until the next hold is to be sent.
func (l *holdLoop) untilDue() time.Duration {
	switch {
	case len(l.underWay) > 0:
		return time.Until(l.newest().due)
	case l.waitingForLate:
		// A cancelled call returns at once, or when it times out.
		return holdTimeout
	}
	return time.Until(l.resume)
}

func (l *holdLoop) newest() *holdCall { return l.underWay[len(l.underWay)-1] }

// onHoldRequest sends a hold immediately. After a restart of the target, the holds in flight
// are abandoned first: they may hang, and the new incarnation would stay unnoticed for up to
// 250 ms, in which it carried out orders meant for the previous one.
func (l *holdLoop) onHoldRequest(ctx context.Context) {
	if l.driver.replaceHolds.Swap(false) {
		l.abandonAll()
		l.newConnection = true
	}
	l.send(ctx)
}

// abandonAll cancels all holds in flight.
func (l *holdLoop) abandonAll() {
	for _, c := range l.underWay {
		l.abandon(c)
		c.cancel()
	}
	l.underWay = nil
	l.resume = time.Now()
}

// abandon stops waiting for a hold.
func (l *holdLoop) abandon(c *holdCall) {
	c.abandoned.Store(true)
	l.late = append(l.late, c)
}

// onDue sends the next hold. One in flight counts as overdue, unless its answer has just
// arrived.
func (l *holdLoop) onDue(ctx context.Context) {
	select {
	case c := <-l.returned:
		l.onReturn(ctx, c)
		return
	default:
	}
	if len(l.underWay) > 0 {
		c := l.newest()
		c.due = time.Now().Add(l.driver.rto.timeout())
		c.overdue = true
		l.driver.doubt()
		l.newConnection = l.newConnection || len(l.underWay) == newConnectionAfter
	}
	l.send(ctx)
}

// send sends a hold if the limit allows it; only one without others in flight waits long.
func (l *holdLoop) send(ctx context.Context) {
	if !l.hasRoom() {
		l.waitingForLate = len(l.late) > 0
		return
	}
	l.waitingForLate = false
	if l.newConnection {
		ctx = OnNewConnection(ctx)
		l.newConnection = false
	}
	c := &holdCall{hold: l.driver.nextHold(len(l.underWay) == 0), sent: time.Now()}
	c.due = c.sent.Add(c.wait() + l.driver.rto.timeout())
	callCtx, cancel := context.WithTimeout(ctx, c.wait()+l.driver.holdTimeout(len(l.underWay) > 0))
	c.cancel = cancel
	l.underWay = append(l.underWay, c)
	go func() {
		defer cancel()
		c.early, c.err = l.driver.hold(callCtx, c.hold, c.abandoned.Load)
		select {
		case l.returned <- c:
		case <-ctx.Done():
		}
	}()
}

// hasRoom reports whether another hold may be sent. If late holds take up the limit, it cancels
// them; a cancelled call occupies the target a moment longer, so the next hold is sent only
// once it has returned. Without counting late holds, the target had four at once while half of
// the calls hung.
func (l *holdLoop) hasRoom() bool {
	if len(l.late) == 0 || len(l.underWay)+len(l.late) < maxHolds-1 {
		return len(l.underWay) < maxHolds
	}
	for _, c := range l.late {
		c.cancel()
	}
	return false
}

// onReturn handles the return of a hold and schedules the next one if no other is in flight.
func (l *holdLoop) onReturn(ctx context.Context, c *holdCall) {
	if c.abandoned.Load() {
		l.late = without(l.late, c)
		if l.waitingForLate {
			l.send(ctx)
		}
		return
	}
	l.underWay = without(l.underWay, c)
	if answered(c.err) {
		l.driver.rto.answeredCall(c.sent)
		l.updateRTO(c)
		l.abandonOlder(c)
	}
	if len(l.underWay) == 0 {
		l.resume = time.Now().Add(l.driver.holdPause(c.err))
	}
}

// without returns holds without c.
func without(holds []*holdCall, c *holdCall) []*holdCall {
	return slices.DeleteFunc(holds, func(other *holdCall) bool { return other == c })
}

// updateRTO updates the retransmission timeout with the time that the target took beyond the
// wait. An answer that may have come before the end of the wait yields no sample.
func (l *holdLoop) updateRTO(c *holdCall) {
	took := time.Since(c.sent) - c.wait()
	if took < 0 || c.early && c.wait() > 0 {
		l.driver.rto.answeredUntimed()
		return
	}
	l.driver.rto.answered(took)
}

// abandonOlder abandons the overdue holds that were sent before c, whose lists are outdated
// now. They are cancelled only later, since most are answered shortly after and cancelling a call
// closes its connection; see rtoEstimator.lateAnswerWait.
func (l *holdLoop) abandonOlder(c *holdCall) {
	l.underWay = slices.DeleteFunc(l.underWay, func(other *holdCall) bool {
		if !other.overdue || other.sent.After(c.sent) {
			return false
		}
		l.abandon(other)
		time.AfterFunc(l.driver.rto.lateAnswerWait(), other.cancel)
		return true
	})
}
