package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rackspur/connlimit"
	"rackspur/node"
	"rackspur/observe"
	"rackspur/owner"
	"rackspur/platform"
	"rackspur/policy"
	"rackspur/settings"
)

// Timeouts of the roles on the platform. Those of the front apply until the
// configuration sets others.
const (
	frontHeaderTimeout = 3 * time.Second
	frontIdleTimeout   = 15 * time.Second
	// graceMargin is the part of the grace period reserved for the final shutdown.
	graceMargin = 1200 * time.Millisecond
)

// errListen is returned when an address can't be listened on.
var errListen = eris.New("cli: listen failed")

// newPlatform returns the commands that run a role on the users' platform.
func newPlatform() *cobra.Command {
	cmd := &cobra.Command{
		Use:   commandPlatform,
		Short: "Run a role on the platform that lays a settings file",
	}
	cmd.AddCommand(
		newPlatformRole(roleEntry, "Serve clients and own their jobs", runPlatformEntry),
		newPlatformRole(roleAgent, "Serve as the gate beside an executor", runPlatformAgent),
	)
	return cmd
}

// commandPlatform is the name of the command that runs roles on the platform.
const commandPlatform = "platform"

// Names of the roles on the platform.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// platformRole runs a role until ctx is done and then shuts it down.
type platformRole func(ctx context.Context, s *platform.Settings, o node.Options) error

// platformFlags holds the flags of a role on the platform. Its other settings come
// from the platform's settings file.
type platformFlags struct {
	commonSettings
	advertise string
	policies  string

	placement, loadView, shares string
	maxRetryAfter               time.Duration
	leaving                     string
}

func (f *platformFlags) define(set *settings.Set) {
	set.Address(&f.advertise, "advertise", "", "address that other daemons reach this one at (default: the one listened on)")
	f.commonSettings.define(set)
}

// Values of the settings that select how decisions are made under load.
const (
	placementRoom  = "room"
	placementSpeed = "speed"
	loadViewOwn    = "own"
	loadViewShared = "shared"
	sharesNone     = "none"
	sharesFair     = "fair"
	leavingFinish  = "finish"
	leavingMove    = "move"
)

// Bounds of --retry-after-max.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// defineEntry defines the flags that only the entry role has.
func (f *platformFlags) defineEntry(set *settings.Set) {
	set.String(&f.policies, "policies", "", "file with the policies that decide, read anew at SIGHUP (default: what is built in)")
	set.Choice(&f.placement, "placement", placementRoom, "what places tasks: the free room of targets, or when the task is expected to end there", placementRoom, placementSpeed)
	set.Choice(&f.loadView, "load-view", loadViewOwn, "whose waiting work counts when jobs are admitted: that of this box, or of all entry boxes", loadViewOwn, loadViewShared)
	set.Choice(&f.shares, "shares", sharesNone, "whether queues and wide jobs keep a fair share of the room when it is short", sharesNone, sharesFair)
	set.Duration(&f.maxRetryAfter, "retry-after-max", minRetryAfter, "longest time after which refused callers are told to return", minRetryAfter, maxRetryAfter)
}

// defineAgent defines the flags that only the agent role has.
func (f *platformFlags) defineAgent(set *settings.Set) {
	set.Choice(&f.leaving, "leaving", leavingFinish, "what happens to runs that can't end before their target leaves: they go on, or move to another target", leavingFinish, leavingMove)
}

// decisions returns the options that the flags select.
func (f *platformFlags) decisions() owner.Decisions {
	return owner.Decisions{
		PlaceBySpeed:  f.placement == placementSpeed,
		SharedLoad:    f.loadView == loadViewShared,
		FairShares:    f.shares == sharesFair,
		MaxRetryAfter: f.maxRetryAfter,
	}
}

func newPlatformRole(name, short string, run platformRole) *cobra.Command {
	var f platformFlags
	cmd := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs}
	set := settings.NewSet(cmd.Flags())
	if name == roleEntry {
		f.defineEntry(set)
	} else {
		f.defineAgent(set)
	}
	f.define(set)
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		return f.serve(cmd.Context(), name, func(ctx context.Context, log logr.Logger) error {
			s, err := platform.LoadSettings()
			if err != nil {
				return exitWith(ExitUsage, "%v", err)
			}
			o := platformOptions(s, f.logger(observe.NewBoundedWriter(os.Stdout)))
			o.Advertise = f.advertise
			o.Decisions = f.decisions()
			o.MoveLeaving = f.leaving == leavingMove
			if limit := s.MemoryLimit(); limit > 0 {
				debug.SetMemoryLimit(limit)
			}
			stop := platform.ReloadOnHangup(s, o.Log)
			defer stop()
			engine, stopPolicies, err := loadPolicies(f.policies, o.Metrics, o.Log)
			if err != nil {
				return exitWith(ExitUsage, "%v", err)
			}
			defer stopPolicies()
			if engine != nil {
				o.Policy = enginePolicy{engine}
			}
			metricsServer, err := serveMetrics(s, o, engine)
			if err != nil {
				o.Log.Error(err, "Cannot serve metrics.")
			} else {
				defer metricsServer.Close()
			}
			return run(ctx, s, o)
		})
	})
	return cmd
}

