package node

import (
	"context"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
)

// This file simulates links. They follow peer.Links at the owner's end and peer.Server at
// the gate's.

// Times of links; the first ones have the values of constants of package peer.
const (
	linkHeartbeat         = 250 * time.Millisecond
	linkIdleHeartbeat     = 2 * time.Second
	linkReportHeartbeat   = 125 * time.Millisecond
	linkIdleReport        = 400 * time.Millisecond
	linkReportPause       = 30 * time.Millisecond
	linkFrameTimeout      = 900 * time.Millisecond
	linkBusyFrameTimeout  = 350 * time.Millisecond
	linkFirstFrameTimeout = 700 * time.Millisecond
	linkLeastBackoff      = 50 * time.Millisecond
	linkMostBackoff       = 500 * time.Millisecond
	linkQuickBackoff      = 100 * time.Millisecond
	linkQuickFor          = time.Second
	// linkLatency is the latency between two boxes.
	linkLatency = 700 * time.Microsecond
	// senderStart is the time from the first frame to the start of the owner's sender. It
	// keeps the owner's heartbeats from coinciding with the gate's.
	senderStart = 300 * time.Microsecond
	// frameBuffer is the maximum number of frames in transit.
	frameBuffer = 1000
)

// path is the network path between an entry box and an agent. While a direction is cut,
// frames are held back and the sender does not notice.
type path struct {
	toGate, toOwner valve

	mu sync.Mutex
	// links are the links that were opened over the path.
	links []*virtualLink
}

// silence makes the open links of the path silent for good in the given directions, also to
// the end of the other side. New links work.
func (p *path) silence(toGate, toOwner bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if toGate {
			l.silentToGate.shut()
		}
		if toOwner {
			l.silentToOwner.shut()
		}
	}
	p.links = nil
}

func (p *path) add(l *virtualLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = append(p.links, l)
}

func (p *path) cut() {
	p.toGate.shut()
	p.toOwner.shut()
}

func (p *path) heal() {
	p.toGate.open()
	p.toOwner.open()
}

// sentFrame is a frame in transit.
type sentFrame[F any] struct {
	at    time.Time
	frame F
}

// virtualLink is a link of an owner to a gate.
type virtualLink struct {
	entry   *entryBox
	agent   *agentBox
	process *agentProcess
	path    *path
	number  uint64
	// ctx ends with the owner's end of the link, gateCtx with the gate's.
	ctx, gateCtx context.Context
	end, gateEnd context.CancelFunc
	toGate       chan sentFrame[gate.OwnerFrame]
	toOwner      chan sentFrame[gate.Frame]
	wake         chan struct{}
	// A direction whose valve is shut carries nothing any more.
	silentToGate, silentToOwner valve
	probe                       *linkProbe

	mu sync.Mutex
	// heard is when the owner last received a frame; zero before the first.
	heard time.Time
}

// keepLink keeps a link to an agent's gate, with a new one after each that ends.
func (b *entryBox) keepLink(a *agentBox, p *path) {
	backoff := linkLeastBackoff
	var lost time.Time
	for b.ctx.Err() == nil {
		if b.link(a, p) {
			backoff = linkLeastBackoff
			lost = time.Now()
			continue
		}
		pause := backoff
		if time.Since(lost) < linkQuickFor {
			pause = min(pause, linkQuickBackoff)
		}
		wait.For(b.ctx, pause)
		backoff = min(2*backoff, linkMostBackoff)
	}
}

// link runs one link until it ends and reports whether a frame was received.
func (b *entryBox) link(a *agentBox, p *path) (worked bool) {
	if !b.reaches(b.ctx, a, p) {
		return false
	}
	l := b.newLink(a, p)
	defer l.end()
	p.add(l)
	defer l.probe.stop()
	if l.process.ctx.Err() != nil {
		return false
	}
	context.AfterFunc(l.ctx, l.closeGateEnd)
	context.AfterFunc(l.gateCtx, l.closeOwnerEnd)
	b.owner.LinkUp(a.name, l.number, notifierOf(l.wake))
	go l.serveGate()
	go l.receiveFrames()
	l.watch()
	if b.passTimers() {
		b.owner.LinkDown(a.name, l.number)
	}
	return !l.lastHeard().IsZero()
}

// reaches reports whether the box can connect to an agent.
func (b *entryBox) reaches(ctx context.Context, a *agentBox, p *path) bool {
	ctx, cancel := context.WithTimeout(ctx, linkFirstFrameTimeout)
	defer cancel()
	ok := b.awake.pass(ctx) && p.toGate.pass(ctx) && a.awake.pass(ctx) && p.toOwner.pass(ctx)
	wait.For(ctx, 2*linkLatency)
	return ok && ctx.Err() == nil
}

