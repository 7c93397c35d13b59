package agent

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rackspur/config"
	"rackspur/dispatch"
	"rackspur/id"
	"rackspur/observe"
	"rackspur/target"
	"rackspur/wire"
)

// tickPause is the time between two looks at lapsed reservations and expired blocks.
const tickPause = 100 * time.Millisecond

// node drives the pure core: it serializes events and carries out actions. The
// home's own gate is served within the process, without messages.
type node struct {
	self        string
	incarnation id.Incarnation
	started     time.Time
	target      target.Target
	config      *config.Holder
	metrics     *observe.Metrics
	log         logr.Logger
	sessions    *sessions

	mu      sync.Mutex
	home    *dispatch.Home
	gate    *dispatch.Gate
	waiters map[string][]chan *wire.SubmitReply
	streams map[id.Incarnation]*gateStream
	wake    chan struct{}
	idle    chan struct{}
}

// work is what is left to do outside the lock.
type work struct {
	starts []*dispatch.Run
	hellos []dispatch.HomeAction
}

func (n *node) now() dispatch.Time {
	return time.Since(n.started)
}

// do runs an event of the core and carries out what follows from it.
func (n *node) do(event func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction)) {
	n.mu.Lock()
	before, hadTimer := n.home.Wake()
	home, gate := event(n.now())
	w := n.carryOut(home, gate)
	after, hasTimer := n.home.Wake()
	n.signalIdle()
	n.mu.Unlock()
	if hasTimer && (!hadTimer || after < before) {
		n.poke()
	}
	for _, run := range w.starts {
		n.runTask(run)
	}
	for _, a := range w.hellos {
		n.sessions.open(a.Peer, a.Hello)
	}
}

// poke makes the timer loop look at the next timer.
func (n *node) poke() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// carryOut performs actions until none is left. Those between the home and its
// own gate turn into further events at once.
func (n *node) carryOut(home []dispatch.HomeAction, gate []dispatch.GateAction) *work {
	w := &work{}
	for len(home) > 0 || len(gate) > 0 {
		var nextHome []dispatch.HomeAction
		var nextGate []dispatch.GateAction
		for _, a := range home {
			nextGate = append(nextGate, n.homeAction(w, a)...)
		}
		for _, a := range gate {
			nextHome = append(nextHome, n.gateAction(w, a)...)
		}
		home, gate = nextHome, nextGate
	}
	return w
}

func (n *node) homeAction(w *work, a dispatch.HomeAction) []dispatch.GateAction {
	switch {
	case a.Answer != nil:
		n.answer(a.Answer)
	case a.Hello != nil && a.Peer == n.self:
		n.selfEpoch(a.Hello)
		gate, _ := n.gate.Hello(n.now(), a.Hello)
		return gate
	case a.Hello != nil:
		w.hellos = append(w.hellos, a)
	case a.Close:
		n.sessions.close(a.Peer)
	case a.Peer == n.self:
		return n.gate.Note(n.now(), n.incarnation, n.sessions.self, a.Note)
	default:
		n.sessions.send(a.Peer, a.Note)
	}
	return nil
}

func (n *node) selfEpoch(h *wire.Hello) {
	n.sessions.self = h.GetEpoch()
}

func (n *node) gateAction(w *work, a dispatch.GateAction) []dispatch.HomeAction {
	switch {
	case a.Start != nil:
		w.starts = append(w.starts, a.Start)
	case a.Home == n.incarnation && a.Note.GetWelcome() != nil:
		return n.home.Opened(n.now(), n.self, n.sessions.self, a.Note)
	case a.Home == n.incarnation:
		return n.home.Received(n.now(), n.self, n.sessions.self, a.Note)
	default:
		n.toHome(a.Home, a.Note)
	}
	return nil
}

