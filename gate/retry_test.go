package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
)

// hangs is a call that is never answered.
func hangs(ctx context.Context) (Answer, error) {
	<-ctx.Done()
	return Answer{}, ErrUnanswered
}

// answers returns a call that is answered at once.
func answers(err error) func(context.Context) (Answer, error) {
	return func(context.Context) (Answer, error) { return Answer{ClockMS: 7}, err }
}

// An order whose first tries are not answered is sent again. A later answer counts only if it
// also settles the earlier tries. Time is virtual, since the tries are too short for a busy
// box.
func TestOrderSentAgain(t *testing.T) {
	tests := []struct {
		name  string
		tries []func(context.Context) (Answer, error)
		want  error
		sent  int
	}{
		{name: "answered", tries: []func(context.Context) (Answer, error){answers(nil)}, sent: 1},
		{name: "refused", tries: []func(context.Context) (Answer, error){answers(ErrNoRoom)}, want: ErrNoRoom, sent: 1},
		{name: "not reached", tries: []func(context.Context) (Answer, error){answers(ErrUnreachable)}, want: ErrUnreachable, sent: 1},
		{name: "second answered", tries: []func(context.Context) (Answer, error){hangs, answers(nil)}, sent: 2},
		{name: "second refused, first may be done", tries: []func(context.Context) (Answer, error){hangs, answers(ErrNoRoom)}, want: ErrUnanswered, sent: 2},
		{name: "second not reached, third answered", tries: []func(context.Context) (Answer, error){hangs, answers(ErrUnreachable), answers(nil)}, sent: 3},
		{name: "ended unanswered, then answered", tries: []func(context.Context) (Answer, error){answers(ErrUnanswered), answers(nil)}, sent: 2},
		{name: "silence", tries: []func(context.Context) (Answer, error){hangs, hangs, hangs, hangs}, want: ErrUnanswered, sent: maxUnansweredTries},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent atomic.Int32
				e := &rtoEstimator{}
				e.answered(time.Microsecond)
				c := newRetriedCall(e, func(ctx context.Context) (Answer, error) {
					return test.tries[min(int(sent.Add(1)), len(test.tries))-1](ctx)
				})
				_, err := c.run(t.Context())
				if !errors.Is(err, test.want) || int(sent.Load()) != test.sent {
					t.Errorf("error %v after %d tries, want %v after %d", err, sent.Load(), test.want, test.sent)
				}
			})
		})
	}
}

// While other calls are answered, an order is retried more often. Time is virtual.
func TestOrderSentMoreOftenBesideAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &rtoEstimator{}
		e.answered(time.Microsecond)
		var sent atomic.Int32
		c := newRetriedCall(e, func(ctx context.Context) (Answer, error) {
			if sent.Add(1) == maxUnansweredTries+2 {
				return Answer{}, nil
			}
			// Another call is answered.
			wait.For(ctx, time.Millisecond)
			e.answeredUntimed()
			return hangs(ctx)
		})
		if _, err := c.run(t.Context()); err != nil {
			t.Errorf("%v after %d tries", err, sent.Load())
		}
	})
}

// The timeout follows the observed latencies within its bounds. Time is virtual.
func TestRTO(t *testing.T) { synctest.Test(t, testRTO) }

func testRTO(t *testing.T) {
	e := &rtoEstimator{}
	if e.timeout() != maxRTO {
		t.Errorf("%v before the first answer", e.timeout())
	}
	for range 50 {
		e.answered(time.Millisecond)
	}
	if e.timeout() != minRTO {
		t.Errorf("%v for quick answers", e.timeout())
	}
	for range 50 {
		e.answered(12 * time.Millisecond)
	}
	if w := e.timeout(); w < 12*time.Millisecond || w > maxRTO {
		t.Errorf("%v for answers in 12 ms", w)
	}
	for range 50 {
		e.answered(time.Second)
	}
	if e.timeout() != maxSlowRTO || e.orderTimeout() != silentAfter {
		t.Errorf("%v, %v for an order, for answers later than a target may be silent", e.timeout(), e.orderTimeout())
	}
	for range 50 {
		e.answered(100 * time.Millisecond)
	}
	if w := e.timeout(); w < 100*time.Millisecond || w > maxSlowRTO || e.orderTimeout() != triesPerOrder*w {
		t.Errorf("%v, %v for an order, for answers in 100 ms", w, e.orderTimeout())
	}
	wait.For(t.Context(), silentAfter+time.Millisecond)
	if e.timeout() != maxRTO || e.orderTimeout() != minOrderTimeout {
		t.Errorf("%v, %v for an order, after silence", e.timeout(), e.orderTimeout())
	}
	for range 50 {
		e.answered(time.Millisecond)
	}
	if e.timeout() != minRTO || e.orderTimeout() != minOrderTimeout {
		t.Errorf("%v, %v for an order, for answers that are quick again", e.timeout(), e.orderTimeout())
	}
}

