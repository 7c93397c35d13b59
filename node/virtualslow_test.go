package node

import (
	"context"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
)

// callDelays are the delays of all calls to a target.
type callDelays struct {
	// request is how long a call takes to reach the target, answer how long its answer takes.
	request, answer time.Duration
}

// lateCalls delays the calls to a target. A call that its caller has given up is carried out all
// the same.
type lateCalls struct {
	target gate.Target
	// ctx ends with the site.
	ctx context.Context

	mu     sync.Mutex
	delays callDelays
}

func (c *lateCalls) setDelays(d callDelays) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delays = d
}

func (c *lateCalls) delaysNow() callDelays {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delays
}

// call makes a call.
func (c *lateCalls) call(ctx context.Context, f func(ctx context.Context) slowReply) slowReply {
	d := c.delaysNow()
	if d == (callDelays{}) {
		return f(ctx)
	}
	replies := make(chan slowReply, 1)
	go func() {
		wait.For(c.ctx, d.request)
		r := f(c.ctx)
		wait.For(c.ctx, d.answer)
		replies <- r
	}()
	select {
	case r := <-replies:
		return r
	case <-ctx.Done():
		return slowReply{err: gate.ErrUnanswered}
	}
}

// Start implements gate.Target.Start.
func (c *lateCalls) Start(ctx context.Context, life gate.Incarnation, s gate.StartCall) (gate.Answer, error) {
	r := c.call(ctx, func(ctx context.Context) slowReply {
		a, err := c.target.Start(ctx, life, s)
		return slowReply{answer: a, err: err}
	})
	return r.answer, r.err
}

// Stop implements gate.Target.Stop.
func (c *lateCalls) Stop(ctx context.Context, life gate.Incarnation, s gate.StopCall) (gate.Answer, error) {
	r := c.call(ctx, func(ctx context.Context) slowReply {
		a, err := c.target.Stop(ctx, life, s)
		return slowReply{answer: a, err: err}
	})
	return r.answer, r.err
}

// Hold implements gate.Target.Hold.
func (c *lateCalls) Hold(ctx context.Context, life gate.Incarnation, h gate.HoldCall) (gate.Answer, gate.HoldAnswer, error) {
	r := c.call(ctx, func(ctx context.Context) slowReply {
		a, lists, err := c.target.Hold(ctx, life, h)
		return slowReply{answer: a, lists: lists, err: err}
	})
	return r.answer, r.lists, r.err
}
