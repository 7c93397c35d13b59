package agent

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"rackspur/config"
	"rackspur/dispatch"
	"rackspur/id"
	"rackspur/observe"
	"rackspur/policy"
	"rackspur/rpc"
	"rackspur/store"
	"rackspur/target"
	"rackspur/wire"
)

// LedgerKey starts the key of a final ledger in the object store; the
// incarnation follows.
const LedgerKey = "ledger/"

const (
	// storePause is the time between two tries to write the final ledger.
	storePause = 200 * time.Millisecond
	// handTimeout bounds the handing over of the final ledger to entry boxes.
	handTimeout = 2 * time.Second
	// bytesPerMB turns MiB into bytes.
	bytesPerMB = 1 << 20
)

// ErrServe says that the agent's port can't be served.
var ErrServe = eris.New("agent: can't serve")

// PolicySource returns the policy in force.
type PolicySource interface {
	Current() dispatch.Policy
	// Recent returns the last decisions, those about one submission if its id is given.
	Recent(submission string) []policy.Decision
}

// Agent is one agent process.
type Agent struct {
	settings Settings
	node     *node
	link     *linkServer
	port     *observe.Port
	policy   PolicySource
	metrics  *observe.Metrics
	log      logr.Logger
	objects  store.Objects
	listener net.Listener
	left     atomic.Bool
}

// Parts are what an agent is made with.
type Parts struct {
	Settings Settings
	Config   *config.Holder
	Policy   PolicySource
	Platform store.Service
	Metrics  *observe.Metrics
	Log      logr.Logger
}

// New returns an agent that listens but does not serve yet.
func New(p Parts) (*Agent, error) {
	log := p.Log.WithName("agent").WithValues("target", p.Settings.Target)
	port, err := observe.NewPort(p.Settings.Ops, p.Metrics, log)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", p.Settings.Listen)
	if err != nil {
		return nil, eris.Wrap(ErrServe, err.Error())
	}
	a := &Agent{
		settings: p.Settings,
		port:     port,
		policy:   p.Policy,
		metrics:  p.Metrics,
		log:      log,
		objects:  p.Platform,
		listener: listener,
	}
	a.node = newNode(p, log)
	a.link = newLinkServer(&a.settings, a.node, a.drain, log)
	a.operatorHandlers()
	a.gauges()
	p.Config.OnChange(a.configured)
	return a, nil
}

func newNode(p Parts, log logr.Logger) *node {
	n := id.NewIncarnation()
	address := p.Settings.Address()
	v := &node{
		self:        address,
		incarnation: n,
		started:     time.Now(),
		target:      target.NewClient(p.Settings.TargetURL),
		config:      p.Config,
		metrics:     p.Metrics,
		log:         log,
		gate:        dispatch.NewGate(n, p.Settings.Slots),
		home: dispatch.NewHome(dispatch.HomeOptions{
			Incarnation: n,
			Address:     address,
			Target:      p.Settings.Target,
			Domain:      p.Settings.Domain,
			Grace:       p.Settings.Grace,
			KeepBytes:   p.Settings.KeepMB * bytesPerMB,
		}),
		waiters: map[string][]chan *wire.SubmitReply{},
		streams: map[id.Incarnation]*gateStream{},
		wake:    make(chan struct{}, 1),
		idle:    make(chan struct{}, 1),
	}
	v.sessions = newSessions(v, func(address string) (*grpc.ClientConn, error) {
		return rpc.Dial(address, p.Metrics)
	})
	return v
}

// configured takes a new configuration into the core. It runs beside the
// holder's lock and looks at the newest configuration, so that the order in
// which two changes get here does not matter.
func (a *Agent) configured(c *config.Accepted) {
	a.log.Info("Configuration in force.", "version", c.Version, "change", c.ChangeID)
	go a.node.do(func(dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		c := a.node.config.Current()
		limits := c.Document.Limits
		a.node.home.Configure(c.Version, time.Duration(limits.MaxWaitMS)*time.Millisecond)
		if a.left.Load() {
			return nil, nil
		}
		if c.Document.IsLeaving(a.settings.Target) {
			return nil, a.node.gate.Leave()
		}
		a.node.gate.Return()
		return nil, nil
	})
}

// drain stops new ids and new tasks; what runs goes on.
func (a *Agent) drain(reason string) {
	if a.left.Swap(true) {
		return
	}
	a.log.Info("Leaving.", "reason", reason)
	a.node.leave(a.policy.Current())
	a.link.leave()
}

// Run serves until ctx ends, then stops in order.
func (a *Agent) Run(ctx context.Context) error {
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	sup := suture.New("agent", suture.Spec{EventHook: func(e suture.Event) { a.log.Info("Supervisor event.", "event", e.String()) }})
	sup.Add(a.port)
	sup.Add(a.node)
	grpcService := &grpcService{agent: a, listener: a.listener}
	sup.Add(grpcService)
	done := sup.ServeBackground(serving)
	go a.node.settleBusy(serving, a.settings.LongestLease)
	a.log.Info("Serving.", "address", a.settings.Address(), "incarnation", a.node.incarnation.String())
	select {
	case <-ctx.Done():
	case err := <-done:
		return err
	}
	a.stop()
	cancel()
	<-done
	return nil
}

