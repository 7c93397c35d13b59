package observe

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// Paths on the operators' port.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/status"
	PathDrain   = "/drain"
	PathWatch   = "/policy/watch"
)

const readHeaderTimeout = 5 * time.Second

// ErrPort is returned if the operators' port cannot be opened or served.
var ErrPort = eris.New("observe: operators' port")

// Port is a process's HTTP server for operators.
type Port struct {
	mux      *http.ServeMux
	listener net.Listener
	log      logr.Logger
}

// NewPort listens on an address. It serves the metrics and the profiles of net/http/pprof.
func NewPort(address string, m *Metrics, log logr.Logger) (*Port, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(ErrPort, err.Error())
	}
	p := &Port{mux: http.NewServeMux(), listener: l, log: log.WithName("ops")}
	p.mux.Handle("GET "+PathMetrics, m)
	p.mux.HandleFunc("/debug/pprof/", pprof.Index)
	p.mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	p.mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	p.mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	p.mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	return p, nil
}

// Handle registers a handler.
func (p *Port) Handle(pattern string, h http.HandlerFunc) {
	p.mux.HandleFunc(pattern, h)
}

// Serve implements suture.Service.Serve.
func (p *Port) Serve(ctx context.Context) error {
	srv := &http.Server{Handler: p.mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	p.log.V(1).Info("Serving the operators' port.", "address", p.listener.Addr().String())
	err := srv.Serve(p.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return eris.Wrap(ErrPort, err.Error())
}

// WriteJSON writes a response with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
