package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"rackspur/member"
	"rackspur/observe"
	"rackspur/peer/peerpb"
	"rackspur/rowstore"
	"rackspur/rpc"
)

// relayServer is a peer that counts the links that it relays.
type relayServer struct {
	*Server
	passed atomic.Int32
}

func (s *relayServer) Link(stream grpc.BidiStreamingServer[peerpb.OwnerFrame, peerpb.GateFrame]) error {
	if md, ok := metadata.FromIncomingContext(stream.Context()); ok && len(md.Get(targetHeader)) > 0 {
		s.passed.Add(1)
	}
	return s.Server.Link(stream)
}

// serveOn serves a peer on a listener.
func serveOn(t *testing.T, l net.Listener, s peerpb.PeerServer) {
	server := rpc.NewServer(observe.NewMetrics())
	peerpb.RegisterPeerServer(server, s)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { go server.Stop() })
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// firstConnHangs is a listener that never answers its first connection.
type firstConnHangs struct {
	net.Listener
	hung atomic.Bool
}

func (l *firstConnHangs) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.hung.CompareAndSwap(false, true) {
		return l.Listener.Accept()
	}
	return c, err
}

// A gate that can't be reached directly is linked through a peer.
func TestLinkThroughPeer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	relay := &relayServer{Server: &Server{Node: "agent-1", Gate: stubGate{}, Metrics: observe.NewMetrics(), Log: logr.Discard()}}
	relayAt := listen(t)
	serveOn(t, relayAt, relay)
	owner := &linkedOwner{}
	l := NewLinks("entry-1~a", owner, observe.NewMetrics(), logr.Discard())
	// Shorter than the time after which gRPC reconnects by itself.
	l.firstFrameTimeout = 100 * time.Millisecond
	l.Keep(ctx, member.Box{Node: "agent-1", Address: relayAt.Addr().String(), Incarnation: "agent-1~a"})
	waitUntil(t, "the peer is linked", func() bool { return l.Linked() == 1 })

	cut := &firstConnHangs{Listener: listen(t)}
	serveOn(t, cut, &Server{Node: "agent-2", Gate: stubGate{}, Metrics: observe.NewMetrics(), Log: logr.Discard()})
	l.Keep(ctx, member.Box{Node: "agent-2", Address: cut.Addr().String(), Incarnation: "agent-2~a"})
	waitUntil(t, "the gate behind the cut is linked", func() bool { return l.Linked() == 2 })
	if relay.passed.Load() == 0 {
		t.Error("the peer has relayed no link")
	}
}

// onePeer is a Peers with at most one client.
type onePeer struct{ client peerpb.PeerClient }

func (p onePeer) Sample(n int) []peerpb.PeerClient {
	if p.client == nil || n == 0 {
		return nil
	}
	return []peerpb.PeerClient{p.client}
}

// A store that refuses this box is reached through a peer, with the conditions of
// transactions intact.
func TestStoreThroughPeer(t *testing.T) {
	store := rowstore.NewMemory()
	at := listen(t)
	serveOn(t, at, &Server{Node: "agent-1", Direct: store, Metrics: observe.NewMetrics(), Log: logr.Discard()})
	conn, err := rpc.Dial(at.Addr().String(), observe.NewMetrics())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	refusing := rowstore.NewMemory()
	refusing.SetFault(func(rowstore.Call) rowstore.Fault { return rowstore.FaultRefuse })

	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	key := rowstore.Key{Table: "t", Part: "p", Name: "k"}
	insert := rowstore.Transaction{Conditions: []rowstore.Condition{{Key: key}}, Puts: []rowstore.Put{{Key: key, Value: []byte("v")}}}
	alone := NewRelayedStore(refusing, onePeer{}, observe.NewMetrics(), logr.Discard())
	if _, err := alone.Transact(ctx, insert); !errors.Is(err, rowstore.ErrNotDone) {
		t.Fatalf("without peers: %v, want ErrNotDone", err)
	}
	relayed := NewRelayedStore(refusing, onePeer{client: peerpb.NewPeerClient(conn)}, observe.NewMetrics(), logr.Discard())
	if _, err := relayed.Transact(ctx, insert); err != nil {
		t.Fatalf("through a peer: %v", err)
	}
	if _, err := relayed.Transact(ctx, insert); !errors.Is(err, rowstore.ErrConflict) {
		t.Errorf("the same insert again: %v, want ErrConflict", err)
	}
	row, ok, err := rowstore.ReadOne(ctx, relayed, key)
	if err != nil || !ok || string(row.Value) != "v" {
		t.Errorf("read %q, %v, %v through a peer", row.Value, ok, err)
	}
}
