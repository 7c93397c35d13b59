package agent

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"rackspur/dispatch"
	"rackspur/id"
	"rackspur/observe"
	"rackspur/wire"
)

// blocksAhead is the number of blocks that a link holds at a time: a new one
// goes out before the last may no longer be minted from.
const blocksAhead = 2

// linkServer implements wire.LinkServer.
type linkServer struct {
	wire.UnimplementedLinkServer
	settings *Settings
	node     *node
	drain    func(reason string)
	log      logr.Logger

	mu    sync.Mutex
	links map[*link]struct{}
	// leaving is closed when the agent leaves.
	leaving chan struct{}
	// final is set when the final ledger stands.
	final     []byte
	finalDone chan struct{}
}

// link is one entry box attached to this agent.
type link struct {
	entry  string
	handed chan struct{}

	mu sync.Mutex
	// version is what the entry box has, told what it was told of this agent.
	version uint64
	told    uint64
	// answered is when an answer last carried the load to the entry box.
	answered time.Time
}

func newLinkServer(s *Settings, n *node, drain func(string), log logr.Logger) *linkServer {
	return &linkServer{
		settings:  s,
		node:      n,
		drain:     drain,
		log:       log.WithName("link"),
		links:     map[*link]struct{}{},
		leaving:   make(chan struct{}),
		finalDone: make(chan struct{}),
	}
}

// Attach implements wire.LinkServer.Attach. Load goes out when it has changed,
// not more often than the setting says; leaving goes out at once.
func (s *linkServer) Attach(stream wire.Link_AttachServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	l := &link{entry: first.GetEntry(), handed: make(chan struct{})}
	s.add(l)
	defer s.remove(l)
	s.take(l, first)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		for {
			note, err := stream.Recv()
			if err != nil {
				return
			}
			s.take(l, note)
		}
	}()
	return s.report(stream, l, gone)
}

func (s *linkServer) add(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[l] = struct{}{}
}

func (s *linkServer) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
	close(l.handed)
}

// take handles a note of an entry box.
func (s *linkServer) take(l *link, note *wire.EntryNote) {
	l.mu.Lock()
	l.version = max(l.version, note.GetConfigVersion())
	l.mu.Unlock()
	if err := s.node.config.Offer(note.GetConfig()); err != nil {
		s.log.Error(err, "Configuration from an entry box is not usable.", "entry", l.entry)
	}
	if note.GetDrain() {
		s.drain("operator")
	}
}

// report sends load, blocks, configuration and, last, the final ledger.
func (s *linkServer) report(stream wire.Link_AttachServer, l *link, gone <-chan struct{}) error {
	var last *wire.Load
	var blockAt time.Time
	leaving := s.leaving
	ticker := time.NewTicker(s.settings.Report)
	defer ticker.Stop()
	for first := true; ; first = false {
		changed := s.node.config.Changed()
		note, waste := s.compose(l, last, first, &blockAt)
		if note != nil {
			if waste {
				s.node.metrics.Wasted(observe.WasteReport, 1)
			}
			last = note.GetLoad()
			if err := stream.Send(note); err != nil {
				return err
			}
		}
		select {
		case <-gone:
			return nil
		case <-stream.Context().Done():
			return nil
		case <-leaving:
			leaving = nil
		case <-changed:
		case <-ticker.C:
		case <-s.finalDone:
			if err := stream.Send(&wire.AgentNote{Ledger: s.final}); err != nil {
				return err
			}
			<-gone // the entry box ends the link when it has the ledger
			return nil
		}
	}
}

// compose returns the next note, or nil if there is nothing to tell. The second
// result tells whether the note carries nothing but load.
func (s *linkServer) compose(l *link, last *wire.Load, first bool, blockAt *time.Time) (*wire.AgentNote, bool) {
	load := s.node.load()
	l.mu.Lock()
	defer l.mu.Unlock()
	note := &wire.AgentNote{Load: load, ConfigVersion: s.node.config.Version(), Config: s.node.config.UpdateFor(l.version)}
	if first {
		note.Address = s.settings.Address()
		note.Incarnation = s.node.incarnation[:]
		note.Target = s.settings.Target
		note.Domain = s.settings.Domain
	}
	note.Blocks = s.blocks(load, blockAt)
	if note.Config != nil {
		l.version = max(l.version, note.ConfigVersion)
	}
	useful := first || len(note.Blocks) > 0 || note.Config != nil || note.ConfigVersion > l.told
	l.told = note.ConfigVersion
	fresh := time.Since(l.answered) < s.settings.Report && load.GetLeaving() == last.GetLeaving()
	if !useful && (fresh || proto.Equal(last, load)) {
		return nil, false
	}
	return note, !useful
}

// answered notes that an answer has carried the load to an entry box.
func (s *linkServer) answered(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		if l.entry == entry {
			l.mu.Lock()
			l.answered = time.Now()
			l.mu.Unlock()
		}
	}
}

// blocks issues id blocks when the last ones are half used up in time.
func (s *linkServer) blocks(load *wire.Load, at *time.Time) []*wire.Block {
	accepted := s.node.config.Current()
	if accepted == nil || s.isLeaving() {
		return nil
	}
	limits := accepted.Document.Limits
	mint := time.Duration(limits.BlockMintMS) * time.Millisecond
	if time.Since(*at) < mint/blocksAhead {
		return nil
	}
	*at = time.Now()
	var number uint32
	var key [id.KeySize]byte
	s.node.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		number, key = s.node.home.Ledger().Issue(now + limits.BlockLifetime())
		return nil, nil
	})
	return []*wire.Block{{Number: number, Key: key[:], MintMs: uint32(limits.BlockMintMS)}}
}

func (s *linkServer) isLeaving() bool {
	select {
	case <-s.leaving:
		return true
	default:
		return false
	}
}

// leave tells every link at once that the agent leaves.
func (s *linkServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLeaving() {
		close(s.leaving)
	}
}

// hand gives the final ledger to the linked entry boxes and waits until each
// has it or is gone. It returns the number of links.
func (s *linkServer) hand(ledger []byte, timeout time.Duration) int {
	s.mu.Lock()
	s.final = ledger
	close(s.finalDone)
	var links []*link
	for l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	late := time.After(timeout)
	for _, l := range links {
		select {
		case <-l.handed:
		case <-late:
			return len(links)
		}
	}
	return len(links)
}
