package cli

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"rackspur/platform"
	"rackspur/route"
)

// limitedConn is a client connection whose read timeouts follow the current
// configuration. Those of http.Server are fixed at its start.
type limitedConn struct {
	net.Conn
	limits func() route.Limits
	// idle is true while the connection is between two requests.
	idle atomic.Bool
}

// SetReadDeadline implements net.Conn.SetReadDeadline. It replaces the deadlines
// that http.Server sets for the next request and for its header by the configured
// ones.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || t.Before(time.Now()) {
		return c.Conn.SetReadDeadline(t)
	}
	l := c.limits()
	wait := l.HeaderTimeout
	if c.idle.Load() {
		wait = l.IdleTimeout
	}
	if wait > 0 {
		t = time.Now().Add(wait)
	}
	return c.Conn.SetReadDeadline(t)
}

// SyscallConn implements syscall.Conn.SyscallConn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// limitedListener accepts connections as limitedConns.
type limitedListener struct {
	net.Listener
	limits func() route.Limits
}

// Accept implements net.Listener.Accept.
func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limits: l.limits}, nil
}

// trackIdle is an http.Server.ConnState hook that records whether a limitedConn is
// idle.
func trackIdle(c net.Conn, s http.ConnState) {
	if limited, ok := c.(*limitedConn); ok {
		limited.idle.Store(s == http.StateIdle)
	}
}

// limitHeaders rejects requests whose header exceeds the configured size.
func limitHeaders(limits func() route.Limits, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if maxBytes := limits().HeaderBytes; maxBytes > 0 && headerBytes(req) > maxBytes {
			http.Error(w, "header too large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		h.ServeHTTP(w, req)
	})
}

// headerBytes returns the size of the request line and the header as sent.
func headerBytes(req *http.Request) int {
	const separators = len(": \r\n")
	n := len(req.Method) + len(req.RequestURI) + len(req.Proto) + separators + len("Host") + len(req.Host) + separators
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// serveLimited serves a handler on an address and applies the current limits to
// each connection and request.
func serveLimited(address string, limits func() route.Limits, h http.Handler) (*http.Server, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	srv := newServer(limitHeaders(limits, h))
	srv.ConnState = trackIdle
	srv.ConnContext = platform.WithCallerConn
	serveListener(srv, limitedListener{Listener: l, limits: limits})
	return srv, nil
}
