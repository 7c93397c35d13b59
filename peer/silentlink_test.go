package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/member"
	"rackspur/observe"
)

// muteListener is a listener whose open connections can go silent for good, while
// new ones work.
type muteListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*muteConn
}

func (l *muteListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &muteConn{Conn: c}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, m)
	return m, nil
}

// muteAll makes the open connections silent.
func (l *muteListener) muteAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.muted.Store(true)
	}
}

// muteConn loses what is written and what comes once it is muted.
type muteConn struct {
	net.Conn
	muted atomic.Bool
}

func (c *muteConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.muted.Load() {
			return n, err
		}
	}
}

func (c *muteConn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// busyOwner has runs at its gate.
type busyOwner struct{ linkedOwner }

func (*busyOwner) Busy(string) bool { return true }

// busyGate has runs of its owner, and reports at the rate of the links' pulse.
type busyGate struct{ countedGate }

func (busyGate) HasRuns(string) bool                     { return true }
func (busyGate) Flush(string, uint64) (gate.Frame, bool) { return gate.Frame{}, true }

// A connection that has gone silent for good while runs are at the gate is given up
// within busyFrameTimeout, and the next link works at once.
func TestSilentLink(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	at := &muteListener{Listener: listen(t)}
	serveOn(t, at, &Server{Node: "agent-1", Gate: busyGate{}, Metrics: observe.NewMetrics(), Log: logr.Discard()})
	owner := &busyOwner{}
	l := NewLinks("entry-1~a", owner, observe.NewMetrics(), logr.Discard())
	// Without runs the link would be kept for ever.
	l.frameTimeout = time.Hour
	l.Keep(ctx, member.Daemon{Node: "agent-1", Address: at.Addr().String(), Incarnation: "agent-1~a"})
	until(t, "the link settles", func() bool { return owner.frames.Load() > 5 })
	at.muteAll()
	until(t, "another link is made", func() bool { return l.counter.Load() == 2 })
	before := owner.frames.Load()
	until(t, "frames come over it", func() bool { return owner.frames.Load() > before })
}

// A gate with runs is heard of often enough for its link never to count as silent.
func TestBusyLinkLasts(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	owner := &busyOwner{}
	l := NewLinks("entry-1~a", owner, observe.NewMetrics(), logr.Discard())
	l.Keep(ctx, member.Daemon{Node: "agent-1", Address: gateServer(t, "agent-1", busyGate{}), Incarnation: "agent-1~a"})
	until(t, "frames come for longer than the timeout", func() bool { return owner.frames.Load() > 20 })
	if n := l.counter.Load(); n != 1 {
		t.Errorf("%d links were made, want one", n)
	}
}

// Links that end soon one after the other are given more time each.
func TestLinkTimeoutGrows(t *testing.T) {
	g := &gateLink{busyTimeout: busyFrameTimeout}
	for range 5 {
		g.ended(time.Second)
	}
	if g.busyTimeout != frameTimeout {
		t.Errorf("%v after five short links, want %v", g.busyTimeout, frameTimeout)
	}
	g.ended(settledAfter + time.Second)
	if g.busyTimeout != busyFrameTimeout {
		t.Errorf("%v after a long link, want %v", g.busyTimeout, busyFrameTimeout)
	}
}