// Guards against lost calls and single slow answers that delay the tries of all orders. Half of
// the calls are lost, one answer in ten is slow and the others are quick. Time is virtual.
func TestLostCallsAreNotSlowOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const orders = 400
		e := &rtoEstimator{}
		var sent atomic.Uint64
		var unresolved int
		began := time.Now()
		for range orders {
			c := newRetriedCall(e, func(ctx context.Context) (Answer, error) {
				random := rand.New(rand.NewPCG(sent.Add(1), 0))
				if random.IntN(2) == 0 {
					return hangs(ctx)
				}
				took := time.Millisecond
				if random.IntN(10) == 0 {
					took = maxRTO - time.Millisecond
				}
				wait.For(ctx, took)
				return Answer{}, ctx.Err()
			})
			if _, err := c.run(t.Context()); err != nil {
				unresolved++
			}
			if e.timeout() > maxRTO || e.orderTimeout() != minOrderTimeout {
				t.Fatalf("%v until a try, %v for an order, want at most %v and %v", e.timeout(), e.orderTimeout(), maxRTO, minOrderTimeout)
			}
			wait.For(t.Context(), time.Millisecond)
		}
		t.Logf("%d of %d orders unresolved, %d tries, %v", unresolved, orders, sent.Load(), time.Since(began))
	})
}

// slowStarts answers each start after a while, unless it was given up.
type slowStarts struct {
	hangingTarget
	takes time.Duration
}

func (e *slowStarts) Start(ctx context.Context, _ Incarnation, _ StartCall) (Answer, error) {
	wait.For(ctx, e.takes)
	if ctx.Err() != nil {
		return Answer{}, ErrUnanswered
	}
	return e.answer(), nil
}

// Guards against a gate that never learns how slowly its target answers, because it gives up all
// orders before their answers. Time is virtual.
func TestOrdersLearnHowSlowTheTargetIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes, orders = 140 * time.Millisecond, 4
		x := &slowStarts{takes: takes}
		d := NewDriver(t.Context(), New(Options{Node: "gate-1", Lease: time.Second}), x, logr.Discard())
		for range 50 {
			d.rto.answered(time.Millisecond)
		}
		for range orders {
			d.start(testIncarnation, StartCall{UntilMS: time.Hour.Milliseconds()})
			wait.For(t.Context(), silentAfter)
		}
		d.rto.answeredUntimed()
		if timeout := d.rto.orderTimeout(); timeout < takes {
			t.Errorf("an order is waited for %v after %d orders with answers in %v", timeout, orders, takes)
		}
	})
}

// Guards against calls that occupy a target though a later one was answered, so that they are lost.
// Time is virtual.
func TestOvertakenTriesAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &rtoEstimator{}
		e.answered(time.Millisecond)
		ended := make(chan time.Time, maxTries)
		c := newRetriedCall(e, func(ctx context.Context) (Answer, error) {
			defer func() { ended <- time.Now() }()
			return hangs(ctx)
		})
		_, _ = c.run(t.Context())
		resolved := time.Now()
		e.answeredCall(resolved)
		if open := (<-ended).Sub(resolved); open != minLateAnswerWait {
			t.Errorf("the open tries went on for %v, want %v", open, minLateAnswerWait)
		}
	})
}

// A start is not waited for beyond the lease that it carries, however slow the target is. Time is
// virtual.
func TestStartIsWaitedForWithinItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lease = 120 * time.Millisecond
		x := &slowStarts{takes: time.Hour}
		d := NewDriver(t.Context(), New(Options{Node: "gate-1", Lease: time.Second}), x, logr.Discard())
		for range 50 {
			d.rto.answered(silentAfter)
		}
		began := time.Now()
		d.start(testIncarnation, StartCall{UntilMS: lease.Milliseconds()})
		if took := time.Since(began); took > lease {
			t.Errorf("waited for a start for %v, want %v at most", took, lease)
		}
		wait.For(t.Context(), time.Second)
	})
}

