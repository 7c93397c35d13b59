package cli

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"rackspur/connlimit"
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
	// inHead is true while a head may be read, headBytes what was read since.
	inHead    atomic.Bool
	headBytes int
}

const (
	// defaultMaxHead is the largest head without a configured limit.
	defaultMaxHead = 64 << 10
	// readAhead is how much of a body may be read with the head.
	readAhead = 4 << 10
)

// headTooLarge is the answer to a head that is not read to its end.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Read implements net.Conn.Read. It ends a head that exceeds the limit, however long its lines are.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.inHead.Load() {
		return n, err
	}
	c.headBytes += n
	if c.headBytes <= cmp.Or(c.limits().HeaderBytes, defaultMaxHead)+readAhead {
		return n, err
	}
	_, _ = io.WriteString(c.Conn, headTooLarge)
	return 0, io.EOF
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
	limited := &limitedConn{Conn: c, limits: l.limits}
	limited.inHead.Store(true)
	return limited, nil
}

// trackState is an http.Server.ConnState hook that records what a limitedConn does.
func trackState(c net.Conn, s http.ConnState) {
	limited, ok := c.(*limitedConn)
	if !ok {
		return
	}
	limited.idle.Store(s == http.StateIdle)
	if s == http.StateIdle {
		limited.headBytes = 0
	}
	limited.inHead.Store(s == http.StateNew || s == http.StateIdle)
	if conn, ok := limited.Conn.(*connlimit.Conn); ok {
		conn.State(s)
	}
}

// withConns adds the connection of requests to their context.
func withConns(ctx context.Context, c net.Conn) context.Context {
	ctx = platform.WithCallerConn(ctx, c)
	if limited, ok := c.(*limitedConn); ok {
		if conn, ok := limited.Conn.(*connlimit.Conn); ok {
			return connlimit.WithConn(ctx, conn)
		}
	}
	return ctx
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

// headerBytes returns the size of the request line and the header as sent, without spaces that are
// optional.
func headerBytes(req *http.Request) int {
	const separators = len(":\r\n")
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
func serveLimited(address string, limits func() route.Limits, b *connlimit.Budget, h http.Handler) (*http.Server, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	srv := newServer(limitHeaders(limits, h))
	srv.ConnState = trackState
	srv.ConnContext = withConns
	serveListener(srv, limitedListener{Listener: b.Listener(l), limits: limits})
	return srv, nil
}

// noLimits are the limits of servers that the configuration has none for.
func noLimits() route.Limits { return route.Limits{} }
