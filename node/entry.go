// Package node assembles the two kinds of box: an entry box accepts and owns jobs,
// an agent runs the gate of a target.
package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"rackspur/evacuation"
	"rackspur/member"
	"rackspur/observe"
	"rackspur/owner"
	"rackspur/peer"
	"rackspur/peer/peerpb"
	"rackspur/route"
	"rackspur/rowstore"
	"rackspur/rpc"
)

// ErrServe is returned when a box can't listen on its address.
var ErrServe = eris.New("node: can't serve")

// Options configure a box.
type Options struct {
	Node   string
	Domain string
	// Service is the service that the agent's target belongs to; empty if unknown.
	Service string
	// Listen is the address to listen on for other boxes.
	Listen string
	// HubCapable says that the box has enough network bandwidth to be a hub for others.
	HubCapable bool
	// Advertise is the address that other boxes connect to; if empty, the listen
	// address.
	Advertise string
	// Seeds are the addresses of a few other boxes; some may be stale.
	Seeds []string
	// Parts is the number of parts that the jobs in the store are divided into.
	Parts int
	// MaxLease is the longest target lease that the platform allows.
	MaxLease     time.Duration
	KeepFinished time.Duration
	// MaxTasks is the number of tasks of live jobs above which an entry box refuses jobs; 0 for no
	// limit.
	MaxTasks int
	// ResubmitDelay is how long after a lost answer callers resubmit a best-effort job,
	// possibly to another entry box; 0 for the default.
	ResubmitDelay time.Duration
	// EvacuationBound is how long after the acknowledgement of an evacuation tasks may still
	// start in the failure domain; 0 for the default.
	EvacuationBound time.Duration
	// ReadEvacuations reads the evacuations from the store. It may be nil; the agent then
	// learns of them from owners only.
	ReadEvacuations ReadEvacuations
	Store           rowstore.Store
	Metrics         *observe.Metrics
	Log             logr.Logger
	// Unreadable records rows of the store that can't be decoded; it may be nil.
	Unreadable *observe.UnreadableLog
	// Policy makes the decisions that operators have programmed; nil for the built-in ones.
	Policy owner.Policy
	// Decisions selects how an entry box decides under load.
	Decisions owner.Decisions
	// MoveLeaving makes an agent report runs that can't end before their target leaves, so that
	// they are moved.
	MoveLeaving bool
}

// listening sets the addresses from the listener.
func (o *Options) listening(l net.Listener) {
	o.Listen = l.Addr().String()
	if o.Advertise == "" {
		o.Advertise = o.Listen
	}
}

// Times of an entry box.
const (
	// tickPause is the pause between two ticks of the owner while tasks or answers wait;
	// calmPause is used while none do, since each tick wakes the process.
	tickPause = 10 * time.Millisecond
	calmPause = 30 * time.Millisecond
	pollPause = 400 * time.Millisecond
	// commitDelay is how long a write waits to be committed together with others.
	commitDelay = time.Millisecond
	askTimeout  = 400 * time.Millisecond
	readTimeout = time.Second
	// defaultCallTimeout applies to callers that set no deadline.
	defaultCallTimeout = 30 * time.Second
)

// OperatorUpdates receives the configuration and the evacuations that operators write.
type OperatorUpdates struct {
	Routes *route.Holder
	// Evacuated receives the evacuated failure domains, sorted, as of a version of the store
	// that was current at the given time or later.
	Evacuated func(domains []string, version uint64, at time.Time)
}

// FollowOperator passes changes written by operators to an OperatorUpdates until the context ends.
type FollowOperator func(ctx context.Context, s rowstore.Store, to OperatorUpdates, log logr.Logger)

// Entry is a box that accepts submissions and owns their jobs.
type Entry struct {
	options Options
	follow  FollowOperator
	routes  route.Holder
	// evacuations holds times relative to started.
	evacuations evacuation.Holder
	log         logr.Logger
	started     time.Time
	// lifetime ends with Run; it bounds the work that goes on after a request.
	lifetime context.Context
	end      context.CancelFunc
	// direct accesses the platform's store and shares one change feed between this box and
	// those whose hub it is; store accesses it directly or through peers.
	direct   *peer.SharedStore
	store    *peer.RelayedStore
	listener net.Listener
	seeds    *seeds
	current  atomic.Pointer[term]
	stopping atomic.Bool

	// pending caches the number of jobs waiting at other entry boxes.
	pending pendingElsewhere
	// hubs selects the entry box through which this one follows the store.
	hubs *hubs
	// elsewhere holds the jobs that other owners have announced.
	elsewhere jobsElsewhere
	// cancellations holds the cancellations in progress, closed the ids that they have closed.
	cancellations cancellations
	closed        closedIDs

	mu         sync.Mutex
	boxes      map[string]member.Box
	askClients map[string]*askClient
}