// toHome sends a gate's note on the stream of a home.
func (n *node) toHome(home id.Incarnation, note *wire.GateNote) {
	s := n.streams[home]
	if s == nil {
		return
	}
	n.wasteOfGate(note)
	note.Load.Waiting = uint32(n.home.Waiting())
	note.ConfigVersion = n.config.Version()
	note.Config = n.config.UpdateFor(s.version)
	s.version = max(s.version, note.ConfigVersion)
	s.out.push(note)
}

// wasteOfGate counts a note that led neither to a start nor to an answer.
func (n *node) wasteOfGate(note *wire.GateNote) {
	if len(note.GetResults()) > 0 || note.GetGrants() > 0 || note.GetWelcome() != nil {
		return
	}
	if len(note.GetRefused()) > 0 {
		n.metrics.Wasted(observe.WasteRefusal, 1)
		return
	}
	n.metrics.Wasted(observe.WasteReport, 1)
}

// wasteOfHome counts what a note without starts tells of wasted messages: a
// slot given back, or a wish withdrawn, was wasted together with the note.
func (n *node) wasteOfHome(note *wire.HomeNote, withdrawn bool) {
	if len(note.GetStarts()) > 0 || note.GetWant() > 0 {
		return
	}
	if note.GetReturned() > 0 || withdrawn {
		n.metrics.Wasted(observe.WasteGrant, 2)
		return
	}
	n.metrics.Wasted(observe.WasteAck, 1)
}

// wasteOfRefusal counts a note of which every start was refused.
func (n *node) wasteOfRefusal(note *wire.HomeNote, refused int64) {
	if starts := len(note.GetStarts()); starts > 0 && int64(starts) == refused {
		n.metrics.Wasted(observe.WasteRefusal, 1)
	}
}

// answer wakes the callers that wait for a submission.
func (n *node) answer(a *dispatch.Answered) {
	for _, ch := range n.waiters[a.Submission] {
		ch <- a.Reply
	}
	delete(n.waiters, a.Submission)
}

// submit judges a submission. It returns the answer, or a channel on which the
// answer will come.
func (n *node) submit(sub *dispatch.Submission) (*wire.SubmitReply, chan *wire.SubmitReply) {
	var reply *wire.SubmitReply
	var ch chan *wire.SubmitReply
	n.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		var actions []dispatch.HomeAction
		n.home.SelfLoad(n.gate.Load())
		reply, actions = n.home.Submit(now, sub)
		if reply == nil {
			ch = make(chan *wire.SubmitReply, 1)
			key := sub.ID.Key()
			n.waiters[key] = append(n.waiters[key], ch)
		}
		return actions, nil
	})
	return reply, ch
}

// forgo takes back a wait whose caller has gone; the job goes on.
func (n *node) forgo(key string, ch chan *wire.SubmitReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := n.waiters[key]
	for i, other := range all {
		if other == ch {
			n.waiters[key] = append(all[:i], all[i+1:]...)
			break
		}
	}
	if len(n.waiters[key]) == 0 {
		delete(n.waiters, key)
	}
}

// load returns the load report of this agent.
func (n *node) load() *wire.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.gate.Load()
	l.Waiting = uint32(n.home.Waiting())
	l.Homing = uint32(n.home.Active())
	return l
}

// leave closes the gate and the home for new work.
func (n *node) leave(p dispatch.Policy) {
	n.do(func(dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		return n.home.Leave(p), n.gate.Leave()
	})
}

// signalIdle tells a planned stop that nothing is in progress any more.
func (n *node) signalIdle() {
	if n.home.Active() > 0 || n.gate.Running() > 0 {
		return
	}
	select {
	case n.idle <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service.Serve. It runs the timers of the core.
func (n *node) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.wake:
		case <-time.After(n.untilWake()):
		}
		n.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
			n.home.Ledger().Expire(now)
			return n.home.Tick(now), n.gate.Tick(now)
		})
	}
}

func (n *node) untilWake() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.home.Wake()
	if !ok {
		return tickPause
	}
	return min(tickPause, max(0, at-n.now()))
}