func platformOptions(s *platform.Settings, log logr.Logger) node.Options {
	parts, ok := s.Parts()
	if !ok {
		log.Info("The settings state no store rates; all jobs are kept in one part of the store.", "node", s.Node)
	}
	if resubmit := s.ResubmitAfter(); resubmit > 0 && resubmit < node.LeastResubmit {
		log.Info("Callers may resubmit before all runs of a lost entry box have ended.", "node", s.Node,
			"retransmitMS", resubmit.Milliseconds(), "overMS", node.LeastResubmit.Milliseconds())
	}
	if maxHold := s.MaxHold(); maxHold < node.LeastLease {
		log.Info("The platform's longest lease is too short to be renewed reliably; runs may lapse.", "node", s.Node,
			"maxHoldMS", maxHold.Milliseconds(), "leastMS", node.LeastLease.Milliseconds())
	}
	metrics := observe.NewMetrics()
	nodeLog := log.WithValues("node", s.Node)
	unreadable := observe.NewUnreadable(nodeLog, metrics)
	return node.Options{
		Node: s.Node, Domain: s.Zone, HubCapable: s.CanRelay(), Service: s.Service, Listen: s.InternalAddress(), Seeds: s.SeedAddresses(),
		Parts: parts, MaxLease: s.MaxHold(), KeepFinished: s.KeepFinished(), MaxTasks: s.MaxTasks(), ResubmitDelay: s.ResubmitAfter(),
		EvacuationBound: s.EvacuationDeadline(), ReadEvacuations: platform.ReadEvacuations,
		Store: platform.NewStore(s, unreadable), Metrics: metrics, Log: nodeLog, Unreadable: unreadable,
	}
}

// clientBudget returns the budget of the connections of a box's clients and registers its counters.
func clientBudget(s *platform.Settings, o node.Options) *connlimit.Budget {
	b := connlimit.NewBudget(s.MaxClientConns(), s.MaxClientBytes())
	o.Metrics.Gauge("clients.evicted", func() int64 { return b.Counts().Evicted })
	o.Metrics.Gauge("clients.refused", func() int64 { return b.Counts().Refused })
	return b
}

func runPlatformEntry(ctx context.Context, s *platform.Settings, o node.Options) error {
	runCtx, end := context.WithCancel(context.Background())
	defer end()
	e, err := node.NewEntry(o, platform.FollowOperator)
	if err != nil {
		return err
	}
	o.Log.Info("Entry starts.", "zone", s.Zone, "parts", o.Parts)
	budget := clientBudget(s, o)
	readiness, err := serveLimited(s.Listen.Readiness, noLimits, budget, platform.ReadinessHandler(e))
	if err != nil {
		return err
	}
	defer readiness.Close()
	front, err := serveLimited(s.Listen.Front, e.Limits, budget, platform.FrontHandler(e, o.Log))
	if err != nil {
		return err
	}
	defer front.Close()
	go func() { _ = e.Run(runCtx) }()
	<-ctx.Done()
	o.Log.Info("Entry is stopping.")
	graceCtx, cancel := context.WithTimeout(runCtx, s.Grace()-graceMargin)
	defer cancel()
	front.SetKeepAlivesEnabled(false)
	e.Stop(graceCtx)
	shutdownCtx, cancelShutdown := context.WithTimeout(runCtx, graceMargin/2)
	defer cancelShutdown()
	_ = front.Shutdown(shutdownCtx)
	o.Log.Info("Entry has stopped.")
	return nil
}

func runPlatformAgent(ctx context.Context, s *platform.Settings, o node.Options) error {
	runCtx, end := context.WithCancel(context.Background())
	defer end()
	a, err := node.NewAgent(runCtx, o, platform.NewExecutor(s, o.Log, o.Metrics, o.Unreadable))
	if err != nil {
		return err
	}
	o.Log.Info("Agent starts.", "zone", s.Zone, "service", s.Service)
	control, err := serveLimited(s.Listen.Control, noLimits, clientBudget(s, o), platform.ControlHandler(a.Driver(), o.Unreadable))
	if err != nil {
		return err
	}
	defer control.Close()
	go func() { _ = a.Run(runCtx) }()
	<-ctx.Done()
	o.Log.Info("Agent is stopping.")
	graceCtx, cancel := context.WithTimeout(runCtx, s.Grace()-graceMargin)
	defer cancel()
	a.Stop(graceCtx)
	o.Log.Info("Agent has stopped.")
	return nil
}

// Port and path of the metrics, which deploy/system.toml refers to.
const (
	metricsPort = "9464"
	metricsPath = "/metrics"
)

// serveMetrics serves the metrics in text form and, if there is a policy engine, its
// recent decisions.
func serveMetrics(s *platform.Settings, o node.Options, e *policy.Engine) (*http.Server, error) {
	mux := http.NewServeMux()
	if e != nil {
		mux.HandleFunc("GET "+observe.PathWatch, func(w http.ResponseWriter, r *http.Request) {
			observe.WriteJSON(w, http.StatusOK, e.Recent(r.URL.Query().Get("submission")))
		})
	}
	mux.Handle("GET "+metricsPath, o.Metrics.TextHandler())
	return serve(net.JoinHostPort(s.IP, metricsPort), mux)
}

// serve starts a server for a handler on an address.
func serve(address string, h http.Handler) (*http.Server, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	srv := newServer(h)
	serveListener(srv, l)
	return srv, nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(errListen, err.Error())
	}
	return l, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: frontHeaderTimeout, IdleTimeout: frontIdleTimeout}
}

func serveListener(srv *http.Server, l net.Listener) {
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	}()
}