func (b *entryBox) newLink(a *agentBox, p *path) *virtualLink {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links++
	l := &virtualLink{
		entry: b, agent: a, process: a.running(), path: p, number: b.links,
		toGate: make(chan sentFrame[gate.OwnerFrame], frameBuffer), toOwner: make(chan sentFrame[gate.Frame], frameBuffer),
		wake: make(chan struct{}, 1),
	}
	l.ctx, l.end = context.WithCancel(b.ctx)
	l.gateCtx, l.gateEnd = context.WithCancel(l.process.ctx)
	b.newest[a] = l
	l.probe = newLinkProbe(l)
	return l
}

// linkTo returns the newest link to an agent.
func (b *entryBox) linkTo(a *agentBox) *virtualLink {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newest[a]
}

// silence makes the link carry nothing any more, in either direction; a new one works.
func (l *virtualLink) silence() {
	l.silentToGate.shut()
	l.silentToOwner.shut()
}

func (l *virtualLink) watchOwnerFrame(received bool, f *gate.OwnerFrame) {
	if w := l.entry.site.watcher; w != nil {
		w.ownerFrame(l, received, f)
	}
}

func (l *virtualLink) watchGateFrame(received bool, f *gate.Frame) {
	if w := l.entry.site.watcher; w != nil {
		w.gateFrame(l, received, f)
	}
}

// closeGateEnd closes the gate's end of a link after the owner's.
func (l *virtualLink) closeGateEnd() {
	if l.silentToGate.pass(l.gateCtx) && l.path.toGate.pass(l.gateCtx) && l.agent.awake.pass(l.gateCtx) {
		l.gateEnd()
	}
}

// closeOwnerEnd closes the owner's end of a link after the gate's.
func (l *virtualLink) closeOwnerEnd() {
	if l.silentToOwner.pass(l.ctx) && l.path.toOwner.pass(l.ctx) && l.entry.awake.pass(l.ctx) {
		l.end()
	}
}

func (l *virtualLink) lastHeard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

// watch ends the link when no frame has arrived for too long.
func (l *virtualLink) watch() {
	due := time.Now().Add(linkFirstFrameTimeout)
	for l.ctx.Err() == nil && time.Now().Before(due) {
		wait.For(l.ctx, time.Until(due))
		if !l.entry.passTimers() {
			return
		}
		if heard := l.lastHeard(); !heard.IsZero() {
			due = heard.Add(linkFrameTimeout)
		}
	}
	l.end()
}

// linkProbe ends a link with runs at its gate that is silent once a new connection works, as
// peer.frameWatch does.
type linkProbe struct {
	link *virtualLink

	mu     sync.Mutex
	busy   bool
	timer  *time.Timer
	cancel context.CancelFunc
}

func newLinkProbe(l *virtualLink) *linkProbe {
	p := &linkProbe{link: l, cancel: func() {}}
	p.timer = time.AfterFunc(linkBusyFrameTimeout, p.run)
	p.timer.Stop()
	return p
}

func (p *linkProbe) stop() { p.received(false) }

// received restarts the timer after a frame; busy reports whether the gate has runs of the owner.
func (p *linkProbe) received(busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel()
	p.busy = busy
	p.timer.Stop()
	if busy {
		p.timer.Reset(linkBusyFrameTimeout)
	}
}

// sent starts the timer if a frame with orders was sent.
func (p *linkProbe) sent(orders bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy || !orders {
		return
	}
	p.busy = true
	p.timer.Reset(linkBusyFrameTimeout)
}

func (p *linkProbe) run() {
	l := p.link
	p.mu.Lock()
	ctx, cancel := context.WithTimeout(l.ctx, linkFrameTimeout)
	p.cancel = cancel
	p.mu.Unlock()
	defer cancel()
	if l.entry.passTimers() && l.entry.reaches(ctx, l.agent, l.path) && ctx.Err() == nil {
		l.end()
	}
}

// receiveFrames passes the gate's frames to the owner; the first one starts the sender.
func (l *virtualLink) receiveFrames() {
	for f := range l.arrivals() {
		if !l.entry.passFrames() || l.ctx.Err() != nil {
			return
		}
		l.watchGateFrame(true, &f)
		l.entry.owner.OnFrame(l.agent.name, l.number, f)
		l.probe.received(l.entry.owner.Busy(l.agent.name))
		l.mu.Lock()
		first := l.heard.IsZero()
		l.heard = time.Now()
		l.mu.Unlock()
		if first {
			go l.sendOrders()
		}
	}
}

