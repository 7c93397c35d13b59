package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"google.golang.org/grpc"

	"rackspur/config"
	"rackspur/observe"
	"rackspur/store"
)

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 16 << 10

// ErrServe says that the callers' port can't be served.
var ErrServe = eris.New("entry: can't serve")

// Entry is one entry box.
type Entry struct {
	settings Settings
	config   *config.Holder
	store    *config.Store
	platform store.Service
	metrics  *observe.Metrics
	log      logr.Logger
	port     *observe.Port
	listener net.Listener
	server   *http.Server
	fleet    *fleet
	links    *links
	ledgers  *ledgers
	quotas   *quotas
	// decoy is a hash to compare with when the member is not known.
	decoy   string
	leaving atomic.Bool
}

// Parts are what an entry box is made with.
type Parts struct {
	Settings Settings
	Config   *config.Holder
	Platform store.Service
	Metrics  *observe.Metrics
	Log      logr.Logger
}

// New returns an entry box that listens but does not serve yet.
func New(p Parts) (*Entry, error) {
	log := p.Log.WithName("entry").WithValues("box", p.Settings.Name)
	port, err := observe.NewPort(p.Settings.Ops, p.Metrics, log)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", p.Settings.Listen)
	if err != nil {
		return nil, eris.Wrap(ErrServe, err.Error())
	}
	e := &Entry{
		settings: p.Settings,
		config:   p.Config,
		store:    config.NewStore(p.Platform),
		platform: p.Platform,
		metrics:  p.Metrics,
		log:      log,
		port:     port,
		listener: listener,
		fleet:    newFleet(p.Settings.Domain),
		ledgers:  newLedgers(p.Platform, log),
		quotas:   newQuotas(),
		decoy:    config.HashSecret(config.NewSecret()),
	}
	e.links = &links{
		name:    p.Settings.Name,
		fleet:   e.fleet,
		config:  p.Config,
		metrics: p.Metrics,
		ledgers: e.ledgers,
		log:     log,
		conns:   map[string]*grpc.ClientConn{},
		running: map[string]*linkHandle{},
	}
	e.server = &http.Server{
		Handler:           otelhttp.NewHandler(e.handler(), "entry.http"),
		ReadHeaderTimeout: p.Settings.HeaderTimeout,
		ReadTimeout:       p.Settings.BodyTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	e.operatorHandlers()
	p.Config.OnChange(e.configured)
	return e, nil
}

func (e *Entry) configured(c *config.Accepted) {
	e.quotas.configure(c.Document, e.fleet.share())
	e.log.Info("Configuration in force.", "version", c.Version, "change", c.ChangeID)
}

func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.config.Current() != nil
}

// Run serves until ctx ends, then stops in order: first the health check turns,
// then nothing more is accepted, then what is in flight is waited for.
func (e *Entry) Run(ctx context.Context) error {
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	sup := suture.New("entry", suture.Spec{EventHook: func(ev suture.Event) { e.log.Info("Supervisor event.", "event", ev.String()) }})
	sup.Add(e.port)
	sup.Add(&poller{entry: e})
	sup.Add(&httpService{entry: e, listener: e.listener})
	done := sup.ServeBackground(serving)
	e.log.Info("Serving.", "address", e.settings.Listen)
	select {
	case <-ctx.Done():
	case err := <-done:
		return err
	}
	e.stop()
	cancel()
	<-done
	return nil
}

func (e *Entry) stop() {
	e.log.Info("Leaving.", "reason", "stop")
	e.leaving.Store(true)
	e.server.SetKeepAlivesEnabled(false)
	time.Sleep(e.settings.StopDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.StopTimeout)
	defer cancel()
	if err := e.server.Shutdown(ctx); err != nil {
		e.log.Error(err, "Stop timeout is over with requests in flight.")
	}
	e.ledgers.upkeep(ctx)
}

// httpService serves callers. When it is restarted it listens anew.
type httpService struct {
	entry    *Entry
	listener net.Listener
}

// Serve implements suture.Service.Serve.
func (s *httpService) Serve(ctx context.Context) error {
	l := s.listener
	s.listener = nil
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", s.entry.settings.Listen); err != nil {
			return eris.Wrap(ErrServe, err.Error())
		}
	}
	err := s.entry.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return eris.Wrap(ErrServe, err.Error())
}

// poller reads the platform's list and the accepted configuration.
type poller struct {
	entry *Entry
}

// Serve implements suture.Service.Serve.
func (p *poller) Serve(ctx context.Context) error {
	e := p.entry
	for {
		e.pollBoxes(ctx)
		e.pollConfig(ctx)
		e.ledgers.upkeep(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(e.settings.Poll):
		}
	}
}

func (e *Entry) pollBoxes(ctx context.Context) {
	boxes, err := e.platform.ListBoxes(ctx)
	if err != nil {
		e.log.V(1).Info("List of boxes not read.", "reason", err.Error())
		return
	}
	e.links.forget(e.fleet.list(boxes))
	e.links.keep(ctx, e.fleet.wanted(e.settings.Name, e.settings.Links))
	for _, address := range e.fleet.listedLeaving() {
		e.links.drain(address)
	}
	if c := e.config.Current(); c != nil {
		e.quotas.configure(c.Document, e.fleet.share())
	}
}

func (e *Entry) pollConfig(ctx context.Context) {
	record, err := e.store.Current(ctx)
	if err != nil || record == nil {
		e.log.V(1).Info("Configuration not read.", "reason", errText(err))
		return
	}
	if err := e.config.Offer(record.Wire()); err != nil {
		e.log.Error(err, "Accepted configuration is not usable.", "version", record.Version)
	}
}

// Status is what the operators' port tells of an entry box.
type Status struct {
	Name    string      `json:"name"`
	Domain  string      `json:"domain"`
	Version uint64      `json:"version"`
	Leaving bool        `json:"leaving"`
	Ready   bool        `json:"ready"`
	Agents  []AgentView `json:"agents"`
}

func (e *Entry) operatorHandlers() {
	e.port.Handle("GET "+observe.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		observe.WriteJSON(w, http.StatusOK, struct{}{})
	})
	e.port.Handle("GET "+observe.PathReady, e.serveReady)
	e.port.Handle("GET "+observe.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		observe.WriteJSON(w, http.StatusOK, Status{
			Name:    e.settings.Name,
			Domain:  e.settings.Domain,
			Version: e.config.Version(),
			Leaving: e.leaving.Load(),
			Ready:   e.ready(),
			Agents:  e.fleet.views(),
		})
	})
	e.port.Handle("POST "+observe.PathDrain+"/{target}", e.serveDrain)
}

// serveDrain tells the agent beside a target to leave.
func (e *Entry) serveDrain(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("target")
	address, ok := e.fleet.addressOf(name)
	if !ok || !e.links.drain(address) {
		writeProblem(w, problem(http.StatusNotFound, "no-such-target", "no linked agent has the target "+name))
		return
	}
	observe.WriteJSON(w, http.StatusAccepted, struct{}{})
}