// lossyHolds answers only every second hold.
type lossyHolds struct {
	hangingTarget
	holds atomic.Int32
	// maxUnderWay is the maximum number of holds in flight.
	underWay, maxUnderWay atomic.Int32
}

func (e *lossyHolds) Hold(ctx context.Context, _ Incarnation, _ HoldCall) (Answer, HoldAnswer, error) {
	n := e.underWay.Add(1)
	defer e.underWay.Add(-1)
	e.maxUnderWay.Store(max(e.maxUnderWay.Load(), n))
	if e.holds.Add(1)%2 == 0 {
		<-ctx.Done()
		return Answer{}, HoldAnswer{}, ErrUnanswered
	}
	return e.answer(), HoldAnswer{}, nil
}

// An unanswered hold is abandoned once a later one is answered, so that it does not use up the
// limit.
func TestOverdueHoldIsBrokenOff(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &lossyHolds{}
	g := New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: time.Minute, BestEffortContactTimeout: time.Minute})
	d := NewDriver(ctx, g, e, logr.Discard())
	go d.Run(ctx)
	d.Heartbeat(Heartbeat{Incarnation: testIncarnation, Service: "engine", Sequence: 1})
	until := time.Now().Add(30 * time.Second)
	for e.holds.Load() < 20 && time.Now().Before(until) {
		<-time.After(time.Millisecond)
	}
	if e.holds.Load() < 20 || e.maxUnderWay.Load() >= maxHolds {
		t.Errorf("%d holds, %d at once", e.holds.Load(), e.maxUnderWay.Load())
	}
}

// An order with a single, answered try leaves no timer behind. Open tries of an order get time
// for a late answer. Time is virtual.
func TestOrderLeavesNoTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		contexts := make(chan context.Context, 2)
		first := newRetriedCall(&rtoEstimator{}, func(ctx context.Context) (Answer, error) {
			contexts <- ctx
			if len(contexts) == 2 {
				return Answer{}, nil
			}
			return hangs(ctx)
		})
		_, _ = first.run(t.Context())
		open := <-contexts
		<-contexts
		if open.Err() != nil {
			t.Error("the open try was cancelled at once")
		}
		answered := time.Now()
		<-open.Done()
		if passed := time.Since(answered); passed != minLateAnswerWait {
			t.Errorf("the open try went on for %v, want %v", passed, minLateAnswerWait)
		}
		second := newRetriedCall(&rtoEstimator{}, func(ctx context.Context) (Answer, error) {
			contexts <- ctx
			return Answer{}, nil
		})
		_, _ = second.run(t.Context())
		if done := <-contexts; done.Err() == nil {
			t.Error("an answered order waits for a timer")
		}
	})
}

// An order is carried out even if only calls over a new connection are answered. Time is
// virtual.
func TestOrderOverNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &rtoEstimator{}
		e.answered(time.Microsecond)
		c := newRetriedCall(e, func(ctx context.Context) (Answer, error) {
			if WantsNewConnection(ctx) {
				return Answer{}, nil
			}
			return hangs(ctx)
		})
		if _, err := c.run(t.Context()); err != nil {
			t.Errorf("error %v after %d tries", err, c.tries)
		}
	})
}

// lateHolds answers some holds after their timeout, and counts those cancelled before.
type lateHolds struct {
	hangingTarget
	holds, ended atomic.Int32
}

func (e *lateHolds) Hold(ctx context.Context, _ Incarnation, c HoldCall) (Answer, HoldAnswer, error) {
	takes := time.Duration(c.WaitMS) * time.Millisecond
	if e.holds.Add(1)%10 == 0 {
		takes += maxRTO + minLateAnswerWait/2
	}
	wait.For(ctx, takes)
	if ctx.Err() != nil {
		e.ended.Add(1)
		return Answer{}, HoldAnswer{}, ErrUnanswered
	}
	return e.answer(), HoldAnswer{}, nil
}

