package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/internal/wait"
	"rackspur/member"
	"rackspur/observe"
)

// busyOwner has runs at its gate.
type busyOwner struct{ linkedOwner }

func (*busyOwner) Busy(string) bool    { return true }
func (*busyOwner) HasRuns(string) bool { return true }

// recentlyBusyOwner had runs at its gate a moment ago.
type recentlyBusyOwner struct{ linkedOwner }

func (*recentlyBusyOwner) Busy(string) bool { return true }

// A gate whose last run of an owner has ended reports less often than busyFrameTimeout. Its
// link is not probed and ended while the owner still counts the gate as busy.
func TestLinkLastsAfterLastRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	owner := &recentlyBusyOwner{}
	l := NewLinks("entry-1~a", owner, observe.NewMetrics(), logr.Discard())
	// Only a probe can end the link, since a busy box may be slow to send a frame.
	l.firstFrameTimeout, l.frameTimeout = time.Hour, time.Hour
	l.Keep(ctx, member.Box{Node: "agent-1", Address: serveGate(t, "agent-1", &stubGate{}), Incarnation: "agent-1~a"})
	waitUntil(t, "frames come for longer than the timeout", func() bool { return owner.frames.Load() > 6 })
	if n := l.counter.Load(); n != 1 {
		t.Errorf("%d links were made, want one", n)
	}
}

// busyGate has runs of its owner.
type busyGate struct{ stubGate }

func (busyGate) HasRuns(string) bool                     { return true }
func (busyGate) Flush(string, uint64) (gate.Frame, bool) { return gate.Frame{}, true }

// A dead connection to a gate with runs is replaced as soon as a new one works.
func TestSilentLink(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	at := &standin.MuteListener{Listener: listen(t)}
	serveOn(t, at, &Server{Node: "agent-1", Gate: busyGate{}, Metrics: observe.NewMetrics(), Log: logr.Discard()})
	owner := &busyOwner{}
	l := NewLinks("entry-1~a", owner, observe.NewMetrics(), logr.Discard())
	// Without runs the link would never end.
	l.frameTimeout = time.Hour
	l.Keep(ctx, member.Box{Node: "agent-1", Address: at.Addr().String(), Incarnation: "agent-1~a"})
	waitUntil(t, "frames come over the first link", func() bool { return owner.frames.Load() > 5 })
	at.MuteAll()
	waitUntil(t, "another link is made", func() bool { return l.counter.Load() == 2 })
	before := owner.frames.Load()
	waitUntil(t, "frames come over it", func() bool { return owner.frames.Load() > before })
}

// A gate with runs reports often enough for its link never to be replaced.
func TestBusyLinkLasts(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	owner := &busyOwner{}
	l := NewLinks("entry-1~a", owner, observe.NewMetrics(), logr.Discard())
	l.Keep(ctx, member.Box{Node: "agent-1", Address: serveGate(t, "agent-1", busyGate{}), Incarnation: "agent-1~a"})
	waitUntil(t, "frames come for longer than the timeout", func() bool { return owner.frames.Load() > 20 })
	if n := l.counter.Load(); n != 1 {
		t.Errorf("%d links were made, want one", n)
	}
}

// A slow gate does not lose its link: its frame arrives before the new connection, which is
// equally slow.
func TestSlowLinkLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowness = 200 * time.Millisecond
		var ended atomic.Bool
		var connects atomic.Int32
		w := newFrameWatch(firstFrameTimeout, frameTimeout, func(ctx context.Context) bool {
			connects.Add(1)
			wait.For(ctx, slowness)
			return ctx.Err() == nil
		}, func() { ended.Store(true) })
		for range 20 {
			w.frameReceived(true)
			time.Sleep(busyFrameTimeout + slowness - time.Millisecond)
		}
		if ended.Load() || connects.Load() != 20 {
			t.Fatalf("ended %v after %d new connections", ended.Load(), connects.Load())
		}
		w.frameReceived(false)
		time.Sleep(frameTimeout - time.Millisecond)
		if ended.Load() {
			t.Fatal("ended without runs before its time")
		}
		w.frameSent(true)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if !ended.Load() {
			t.Fatal("not ended without any frame")
		}
		w.stop()
	})
}
