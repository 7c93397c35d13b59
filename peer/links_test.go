package peer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/member"
	"rackspur/observe"
)

// linkedOwner is an owner that counts the frames it receives.
type linkedOwner struct{ frames atomic.Int32 }

func (*linkedOwner) Running() bool                                { return true }
func (*linkedOwner) LinkUp(string, uint64, func())                {}
func (*linkedOwner) LinkDown(string, uint64)                      {}
func (*linkedOwner) Flush(string, uint64) (gate.OwnerFrame, bool) { return gate.OwnerFrame{}, true }
func (o *linkedOwner) OnFrame(string, uint64, gate.Frame)         { o.frames.Add(1) }
func (*linkedOwner) Busy(string) bool                             { return false }
func (*linkedOwner) HasRuns(string) bool                          { return false }

// hungGate is a gate that accepts links and never sends a frame, as if its box had lost
// power.
type hungGate struct {
	stubGate
	linked atomic.Int32
	end    chan struct{}
}

func (g *hungGate) Flush(string, uint64) (gate.Frame, bool) {
	g.linked.Add(1)
	<-g.end
	return gate.Frame{}, false
}

// serveGate serves a node's gate.
func serveGate(t *testing.T, node string, g Gate) (address string) {
	l := listen(t)
	serveOn(t, l, &Server{Node: node, Gate: g, Metrics: observe.NewMetrics(), Log: logr.Discard()})
	return l.Addr().String()
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
		<-time.After(time.Millisecond)
	}
}

// A link that is being opened to a dead process is cancelled as soon as another process has
// taken its place, and the next link goes there at once.
func TestLinkFollowsNewProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	owner := &linkedOwner{}
	l := NewLinks("entry-1~a", owner, observe.NewMetrics(), logr.Discard())
	l.firstFrameTimeout = time.Hour
	old := &hungGate{end: make(chan struct{})}
	defer close(old.end)
	l.Keep(ctx, member.Box{Node: "agent-1", Address: serveGate(t, "agent-1", old), Incarnation: "agent-1~a"})
	waitUntil(t, "the old process has taken the link", func() bool { return old.linked.Load() > 0 })
	l.Keep(ctx, member.Box{Node: "agent-1", Address: serveGate(t, "agent-1", stubGate{}), Incarnation: "agent-1~b"})
	waitUntil(t, "the new process is linked", func() bool { return owner.frames.Load() > 0 })
}

// A link that has already reached the new process is kept when the membership reports it.
func TestLinkToNewProcessStays(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	owner := &linkedOwner{}
	l := NewLinks("entry-1~a", owner, observe.NewMetrics(), logr.Discard())
	at := listen(t)
	serveOn(t, at, &Server{Node: "agent-1", Incarnation: "agent-1~b", Gate: stubGate{}, Metrics: observe.NewMetrics(), Log: logr.Discard()})
	d := member.Box{Node: "agent-1", Address: at.Addr().String(), Incarnation: "agent-1~a"}
	l.Keep(ctx, d)
	waitUntil(t, "the link works", func() bool { return l.Up("agent-1") })
	d.Incarnation = "agent-1~b"
	l.Keep(ctx, d)
	before := owner.frames.Load()
	waitUntil(t, "more frames come", func() bool { return owner.frames.Load() > before+1 })
	if n := l.counter.Load(); n != 1 {
		t.Errorf("%d links were made, want the first one to stay", n)
	}
}

// closedGate is a gate that refuses links.
type closedGate struct{ stubGate }

func (closedGate) Connect(string, uint64, func()) bool { return false }

// A gate that refuses links counts as reached but not as linked.
func TestTurnedAwayLinkIsReached(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := NewLinks("entry-1~a", &linkedOwner{}, observe.NewMetrics(), logr.Discard())
	l.Keep(ctx, member.Box{Node: "agent-1", Address: serveGate(t, "agent-1", closedGate{}), Incarnation: "agent-1~a"})
	waitUntil(t, "the gate is reached", func() bool { return l.Reached() == 1 })
	if n := l.Linked(); n != 0 {
		t.Errorf("%d gates are linked", n)
	}
}

// The rate of report-only frames to an owner is bounded, however many gates it has.
func TestOwnersReportPause(t *testing.T) {
	for _, gates := range []int{0, 4, 11, 35, 240} {
		l := NewLinks("entry-1~a", &linkedOwner{}, observe.NewMetrics(), logr.Discard())
		for i := range gates {
			l.gates[fmt.Sprint(i)] = &gateLink{}
		}
		pause := l.minReportPause()
		if pause < minReportPause || pause > maxReportPause {
			t.Errorf("%d gates: pause %v", gates, pause)
		}
		if rate := float64(gates) * float64(time.Second) / float64(pause); pause < maxReportPause && rate > ownerReportRate+10 {
			t.Errorf("%d gates: %.0f reports a second, want %d or fewer", gates, rate, ownerReportRate)
		}
	}
}
