package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"rackspur/config"
	"rackspur/observe"
	"rackspur/rpc"
	"rackspur/wire"
)

// relinkPause is the time between two tries to attach to an agent.
const relinkPause = 100 * time.Millisecond

// links keeps a stream to each wanted agent.
type links struct {
	name    string
	fleet   *fleet
	config  *config.Holder
	metrics *observe.Metrics
	ledgers *ledgers
	log     logr.Logger

	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
	running map[string]*linkHandle
}

// linkHandle is one link as the rest of the entry box sees it.
type linkHandle struct {
	cancel  context.CancelFunc
	drain   chan struct{}
	drained bool
}

// conn returns the connection to an agent.
func (l *links) conn(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[address]; c != nil {
		return c, nil
	}
	c, err := rpc.Dial(address, l.metrics)
	if err == nil {
		l.conns[address] = c
	}
	return c, err
}

// forget closes the connections to agents that are no longer known.
func (l *links) forget(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		if c := l.conns[address]; c != nil {
			_ = c.Close()
			delete(l.conns, address)
		}
	}
}

// keep starts and ends links so that just the wanted ones run.
func (l *links) keep(ctx context.Context, wanted []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	want := map[string]bool{}
	for _, address := range wanted {
		want[address] = true
		if l.running[address] != nil {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		h := &linkHandle{cancel: cancel, drain: make(chan struct{}, 1)}
		l.running[address] = h
		go l.serve(linkCtx, address, h)
	}
	for address, h := range l.running {
		if !want[address] {
			h.cancel()
			delete(l.running, address)
		}
	}
}

// drain tells an agent to leave. It reports false if there is no link.
func (l *links) drain(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.running[address]
	if h == nil {
		return false
	}
	if h.drained {
		return true
	}
	h.drained = true
	select {
	case h.drain <- struct{}{}:
	default:
	}
	return true
}

func (l *links) serve(ctx context.Context, address string, h *linkHandle) {
	for ctx.Err() == nil {
		err := l.attach(ctx, address, h)
		l.fleet.unlinked(address)
		l.log.V(1).Info("Link ended.", "agent", address, "reason", errText(err))
		select {
		case <-ctx.Done():
		case <-time.After(relinkPause):
		}
	}
}

func errText(err error) string {
	if err == nil {
		return "closed"
	}
	return err.Error()
}

// attach runs one link until it breaks or the agent has left.
func (l *links) attach(ctx context.Context, address string, h *linkHandle) error {
	conn, err := l.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wire.NewLinkClient(conn).Attach(ctx)
	if err != nil {
		return err
	}
	gone := make(chan error, 1)
	var told sync.Mutex
	version := uint64(0)
	go func() { gone <- l.receive(stream, address, &told, &version) }()
	note := &wire.EntryNote{Entry: l.name}
	for first := true; ; first = false {
		changed := l.config.Changed()
		told.Lock()
		note.ConfigVersion = l.config.Version()
		note.Config = l.config.UpdateFor(version)
		version = max(version, note.ConfigVersion)
		told.Unlock()
		if first || note.Config != nil || note.Drain {
			if err := stream.Send(note); err != nil {
				return err
			}
		}
		note = &wire.EntryNote{}
		select {
		case err := <-gone:
			return err
		case <-changed:
		case <-h.drain:
			note.Drain = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receive takes the notes of an agent. It ends the link when the agent has
// handed over its final ledger.
func (l *links) receive(stream wire.Link_AttachClient, address string, told *sync.Mutex, version *uint64) error {
	for {
		note, err := stream.Recv()
		if err != nil {
			return err
		}
		if len(note.GetLedger()) > 0 {
			l.ledgers.handed(note.GetLedger())
			return stream.CloseSend()
		}
		told.Lock()
		*version = max(*version, note.GetConfigVersion())
		told.Unlock()
		if err := l.config.Offer(note.GetConfig()); err != nil {
			l.log.Error(err, "Configuration from an agent is not usable.", "agent", address)
		}
		l.fleet.noted(address, note)
	}
}