// arrivals yields the frames that arrive at the owner's box.
func (l *virtualLink) arrivals() func(yield func(gate.Frame) bool) {
	return func(yield func(gate.Frame) bool) {
		next := func() (gate.Frame, bool) { return arrival(l.ctx, l.toOwner, &l.path.toOwner, &l.silentToOwner) }
		for f, ok := next(); ok; f, ok = next() {
			if !yield(f) {
				return
			}
		}
	}
}

// arrival waits for the next frame to arrive; ok is false at the link's end.
func arrival[F any](ctx context.Context, way <-chan sentFrame[F], v, silent *valve) (f F, ok bool) {
	select {
	case s := <-way:
		wait.For(ctx, time.Until(s.at.Add(linkLatency)))
		return s.frame, silent.pass(ctx) && v.pass(ctx)
	case <-ctx.Done():
		return f, false
	}
}

// sendOrders sends the owner's frames as peer.Links does.
func (l *virtualLink) sendOrders() {
	wait.For(l.ctx, senderStart)
	beat := time.NewTicker(linkHeartbeat)
	defer beat.Stop()
	for l.entry.passTimers() && l.ctx.Err() == nil {
		f, ok := l.entry.owner.Flush(l.agent.name, l.number)
		if !ok {
			l.end()
			return
		}
		l.watchOwnerFrame(false, &f)
		select {
		case l.toGate <- sentFrame[gate.OwnerFrame]{time.Now(), f}:
		case <-l.ctx.Done():
			return
		}
		l.probe.sent(len(f.Starts) > 0)
		l.awaitDue(beat.C)
	}
}

func (l *virtualLink) awaitDue(beat <-chan time.Time) {
	sent := time.Now()
	for {
		select {
		case <-l.wake:
			return
		case <-l.ctx.Done():
			return
		case <-beat:
		}
		pause := linkIdleHeartbeat
		if l.entry.owner.Busy(l.agent.name) {
			pause = linkHeartbeat
		}
		if time.Since(sent) >= pause-linkHeartbeat/2 {
			return
		}
	}
}

// serveGate runs the gate's end of the link.
func (l *virtualLink) serveGate() {
	defer l.gateEnd()
	wake := make(chan struct{}, 1)
	d := l.process.driver
	if !d.Connect(l.entry.incarnation, l.number, notifierOf(wake)) {
		return
	}
	defer l.process.join(l, notifierOf(wake))()
	go l.receiveOrders()
	l.sendReports(wake)
	if l.agent.awake.pass(l.process.ctx) {
		d.Disconnect(l.entry.incarnation, l.number)
	}
}

// receiveOrders passes the owner's frames to the gate.
func (l *virtualLink) receiveOrders() {
	defer l.gateEnd()
	for {
		f, ok := arrival(l.gateCtx, l.toGate, &l.path.toGate, &l.silentToGate)
		if !ok || !l.agent.awake.pass(l.gateCtx) {
			return
		}
		l.watchOwnerFrame(true, &f)
		if !l.process.driver.Frame(l.entry.incarnation, l.number, f) {
			return
		}
	}
}

// sendReports sends the gate's frames as peer.Server does.
func (l *virtualLink) sendReports(wake <-chan struct{}) {
	d := l.process.driver
	beat := time.NewTicker(linkReportHeartbeat)
	defer beat.Stop()
	for l.agent.awake.pass(l.gateCtx) {
		reported := d.ReportVersion()
		f, ok := d.Flush(l.entry.incarnation, l.number)
		if !ok {
			return
		}
		l.watchGateFrame(false, &f)
		select {
		case l.toOwner <- sentFrame[gate.Frame]{time.Now(), f}:
		case <-l.gateCtx.Done():
			return
		}
		sent := time.Now()
		for !l.reportDue(sent, reported) {
			select {
			case <-wake:
			case <-beat.C:
			case <-l.gateCtx.Done():
				return
			}
		}
	}
}

func (l *virtualLink) reportDue(sent time.Time, reported uint64) bool {
	d := l.process.driver
	since := time.Since(sent)
	switch {
	case d.Pending(l.entry.incarnation):
		return true
	case since < linkReportPause/2:
		return false
	case d.ReportVersion() != reported:
		return true
	}
	pause := linkIdleReport
	if d.HasRuns(l.entry.incarnation) {
		pause = linkReportHeartbeat
	}
	return since >= pause-linkReportHeartbeat/2
}

// notifierOf returns a function that signals a channel without blocking.
func notifierOf(wake chan<- struct{}) func() {
	return func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}
