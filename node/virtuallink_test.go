package node

import (
	"context"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
)

// This file holds the links of the site in virtual time. They follow peer.Links at the
// owner's end and peer.Server at the gate's.

// Times of links, those of package peer of the same names.
const (
	linkHeartbeat         = 250 * time.Millisecond
	linkIdleHeartbeat     = 2 * time.Second
	linkReportHeartbeat   = 125 * time.Millisecond
	linkIdleReport        = 400 * time.Millisecond
	linkReportPause       = 30 * time.Millisecond
	linkFrameTimeout      = 900 * time.Millisecond
	linkFirstFrameTimeout = 700 * time.Millisecond
	linkLeastBackoff      = 50 * time.Millisecond
	linkMostBackoff       = 500 * time.Millisecond
	linkQuickBackoff      = 100 * time.Millisecond
	linkQuickFor          = time.Second
	// linkLatency is the way from one box to another.
	linkLatency = 700 * time.Microsecond
	// senderStart is how long the owner's sender takes to start after the first frame.
	// Its beats then follow the gate's frames that come at the same distance, and never
	// race them.
	senderStart = 300 * time.Microsecond
	// frameBuffer is how many frames are under way at most.
	frameBuffer = 1000
)

// path is the way between an entry box and an agent's. While a direction is cut, what
// is sent waits and nobody is told.
type path struct {
	toGate, toOwner valve
}

func (p *path) cut() {
	p.toGate.shut()
	p.toOwner.shut()
}

func (p *path) heal() {
	p.toGate.open()
	p.toOwner.open()
}

// sentFrame is a frame under way.
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
	// ctx is the link at the owner's end, gateCtx at the gate's.
	ctx, gateCtx context.Context
	end, gateEnd context.CancelFunc
	toGate       chan sentFrame[gate.OwnerFrame]
	toOwner      chan sentFrame[gate.Frame]
	wake         chan struct{}

	mu sync.Mutex
	// heard is when the owner last had a frame; zero before the first.
	heard time.Time
}

// keepLink makes links to an agent's gate, one after the other.
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

// link keeps one link until it ends; worked says whether it has brought a frame.
func (b *entryBox) link(a *agentBox, p *path) (worked bool) {
	if !b.reaches(a, p) {
		return false
	}
	l := b.newLink(a, p)
	defer l.end()
	if l.process.ctx.Err() != nil {
		return false
	}
	context.AfterFunc(l.ctx, l.tellGate)
	context.AfterFunc(l.gateCtx, l.tellOwner)
	b.owner.LinkUp(a.name, l.number, pokerOf(l.wake))
	go l.serveGate()
	go l.receiveFrames()
	l.watch()
	if b.passTimers() {
		b.owner.LinkDown(a.name, l.number)
	}
	return !l.lastHeard().IsZero()
}

// reaches says whether a connection to an agent's box can be made.
func (b *entryBox) reaches(a *agentBox, p *path) bool {
	ctx, cancel := context.WithTimeout(b.ctx, linkFirstFrameTimeout)
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
	return l
}

// tellGate ends the gate's end of a link whose owner's end has ended.
func (l *virtualLink) tellGate() {
	if l.path.toGate.pass(l.gateCtx) && l.agent.awake.pass(l.gateCtx) {
		l.gateEnd()
	}
}

// tellOwner ends the owner's end of a link whose gate's end has ended.
func (l *virtualLink) tellOwner() {
	if l.path.toOwner.pass(l.ctx) && l.entry.awake.pass(l.ctx) {
		l.end()
	}
}

func (l *virtualLink) lastHeard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

// watch ends the link when no frame has come for too long.
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

// receiveFrames brings the gate's frames to the owner; the first starts the sending.
func (l *virtualLink) receiveFrames() {
	for f := range l.arrivals() {
		if !l.entry.passFrames() || l.ctx.Err() != nil {
			return
		}
		l.entry.owner.OnFrame(l.agent.name, l.number, f)
		l.mu.Lock()
		first := l.heard.IsZero()
		l.heard = time.Now()
		l.mu.Unlock()
		if first {
			go l.sendOrders()
		}
	}
}

// arrivals gives the frames that have come to the owner's box.
func (l *virtualLink) arrivals() func(yield func(gate.Frame) bool) {
	return func(yield func(gate.Frame) bool) {
		for f, ok := arrival(l.ctx, l.toOwner, &l.path.toOwner); ok; f, ok = arrival(l.ctx, l.toOwner, &l.path.toOwner) {
			if !yield(f) {
				return
			}
		}
	}
}

// arrival returns the next frame once it has come; ok is false at the link's end.
func arrival[F any](ctx context.Context, way <-chan sentFrame[F], v *valve) (f F, ok bool) {
	select {
	case s := <-way:
		wait.For(ctx, time.Until(s.at.Add(linkLatency)))
		return s.frame, v.pass(ctx)
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
		l.toGate <- sentFrame[gate.OwnerFrame]{time.Now(), f}
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

// serveGate is the gate's end of the link.
func (l *virtualLink) serveGate() {
	defer l.gateEnd()
	wake := make(chan struct{}, 1)
	d := l.process.driver
	if !d.Connect(l.entry.life, l.number, pokerOf(wake)) {
		return
	}
	defer l.process.join(l, pokerOf(wake))()
	go l.receiveOrders()
	l.sendReports(wake)
	if l.agent.awake.pass(l.process.ctx) {
		d.Disconnect(l.entry.life, l.number)
	}
}

// receiveOrders brings the owner's frames to the gate.
func (l *virtualLink) receiveOrders() {
	defer l.gateEnd()
	for {
		f, ok := arrival(l.gateCtx, l.toGate, &l.path.toGate)
		if !ok || !l.agent.awake.pass(l.gateCtx) || !l.process.driver.Frame(l.entry.life, l.number, f) {
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
		reported := d.Reported()
		f, ok := d.Flush(l.entry.life, l.number)
		if !ok {
			return
		}
		l.toOwner <- sentFrame[gate.Frame]{time.Now(), f}
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
	case d.Pending(l.entry.life):
		return true
	case since < linkReportPause/2:
		return false
	case d.Reported() != reported:
		return true
	}
	pause := linkIdleReport
	if d.HasRuns(l.entry.life) {
		pause = linkReportHeartbeat
	}
	return since >= pause-linkReportHeartbeat/2
}

// pokerOf returns a function that wakes a waiting loop and never blocks.
func pokerOf(wake chan<- struct{}) func() {
	return func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}