// NewEntry returns an entry box and starts listening for other boxes.
func NewEntry(o Options, follow FollowOperator) (*Entry, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, eris.Wrap(ErrServe, err.Error())
	}
	o.listening(listener)
	e := &Entry{
		options: o, follow: follow, log: o.Log, started: time.Now(), listener: listener,
		boxes: map[string]member.Box{}, askClients: map[string]*askClient{},
		seeds: newSeeds(o.Seeds, o.Advertise, o.Metrics),
	}
	e.lifetime, e.end = context.WithCancel(context.Background())
	e.hubs = newHubs(o.Node, e.known)
	e.direct = peer.NewSharedStore(o.Store)
	e.store = peer.NewRelayedStore(e.direct, e, o.Metrics, o.Log)
	e.store.SetHubs(e)
	e.evacuations.OnNews(e.passEvacuations)
	e.gauges()
	return e, nil
}

// Sample implements peer.Peers.Sample with linked agents, or with seeds if there are none.
func (e *Entry) Sample(n int) []peerpb.PeerClient {
	if t := e.current.Load(); t != nil {
		if some := t.links.Sample(n); len(some) > 0 {
			return some
		}
	}
	return e.seeds.some(n)
}

// Run serves until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	defer e.end()
	server := rpc.NewServer(e.options.Metrics)
	peerpb.RegisterPeerServer(server, &peer.Server{
		Node: e.options.Node, Owner: e, Resumer: e, Inviter: e, Direct: e.direct, Metrics: e.options.Metrics, Log: e.log,
	})
	go func() { _ = server.Serve(e.listener) }()
	defer server.Stop()
	go e.follow(ctx, e.store, OperatorUpdates{Routes: &e.routes, Evacuated: e.evacuated}, e.log)
	go member.NewSweeper(e.store, e.entries, e.log).Run(ctx)
	go e.closed.run(ctx, e.store, max(minKeepClosed, e.options.KeepFinished))
	go member.Follow(ctx, e.store, e.found, e.lost, e.options.Unreadable, e.log)
	for ctx.Err() == nil {
		e.runTerm(ctx)
	}
	return nil
}

// Routes returns the current configuration, or nil before the first.
func (e *Entry) Routes() *route.Table { return e.routes.Current() }

// RoutesAge returns how long ago the current configuration was last known to be up to
// date; ok is false before the first.
func (e *Entry) RoutesAge() (age time.Duration, ok bool) { return e.routes.Age() }

// Limits returns the limits of the current configuration, or none before the first.
func (e *Entry) Limits() route.Limits {
	if t := e.routes.Current(); t != nil {
		return t.Limits
	}
	return route.Limits{}
}

// evacuated implements OperatorUpdates.Evacuated.
func (e *Entry) evacuated(domains []string, version uint64, at time.Time) {
	e.evacuations.Take(evacuation.News{Domains: domains, Version: version, AsOf: at.Sub(e.started)})
}

// passEvacuations passes evacuations on to the current owner.
func (e *Entry) passEvacuations(n evacuation.News) {
	if t := e.current.Load(); t != nil {
		t.owner.UpdateEvacuations(n)
	}
}

// found handles a new or changed box of the membership.
func (e *Entry) found(b member.Box) {
	e.mu.Lock()
	before := e.boxes[b.Node]
	e.boxes[b.Node] = b
	e.mu.Unlock()
	if b.Role == member.RoleEntry && b != before {
		e.hubs.invalidate()
	}
	if t := e.current.Load(); t != nil {
		t.found(b)
	}
}

// entries returns the number of known entry boxes, or 1 before the first term.
func (e *Entry) entries() int {
	if t := e.current.Load(); t != nil {
		return t.fleet.Entries()
	}
	return 1
}

// lost handles the removal of a box from the membership.
func (e *Entry) lost(node string) {
	e.mu.Lock()
	delete(e.boxes, node)
	e.mu.Unlock()
	e.hubs.invalidate()
	if t := e.current.Load(); t != nil {
		t.fleet.RemoveBox(node)
		t.owner.SetOwners(t.fleet.Entries())
	}
}

// Invited implements peer.Inviter.Invited.
func (e *Entry) Invited(b member.Box) {
	if t := e.current.Load(); t != nil {
		t.owner.AddGate(b.Node, b.Zone)
		t.fleet.Invited(b)
	}
}

// known returns the boxes of the membership.
func (e *Entry) known() []member.Box {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]member.Box, 0, len(e.boxes))
	for _, b := range e.boxes {
		all = append(all, b)
	}
	return all
}

// runTerm runs one incarnation of the owner until it is fenced or the context ends.
func (e *Entry) runTerm(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	incarnation := e.options.Node + "~" + uuid.NewString()[:8]
	t := e.newTerm(ctx, incarnation)
	e.current.Store(t)
	t.owner.UpdateEvacuations(e.evacuations.News())
	for _, b := range e.known() {
		t.found(b)
	}
	go member.KeepRegistered(ctx, e.store, t.box, e.log)
	t.run(ctx)
}

// Ready reports whether the box should receive new connections.
func (e *Entry) Ready() bool {
	t := e.current.Load()
	return t != nil && !e.stopping.Load() && e.routes.Current() != nil && t.owner.Running() && t.links.Linked() > 0
}

// Stop makes the box unready, waits until its jobs have ended or the context ends, and
// releases its lease so that other boxes take over the remaining jobs.
func (e *Entry) Stop(ctx context.Context) {
	e.stopping.Store(true)
	t := e.current.Load()
	if t == nil {
		return
	}
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	for t.owner.LiveJobs() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	t.release()
}
