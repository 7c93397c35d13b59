package agent

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rackspur/dispatch"
	"rackspur/id"
	"rackspur/wire"
)

// gateStream is the gate's side of a session with a home.
type gateStream struct {
	epoch   uint64
	version uint64
	out     *outbox[*wire.GateNote]
}

// gateServer implements wire.GateServer.
type gateServer struct {
	wire.UnimplementedGateServer
	node *node
}

// Work implements wire.GateServer.Work.
func (g *gateServer) Work(stream wire.Gate_WorkServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	home, ok := id.IncarnationOf(hello.GetHome())
	if !ok {
		return status.Error(codes.InvalidArgument, "gate: the first note must be a hello")
	}
	s := &gateStream{epoch: hello.GetEpoch(), version: first.GetConfigVersion(), out: newOutbox[*wire.GateNote]()}
	if !g.open(home, s, first) {
		return status.Error(codes.Aborted, "gate: a newer session of this home is known")
	}
	defer g.lost(home, s)
	go func() { _ = s.out.drain(stream.Context().Done(), stream.Send) }()
	for {
		note, err := stream.Recv()
		if err != nil {
			return err
		}
		g.received(home, s, note)
	}
}

func (g *gateServer) open(home id.Incarnation, s *gateStream, first *wire.HomeNote) bool {
	g.offer(first)
	opened := false
	g.node.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		old := g.node.streams[home]
		g.node.streams[home] = s
		actions, ok := g.node.gate.Hello(now, first.GetHello())
		opened = ok
		if !ok {
			g.node.streams[home] = old
		}
		return nil, actions
	})
	return opened
}

func (g *gateServer) offer(note *wire.HomeNote) {
	if err := g.node.config.Offer(note.GetConfig()); err != nil {
		g.node.log.Error(err, "Configuration from a home is not usable.")
	}
}

func (g *gateServer) received(home id.Incarnation, s *gateStream, note *wire.HomeNote) {
	g.offer(note)
	g.node.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		s.version = max(s.version, note.GetConfigVersion())
		before := g.node.gate.Counts.Refused
		actions := g.node.gate.Note(now, home, s.epoch, note)
		g.node.wasteOfRefusal(note, g.node.gate.Counts.Refused-before)
		return nil, actions
	})
}

func (g *gateServer) lost(home id.Incarnation, s *gateStream) {
	s.out.close()
	g.node.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		if g.node.streams[home] == s {
			delete(g.node.streams, home)
		}
		return nil, g.node.gate.Lost(now, home, s.epoch)
	})
}
