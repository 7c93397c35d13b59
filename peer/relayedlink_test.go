package peer

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/grpc/metadata"

	"rackspur/gate"
	"rackspur/observe"
	"rackspur/peer/peerpb"
	"rackspur/rpc"
)

// countingGate counts the links and the frames of owners that it receives.
type countingGate struct {
	stubGate
	links, frames atomic.Int32
}

func (g *countingGate) Connect(string, uint64, func()) bool {
	g.links.Add(1)
	return true
}

func (g *countingGate) Frame(string, uint64, gate.OwnerFrame) bool {
	g.frames.Add(1)
	return true
}

// A relayed link ends with the gate's process. Frames that its owner sends later do not reach
// the process that has taken its place at the same address.
func TestRelayedLinkEndsWithGate(t *testing.T) {
	relayAt := listen(t)
	serveOn(t, relayAt, &Server{Node: "agent-1", Gate: stubGate{}, Metrics: observe.NewMetrics(), Log: logr.Discard()})
	gateAt := listen(t)
	former := rpc.NewServer(observe.NewMetrics())
	peerpb.RegisterPeerServer(former, &Server{Node: "agent-2", Incarnation: "agent-2~a", Gate: stubGate{}, Metrics: observe.NewMetrics(), Log: logr.Discard()})
	go func() { _ = former.Serve(gateAt) }()

	conn, err := rpc.Dial(relayAt.Addr().String(), observe.NewMetrics())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx := metadata.AppendToOutgoingContext(t.Context(), targetHeader, gateAt.Addr().String())
	link, err := peerpb.NewPeerClient(conn).Link(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := link.Send(&peerpb.OwnerFrame{Hello: &peerpb.OwnerHello{Incarnation: "entry-1~a", Link: 1, Gate: "agent-2"}}); err != nil {
		t.Fatal(err)
	}
	if f, err := link.Recv(); err != nil || f.GetIncarnation() != "agent-2~a" {
		t.Fatalf("first frame of %q, %v", f.GetIncarnation(), err)
	}

	former.Stop()
	again, err := net.Listen("tcp", gateAt.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	newer := &countingGate{}
	serveOn(t, again, &Server{Node: "agent-2", Incarnation: "agent-2~b", Gate: newer, Metrics: observe.NewMetrics(), Log: logr.Discard()})
	// The link breaks at the latest once the relay has noticed that the gate is gone.
	for link.Send(&peerpb.OwnerFrame{Sequence: 1}) == nil {
		if _, err := link.Recv(); err != nil {
			break
		}
	}
	if links, frames := newer.links.Load(), newer.frames.Load(); links+frames != 0 {
		t.Errorf("the new process has received %d links and %d frames", links, frames)
	}
}