// stop finishes what is in progress and leaves the final ledger behind.
func (a *Agent) stop() {
	a.drain("stop")
	late := time.After(a.settings.StopTimeout)
	for !a.isIdle() {
		select {
		case <-a.node.idle:
		case <-late:
			a.log.Info("Stop timeout is over with work in progress.")
			return
		}
	}
	a.awaitSettled()
	a.leaveLedger()
}

// settleTimeout is how long an agent that stops waits for the homes to know it.
const settleTimeout = 2 * time.Second

// awaitSettled waits until no home sends starts any more and all have their
// results: a start on its way when the process ends could not be told from one
// that has run.
func (a *Agent) awaitSettled() {
	end := time.Now().Add(settleTimeout)
	for !a.settled() {
		if time.Now().After(end) {
			a.log.Info("Stops while a home has not confirmed what it was told.")
			return
		}
		time.Sleep(settlePoll)
	}
}

// settlePoll is the time between two looks at what homes have confirmed.
const settlePoll = 5 * time.Millisecond

func (a *Agent) settled() bool {
	a.node.mu.Lock()
	defer a.node.mu.Unlock()
	return a.node.gate.Settled()
}

func (a *Agent) isIdle() bool {
	a.node.mu.Lock()
	defer a.node.mu.Unlock()
	return a.node.home.Active() == 0 && a.node.gate.Running() == 0
}

// leaveLedger hands the final ledger to the linked entry boxes and writes it to
// the object store. While the store is down, one entry box suffices.
func (a *Agent) leaveLedger() {
	a.node.mu.Lock()
	final := a.node.home.Ledger().Final()
	a.node.mu.Unlock()
	handed := a.link.hand(final, handTimeout)
	key := LedgerKey + a.node.incarnation.String()
	until := time.Now().Add(a.settings.StopTimeout)
	for {
		err := a.objects.PutObject(context.Background(), key, final)
		if err == nil || handed > 0 || time.Now().After(until) {
			a.log.Info("Final ledger left.", "bytes", len(final), "entries", handed, "stored", err == nil)
			return
		}
		time.Sleep(storePause)
	}
}

func (a *Agent) operatorHandlers() {
	a.port.Handle("GET "+observe.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		observe.WriteJSON(w, http.StatusOK, struct{}{})
	})
	a.port.Handle("GET "+observe.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if a.left.Load() || a.node.config.Current() == nil {
			observe.WriteJSON(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		observe.WriteJSON(w, http.StatusOK, struct{}{})
	})
	a.port.Handle("GET "+observe.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		observe.WriteJSON(w, http.StatusOK, a.Status())
	})
	a.port.Handle("GET "+observe.PathWatch, func(w http.ResponseWriter, r *http.Request) {
		observe.WriteJSON(w, http.StatusOK, a.policy.Recent(r.URL.Query().Get("submission")))
	})
	a.port.Handle("POST "+observe.PathDrain, func(w http.ResponseWriter, _ *http.Request) {
		a.drain("operator")
		observe.WriteJSON(w, http.StatusOK, struct{}{})
	})
}

// gauges registers what the core counts.
func (a *Agent) gauges() {
	read := func(f func(g *dispatch.Gate, h *dispatch.Home) int64) func() int64 {
		return func() int64 {
			a.node.mu.Lock()
			defer a.node.mu.Unlock()
			return f(a.node.gate, a.node.home)
		}
	}
	a.metrics.Gauge(observe.MetricGrants, read(func(g *dispatch.Gate, _ *dispatch.Home) int64 { return g.Counts.Grants }))
	a.metrics.Gauge(observe.MetricGrantsReturned, read(func(g *dispatch.Gate, _ *dispatch.Home) int64 { return g.Counts.GrantsReturned }))
	a.metrics.Gauge(observe.MetricTasksRefused, read(func(g *dispatch.Gate, _ *dispatch.Home) int64 { return g.Counts.Refused }))
	a.metrics.Gauge("ledger.submissions", read(func(_ *dispatch.Gate, h *dispatch.Home) int64 {
		n, _ := h.Ledger().Size()
		return int64(n)
	}))
}

// grpcService serves the agent's port. When it is restarted it listens anew;
// the node with the ledger lives on.
type grpcService struct {
	agent    *Agent
	listener net.Listener
}

// Serve implements suture.Service.Serve.
func (s *grpcService) Serve(ctx context.Context) error {
	l := s.listener
	s.listener = nil
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", s.agent.settings.Listen); err != nil {
			return eris.Wrap(ErrServe, err.Error())
		}
	}
	srv := rpc.NewServer(s.agent.metrics)
	wire.RegisterHomeServer(srv, &homeServer{node: s.agent.node, policy: s.agent.policy.Current, link: s.agent.link})
	wire.RegisterGateServer(srv, &gateServer{node: s.agent.node})
	wire.RegisterLinkServer(srv, s.agent.link)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	err := srv.Serve(l)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return eris.Wrap(ErrServe, err.Error())
}
