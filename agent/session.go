package agent

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"rackspur/dispatch"
	"rackspur/wire"
)

// openTimeout bounds the opening of a session with another gate.
const openTimeout = 500 * time.Millisecond

// sessions are the home's streams to the gates of other agents.
type sessions struct {
	node *node
	dial func(address string) (*grpc.ClientConn, error)
	// self is the epoch of the session with the own gate.
	self uint64

	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
	streams map[string]*homeStream
}

// homeStream is the home's side of one session.
type homeStream struct {
	epoch   uint64
	version uint64
	cancel  context.CancelFunc
	// wanted is the number of slots that the last note asked for.
	wanted uint32
	out    *outbox[*wire.HomeNote]
}

func newSessions(n *node, dial func(string) (*grpc.ClientConn, error)) *sessions {
	return &sessions{node: n, dial: dial, conns: map[string]*grpc.ClientConn{}, streams: map[string]*homeStream{}}
}

// send puts a note on the open session with a gate.
func (s *sessions) send(peer string, note *wire.HomeNote) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.streams[peer]
	if stream == nil {
		return
	}
	s.node.wasteOfHome(note, stream.wanted > 0)
	stream.wanted = note.GetWant()
	note.ConfigVersion = s.node.config.Version()
	note.Config = s.node.config.UpdateFor(stream.version)
	stream.version = max(stream.version, note.ConfigVersion)
	stream.out.push(note)
}

// open starts a session with a gate in the background.
func (s *sessions) open(peer string, hello *wire.Hello) {
	ctx, cancel := context.WithCancel(context.Background())
	stream := &homeStream{epoch: hello.GetEpoch(), cancel: cancel, out: newOutbox[*wire.HomeNote]()}
	s.mu.Lock()
	s.streams[peer] = stream
	s.mu.Unlock()
	go func() {
		defer cancel()
		err := s.run(ctx, peer, stream, hello)
		stream.out.close()
		s.node.log.V(1).Info("Session with gate ended.", "peer", peer, "reason", err.Error())
		s.node.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
			return s.node.home.Lost(now, peer, stream.epoch), nil
		})
	}()
}

// close ends the session with a gate and its connection.
func (s *sessions) close(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream := s.streams[peer]; stream != nil {
		stream.cancel()
		delete(s.streams, peer)
	}
	if c := s.conns[peer]; c != nil {
		delete(s.conns, peer)
		go func() { _ = c.Close() }()
	}
}

func (s *sessions) conn(peer string) (*grpc.ClientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.conns[peer]; c != nil {
		return c, nil
	}
	c, err := s.dial(peer)
	if err == nil {
		s.conns[peer] = c
	}
	return c, err
}

func (s *sessions) run(ctx context.Context, peer string, stream *homeStream, hello *wire.Hello) error {
	conn, err := s.conn(peer)
	if err != nil {
		return err
	}
	conn.ResetConnectBackoff()
	late := time.AfterFunc(openTimeout, stream.cancel)
	defer late.Stop()
	work, err := wire.NewGateClient(conn).Work(ctx)
	if err != nil {
		return err
	}
	config := s.node.config
	if err := work.Send(&wire.HomeNote{Hello: hello, ConfigVersion: config.Version()}); err != nil {
		return err
	}
	welcome, err := work.Recv()
	if err != nil {
		return err
	}
	late.Stop()
	go func() {
		defer stream.cancel()
		_ = stream.out.drain(ctx.Done(), work.Send)
	}()
	s.received(peer, stream, welcome)
	for {
		note, err := work.Recv()
		if err != nil {
			return err
		}
		s.received(peer, stream, note)
	}
}

// received brings a gate's note to the home.
func (s *sessions) received(peer string, stream *homeStream, note *wire.GateNote) {
	if err := s.node.config.Offer(note.GetConfig()); err != nil {
		s.node.log.Error(err, "Configuration from a gate is not usable.", "peer", peer)
	}
	s.mu.Lock()
	stream.version = max(stream.version, note.GetConfigVersion())
	s.mu.Unlock()
	s.node.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		if note.GetWelcome() != nil {
			return s.node.home.Opened(now, peer, stream.epoch, note), nil
		}
		return s.node.home.Received(now, peer, stream.epoch, note), nil
	})
}