// A hold that is answered slightly late is not cancelled when a parallel one is answered first,
// since that would close its connection. Time is virtual.
func TestLateHoldKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &lateHolds{}
		g := New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: time.Minute, BestEffortContactTimeout: time.Minute})
		d := NewDriver(ctx, g, e, logr.Discard())
		go d.Run(ctx)
		d.Heartbeat(Heartbeat{Incarnation: testIncarnation, Service: "engine", Sequence: 1})
		wait.For(ctx, 30*time.Second)
		if holds, ended := e.holds.Load(), e.ended.Load(); holds < 100 || ended > 0 {
			t.Errorf("%d of %d holds ended early", ended, holds)
		}
		cancel()
		synctest.Wait()
	})
}

// earlyHolds answers each hold late, with an end that comes before the end of its wait.
type earlyHolds struct {
	hangingTarget
	late, early time.Duration
	ends        atomic.Int64
}

func (e *earlyHolds) Hold(ctx context.Context, _ Incarnation, c HoldCall) (Answer, HoldAnswer, error) {
	if c.WaitMS == 0 {
		wait.For(ctx, e.late)
		return e.answer(), HoldAnswer{}, ctx.Err()
	}
	wait.For(ctx, time.Duration(c.WaitMS)*time.Millisecond-e.early+e.late)
	if ctx.Err() != nil {
		return Answer{}, HoldAnswer{}, ErrUnanswered
	}
	return e.answer(), HoldAnswer{Finished: []Ended{{Number: e.ends.Add(1)}}}, nil
}

// Guards against a target that seems to answer faster than it does, because the time since a hold
// that was answered early is taken for the latency. Time is virtual.
func TestEarlyHoldIsNoSample(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		x := &earlyHolds{late: 100 * time.Millisecond, early: 60 * time.Millisecond}
		g := New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: time.Minute, BestEffortContactTimeout: time.Minute})
		d := NewDriver(ctx, g, x, logr.Discard())
		for range 50 {
			d.rto.answered(x.late)
		}
		go d.Run(ctx)
		d.Heartbeat(Heartbeat{Incarnation: testIncarnation, Service: "engine", Sequence: 1})
		wait.For(ctx, 5*time.Second)
		cancel()
		synctest.Wait()
		if d.rto.smoothed < x.late || x.ends.Load() == 0 {
			t.Errorf("a latency of %v was learnt from answers in %v; %d early holds", d.rto.smoothed, x.late, x.ends.Load())
		}
	})
}

// openCalls is a target that answers nothing and counts the calls in progress.
type openCalls struct {
	open, most atomic.Int32
}

func (e *openCalls) hang(ctx context.Context) {
	n := e.open.Add(1)
	defer e.open.Add(-1)
	e.most.Store(max(e.most.Load(), n))
	<-ctx.Done()
}

func (e *openCalls) Start(ctx context.Context, _ Incarnation, _ StartCall) (Answer, error) {
	e.hang(ctx)
	return Answer{}, ErrUnanswered
}

func (e *openCalls) Stop(ctx context.Context, _ Incarnation, _ StopCall) (Answer, error) {
	e.hang(ctx)
	return Answer{}, ErrUnanswered
}

func (e *openCalls) Hold(ctx context.Context, _ Incarnation, _ HoldCall) (Answer, HoldAnswer, error) {
	<-ctx.Done()
	return Answer{}, HoldAnswer{}, ErrUnanswered
}

// Tries of an order at a target that answers nothing end once it counts as silent. Time is
// virtual.
func TestOpenTriesEndWithSilence(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, silentAfter} {
		synctest.Test(t, func(t *testing.T) {
			x := &openCalls{}
			d := NewDriver(t.Context(), New(Options{Node: "gate-1", Lease: time.Second}), x, logr.Discard())
			for range 50 {
				d.rto.answered(latency)
			}
			began := time.Now()
			go d.start(testIncarnation, StartCall{UntilMS: time.Hour.Milliseconds()})
			synctest.Wait()
			for x.open.Load() > 0 {
				wait.For(t.Context(), time.Millisecond)
				synctest.Wait()
			}
			t.Logf("latency %v: at most %d tries at once, open for %v", latency, x.most.Load(), time.Since(began))
			if took := time.Since(began); took > silentAfter+maxSlowRTO {
				t.Errorf("tries were open for %v", took)
			}
		})
	}
}
