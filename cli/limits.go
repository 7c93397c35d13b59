package cli

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rackspur/route"
)

// limitedConn is a client's connection whose times to wait follow the
// configuration in force: http.Server knows those of its start only.
type limitedConn struct {
	net.Conn
	limits func() route.Limits
	// idle says that the connection is between two requests.
	idle atomic.Bool
}

// SetReadDeadline implements net.Conn.SetReadDeadline. The server sets a deadline
// for the next request and for its header; both are moved to what is configured.
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

// limitedListener makes connections that follow the limits in force.
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

// noteState tells a connection whether it waits for the next request.
func noteState(c net.Conn, s http.ConnState) {
	if limited, ok := c.(*limitedConn); ok {
		limited.idle.Store(s == http.StateIdle)
	}
}

// limitHeaders refuses requests whose header is larger than configured.
func limitHeaders(limits func() route.Limits, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if most := limits().HeaderBytes; most > 0 && headerBytes(req) > most {
			http.Error(w, "header too large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		h.ServeHTTP(w, req)
	})
}

// headerBytes returns the size of a request's line and header as they were sent.
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

// serveLimited serves a handler on an address under limits that may change.
func serveLimited(address string, limits func() route.Limits, h http.Handler) (*http.Server, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	srv := newServer(limitHeaders(limits, h))
	srv.ConnState = noteState
	serveListener(srv, limitedListener{Listener: l, limits: limits})
	return srv, nil
}
