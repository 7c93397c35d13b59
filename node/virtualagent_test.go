package node

import (
	"context"
	"fmt"
	"sync"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/internal/wait"
)

// agentBox is a simulated agent with its target.
type agentBox struct {
	site   *virtualSite
	name   string
	target *virtualTarget
	// slow carries the calls to the target, late delays them on their way.
	slow *slowConnections
	late *lateCalls
	// awake is shut while the agent's process is frozen.
	awake valve
	// ticks is shut while the process runs neither its gate's ticks nor its holds.
	ticks valve
	// operator evacuates failure domains; nil in most tests.
	operator *virtualOperator

	mu      sync.Mutex
	count   int
	process *agentProcess
	// stored is the stored description of the target; nil for an accurate one.
	stored *gate.Description
}

// agentProcess is a process of an agent.
type agentProcess struct {
	driver *gate.Driver
	ctx    context.Context
	kill   context.CancelFunc

	mu sync.Mutex
	// wakes has a function for each link that wakes it; see gate.Driver.OnReport.
	wakes map[*virtualLink]func()
}

func newAgentBox(s *virtualSite, i int) *agentBox {
	name := fmt.Sprintf("agent-%d", i)
	b := &agentBox{site: s, name: name, target: newVirtualTarget(name, s.bounds.maxHold)}
	if s.bounds.idOnly {
		b.target.newest().Born = 0
		b.stored = &gate.Description{}
	}
	b.target.bound = s.boundCalls
	b.late = &lateCalls{target: b.target, ctx: s.ctx}
	b.slow = newSlowConnections(&agentCalls{box: b})
	b.start()
	return b
}

// start starts a process of the agent.
func (b *agentBox) start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count++
	p := &agentProcess{wakes: map[*virtualLink]func(){}}
	p.ctx, p.kill = context.WithCancel(b.site.ctx)
	o := b.site.bounds.options(b.name)
	o.Domain = b.domain()
	g := gate.New(gateOptions(o, fmt.Sprintf("%s~%d", b.name, b.count)))
	p.driver = gate.NewDriver(p.ctx, g, b.slow, b.site.log.WithName(b.name))
	p.driver.OnReport(p.wakeLinks)
	b.process = p
	if b.operator != nil {
		b.operator.watch(b, p)
	}
	go p.driver.Run(tickContext{Context: p.ctx, ticks: &b.ticks})
	go b.sendHeartbeats(p)
	if b.count > 1 {
		go func() {
			wait.For(p.ctx, restoreLatency)
			p.driver.RestoreDescription(b.storedDescription())
		}()
	}
}

// tickContext is the context of a gate's periodic work, which looks at Done before it waits for
// the next event. While ticks is shut the work stands still there; the event that it waits for
// at first is still handled.
type tickContext struct {
	context.Context
	ticks *valve
}

// Done implements context.Context.Done.
func (c tickContext) Done() <-chan struct{} {
	c.ticks.pass(c.Context)
	return c.Context.Done()
}

// storedDescription returns the stored description of the target.
func (b *agentBox) storedDescription() gate.Description {
	b.mu.Lock()
	described := b.stored
	b.mu.Unlock()
	if described != nil {
		return *described
	}
	e := b.target.newest()
	return gate.Description{Incarnation: b.target.life(), Service: testService, Capacity: e.Capacity, Draining: e.Draining()}
}

// storeDescription sets the stored description of the target; nil for an accurate one.
func (b *agentBox) storeDescription(d *gate.Description) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stored = d
}

func (b *agentBox) running() *agentProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process
}

// kill kills the agent's process; its target keeps running.
func (b *agentBox) kill() { b.running().kill() }

// sendHeartbeats passes the target's heartbeats to a process of the agent.
func (b *agentBox) sendHeartbeats(p *agentProcess) {
	wait.For(p.ctx, firstHeartbeat)
	for b.awake.pass(p.ctx) {
		if beat, ok := b.target.newest().NextHeartbeat(); ok {
			p.driver.Heartbeat(heartbeatOf(beat))
		}
		wait.For(p.ctx, targetHeartbeat)
	}
}

// heartbeatOf converts a stand-in's heartbeat for the gate.
func heartbeatOf(b standin.Heartbeat) gate.Heartbeat {
	return gate.Heartbeat{
		Incarnation: gate.Incarnation{ID: b.Life, Born: b.Born}, Service: testService, Capacity: b.Capacity,
		Draining: b.Draining, ClockMS: toTargetClock(b.ClockMS), Sequence: b.Sequence,
	}
}

func (p *agentProcess) wakeLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, wake := range p.wakes {
		wake()
	}
}

// join makes new reports wake a link until leave is called.
func (p *agentProcess) join(l *virtualLink, wake func()) (leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakes[l] = wake
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.wakes, l)
	}
}

// agentCalls makes the calls of an agent to its target.
type agentCalls struct{ box *agentBox }

// call makes a call. It is neither sent nor answered while the agent is frozen.
func (c *agentCalls) call(ctx context.Context, f func() error) error {
	if !c.box.awake.pass(ctx) {
		return gate.ErrUnanswered
	}
	err := f()
	wait.For(ctx, callLatency)
	if !c.box.awake.pass(ctx) {
		return gate.ErrUnanswered
	}
	return err
}

// Start implements gate.Executor.Start.
func (c *agentCalls) Start(ctx context.Context, life gate.Incarnation, s gate.StartCall) (a gate.Answer, err error) {
	err = c.call(ctx, func() error {
		a, err = c.box.late.Start(ctx, life, s)
		return err
	})
	return answerOf(a, err), err
}

// Stop implements gate.Executor.Stop.
func (c *agentCalls) Stop(ctx context.Context, life gate.Incarnation, s gate.StopCall) (a gate.Answer, err error) {
	err = c.call(ctx, func() error {
		a, err = c.box.late.Stop(ctx, life, s)
		return err
	})
	return answerOf(a, err), err
}

// Hold implements gate.Executor.Hold.
func (c *agentCalls) Hold(ctx context.Context, life gate.Incarnation, h gate.HoldCall) (a gate.Answer, lists gate.HoldAnswer, err error) {
	err = c.call(ctx, func() error {
		a, lists, err = c.box.late.Hold(ctx, life, h)
		return err
	})
	return answerOf(a, err), lists, err
}

// answerOf returns the answer of a call, or an empty one if there was none.
func answerOf(a gate.Answer, err error) gate.Answer {
	if err == gate.ErrUnanswered {
		return gate.Answer{}
	}
	return a
}
