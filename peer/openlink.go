package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"rackspur/peer/peerpb"
)

// openLink is an open link to a gate.
type openLink struct {
	links  *Links
	node   string
	number uint64
	conn   *grpc.ClientConn
	stream grpc.BidiStreamingClient[peerpb.OwnerFrame, peerpb.GateFrame]
	// watch ends the link when it goes silent.
	watch *frameWatch
	// end ends the link at once.
	end context.CancelFunc
}

// receive handles the gate's frames until the link fails, and starts sending once the first
// has arrived; worked reports whether one has.
func (o *openLink) receive(ctx context.Context) (worked bool, err error) {
	l := o.links
	wake := make(chan struct{}, 1)
	l.owner.LinkUp(o.node, o.number, notifier(wake))
	defer l.owner.LinkDown(o.node, o.number)
	defer l.setDown(o.node, o.conn)
	for {
		f, err := o.stream.Recv()
		if err != nil {
			return worked, err
		}
		l.owner.OnFrame(o.node, o.number, fromGateFrame(f))
		// A gate without runs reports seldom, so its silence is no reason to probe the link:
		// with 184 entry boxes, such probes ended 310 working links a second.
		o.watch.frameReceived(l.owner.HasRuns(o.node))
		if !worked {
			worked = true
			l.setUp(o.node, o.conn, f.GetIncarnation())
			go o.sendFrames(ctx, wake)
		}
	}
}

// sendFrames sends pending frames and heartbeats until the link fails.
func (o *openLink) sendFrames(ctx context.Context, wake <-chan struct{}) {
	defer o.end()
	beat := make(chan struct{}, 1)
	defer o.links.pulse.join(notifier(beat), 0)()
	for ctx.Err() == nil {
		f, ok := o.links.owner.Flush(o.node, o.number)
		if !ok {
			return
		}
		if o.stream.Send(toOwnerFrame(f)) != nil {
			return
		}
		o.watch.frameSent(len(f.Starts) > 0)
		o.awaitDue(ctx, wake, beat)
	}
}

// awaitDue waits until the next frame is due: either something is pending, or the
// heartbeat interval ends before the next beat.
func (o *openLink) awaitDue(ctx context.Context, wake, beat <-chan struct{}) {
	sent := time.Now()
	for {
		select {
		case <-wake:
			return
		case <-ctx.Done():
			return
		case <-beat:
		}
		pause := idleHeartbeat
		if o.links.owner.Busy(o.node) {
			pause = heartbeat
		}
		if time.Since(sent) >= pause-heartbeat/2 {
			return
		}
	}
}
