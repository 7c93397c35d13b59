package gate

import (
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// Times of holds.
const (
	// holdWait is how long a hold may wait for an end.
	holdWait = 150 * time.Millisecond
	// holdTimeout is the time given to a hold beyond its wait.
	holdTimeout = 250 * time.Millisecond
	// mostHolds is how many holds are under way at most.
	mostHolds = 4
	// freshHold is how many holds are overdue when the next is made over a new
	// connection: the open ones may have gone silent.
	freshHold = 2
	// unnotedPause is the time between two holds while ends wait to be noted.
	unnotedPause = 15 * time.Millisecond
	failurePause = 60 * time.Millisecond
)

// holdCall is a hold that is under way.
type holdCall struct {
	hold   Hold
	cancel context.CancelFunc
	sent   time.Time
	// due is when an answer should have come; overdue that it has not by then.
	due     time.Time
	overdue bool
	// brokenOff is set once nobody waits for the answer any more.
	brokenOff atomic.Bool
	err       error
}

// wait is how long the executor may wait with its answer.
func (c *holdCall) wait() time.Duration {
	return time.Duration(c.hold.Call.WaitMS) * time.Millisecond
}

// holdLoop holds the executor again and again. A hold that is overdue is not
// waited for: another is sent beside it, so that ends are seen also while some
// calls get no answer.
type holdLoop struct {
	driver *Driver
	// returned has each hold once its call has ended.
	returned chan *holdCall
	// underWay are the holds that are waited for, oldest first; late are those that are
	// not any more, but are still at the target.
	underWay, late []*holdCall
	// resume is when the next hold is due while none is under way.
	resume time.Time
	// blocked: a hold is due, and waits for late ones to return.
	blocked bool
	// fresh: the next hold is made over a new connection.
	fresh bool
}

func newHoldLoop(d *Driver) *holdLoop {
	return &holdLoop{driver: d, returned: make(chan *holdCall), resume: time.Now()}
}

func (l *holdLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := l.untilDue()
		if due <= 0 {
			// In virtual time a select on a timer that is past crashes the race detector.
			l.passedDue(ctx)
			continue
		}
		timer := time.NewTimer(due)
		select {
		case c := <-l.returned:
			l.finished(ctx, c)
		case <-l.driver.kick:
			l.kicked(ctx)
		case <-timer.C:
			l.passedDue(ctx)
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
	case l.blocked:
		// A call that was ended returns at once, or by its time-out.
		return holdTimeout
	}
	return time.Until(l.resume)
}

func (l *holdLoop) newest() *holdCall { return l.underWay[len(l.underWay)-1] }

// kicked makes a hold at once. With a target that has started again, all holds under way
// may hang: that left the newer life unheard for up to 250 ms, in which it carried out what
// was meant for the former one.
func (l *holdLoop) kicked(ctx context.Context) {
	if l.driver.afresh.Swap(false) {
		l.breakOffAll()
		l.fresh = true
	}
	l.send(ctx)
}

// breakOffAll gives up all holds under way.
func (l *holdLoop) breakOffAll() {
	for _, c := range l.underWay {
		l.giveUp(c)
		c.cancel()
	}
	l.underWay = nil
	l.resume = time.Now()
}

// giveUp waits for a hold no more.
func (l *holdLoop) giveUp(c *holdCall) {
	c.brokenOff.Store(true)
	l.late = append(l.late, c)
}

// passedDue sends the next hold. If one is under way, it should have been answered by now,
// unless its answer has come in the same moment.
func (l *holdLoop) passedDue(ctx context.Context) {
	select {
	case c := <-l.returned:
		l.finished(ctx, c)
		return
	default:
	}
	if len(l.underWay) > 0 {
		c := l.newest()
		c.due = time.Now().Add(l.driver.rto.timeout())
		c.overdue = true
		l.driver.doubt()
		l.fresh = l.fresh || len(l.underWay) == freshHold
	}
	l.send(ctx)
}

// send makes a hold unless too many are at the target; only the first waits long.
func (l *holdLoop) send(ctx context.Context) {
	if l.blocked = !l.makeRoom(); l.blocked {
		return
	}
	if l.fresh {
		ctx = OnNewConnection(ctx)
		l.fresh = false
	}
	c := &holdCall{hold: l.driver.nextHold(len(l.underWay) == 0), sent: time.Now()}
	c.due = c.sent.Add(c.wait() + l.driver.rto.timeout())
	callCtx, cancel := context.WithTimeout(ctx, c.wait()+l.driver.holdTimeout(len(l.underWay) > 0))
	c.cancel = cancel
	l.underWay = append(l.underWay, c)
	go func() {
		defer cancel()
		c.err = l.driver.hold(callCtx, c.hold, c.brokenOff.Load)
		select {
		case l.returned <- c:
		case <-ctx.Done():
		}
	}()
}

// makeRoom says whether another hold may go to the target. If late ones take its place, it ends
// them: an ended call goes on there for a moment, so the next is sent only once it has returned.
// Counting only the holds that are waited for, half of the calls hanging brought four to the
// target at once.
func (l *holdLoop) makeRoom() bool {
	if len(l.late) == 0 || len(l.underWay)+len(l.late) < mostHolds-1 {
		return len(l.underWay) < mostHolds
	}
	for _, c := range l.late {
		c.cancel()
	}
	return false
}

// finished takes in the end of a hold and settles when the next is made, if no other is under
// way.
func (l *holdLoop) finished(ctx context.Context, c *holdCall) {
	if c.brokenOff.Load() {
		l.late = without(l.late, c)
		if l.blocked {
			l.send(ctx)
		}
		return
	}
	l.underWay = without(l.underWay, c)
	if answered(c.err) {
		l.learn(c)
		l.breakOffOlder(c)
	}
	if len(l.underWay) == 0 {
		l.resume = time.Now().Add(l.driver.holdPause(c.err))
	}
}

// without returns the holds but for one.
func without(holds []*holdCall, c *holdCall) []*holdCall {
	return slices.DeleteFunc(holds, func(other *holdCall) bool { return other == c })
}

// learn takes in how long the executor took to answer beyond the wait. An answer
// that came before its end tells nothing of that: it waited for an end of a run.
func (l *holdLoop) learn(c *holdCall) {
	took := time.Since(c.sent) - c.wait()
	if took < 0 {
		l.driver.rto.heard()
		return
	}
	l.driver.rto.answered(took)
}

// breakOffOlder gives up the overdue holds that were sent before one that was
// answered: their lists would be older than those that have come. They keep the time for a late
// answer: a call that is ended early costs its connection, and most are answered some
// milliseconds late. Ended at once they cost 11 new connections of 13 a target and minute.
func (l *holdLoop) breakOffOlder(c *holdCall) {
	l.underWay = slices.DeleteFunc(l.underWay, func(other *holdCall) bool {
		if !other.overdue || other.sent.After(c.sent) {
			return false
		}
		l.giveUp(other)
		time.AfterFunc(lateAnswer, other.cancel)
		return true
	})
}
