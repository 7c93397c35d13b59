// Package connlimit bounds the memory and the descriptors that all connections of a process's
// clients use together.
//
// What a client sends takes more memory than bytes on the wire: header lines become entries of a
// map, bodies are decoded. Each connection is charged for what it has sent of its current request,
// and the budget of all is shared, so that one large request is served while the others are small.
// If the budget is used up, the largest request that is not complete loses its connection.
package connlimit

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// ErrOverBudget is returned by reads from a connection that was closed for the others.
var ErrOverBudget = errors.New("connlimit: closed since the connections of all clients use too much memory")

// Charges in bytes of memory.
const (
	// connCharge is that of a connection: its goroutine and its buffers.
	connCharge = 16 << 10
	// lineCharge is that of a line, which may be a header: its map entry, name and value.
	lineCharge = 256
	// byteCharge is that of each byte: growing buffers, and lists of numbers that are decoded.
	byteCharge = 10
)

// writeTimeout is how long a write waits for a client that does not read.
const writeTimeout = 10 * time.Second

// Budget is what all connections may use together.
type Budget struct {
	maxConns int
	maxBytes int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
	used  int64
	// open is the number of connections that the server has not closed yet, with those that were
	// closed for others.
	open   int
	counts Counts
}

// Counts are the counters of a budget.
type Counts struct {
	// Evicted counts the connections that were closed for others, Refused those that were closed
	// at once.
	Evicted, Refused int64
}

// NewBudget returns a budget of connections and of bytes of memory.
func NewBudget(maxConns int, maxBytes int64) *Budget {
	return &Budget{maxConns: maxConns, maxBytes: maxBytes, conns: map[*Conn]struct{}{}}
}

// Counts returns the counters.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Listener returns a listener whose connections share the budget.
func (b *Budget) Listener(l net.Listener) net.Listener { return &listener{Listener: l, budget: b} }

type listener struct {
	net.Listener
	budget *Budget
}

// Accept implements net.Listener.Accept.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.budget.admit(conn); ok {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admit adds a connection. If there are too many, the one that has waited longest for the rest of
// its request, or for the next one, is closed; ok is false if there is none. The descriptors of those
// that were closed lately may be a quarter of all.
func (b *Budget) admit(conn net.Conn) (c *Conn, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open > b.maxConns+b.maxConns/4 || len(b.conns) >= b.maxConns && !b.evict(longestWaiting) {
		b.counts.Refused++
		return nil, false
	}
	b.open++
	c = &Conn{Conn: conn, budget: b, charge: connCharge, since: time.Now()}
	b.conns[c] = struct{}{}
	b.used += connCharge
	return c, true
}

// preferred reports whether a connection is closed rather than another.
type preferred func(a, b *Conn) bool

func longestWaiting(a, b *Conn) bool { return a.since.Before(b.since) }
func largest(a, b *Conn) bool        { return a.charge > b.charge }

// evict closes a connection that has no complete request. It returns false if there is none. The
// lock must be held.
func (b *Budget) evict(before preferred) bool {
	var victim *Conn
	for c := range b.conns {
		if !c.serving && (victim == nil || before(c, victim)) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	b.counts.Evicted++
	victim.evicted = true
	b.remove(victim)
	// Its reads fail from now on. Close may wait for the network.
	go victim.Conn.Close()
	return true
}

func (b *Budget) remove(c *Conn) {
	if _, ok := b.conns[c]; ok {
		delete(b.conns, c)
		b.used -= c.charge
	}
}

// Conn is a connection of a budget.
type Conn struct {
	net.Conn
	budget *Budget

	// The rest is guarded by the budget's lock.

	// charge is what the connection uses, headCharge that without the body of its request.
	charge, headCharge int64
	// since is when it was accepted, or when its last request was complete.
	since time.Time
	// serving is set while a complete request is being served, closed once the server has closed the
	// connection.
	serving, evicted, closed bool
}

// Read implements net.Conn.Read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.add(int64(n)*byteCharge + int64(bytes.Count(p[:n], []byte{'\n'}))*lineCharge) {
		return 0, ErrOverBudget
	}
	return n, err
}

// add charges the connection. It returns false if it was closed for others, or is closed now.
func (c *Conn) add(charge int64) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return false
	}
	if _, ok := b.conns[c]; !ok {
		return true
	}
	c.charge += charge
	b.used += charge
	for b.used > b.maxBytes && b.evict(largest) {
	}
	return !c.evicted
}

// Write implements net.Conn.Write.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

// Close implements net.Conn.Close.
func (c *Conn) Close() error {
	c.budget.mu.Lock()
	c.budget.remove(c)
	if !c.closed {
		c.closed = true
		c.budget.open--
	}
	c.budget.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.SyscallConn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// State is an http.Server.ConnState hook.
func (c *Conn) State(s http.ConnState) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case http.StateActive:
		c.headCharge = c.charge
	case http.StateIdle:
		c.serving = false
		c.since = time.Now()
		c.setCharge(connCharge)
	}
}

func (c *Conn) setCharge(charge int64) {
	if _, ok := c.budget.conns[c]; ok {
		c.budget.used += charge - c.charge
		c.charge = charge
	}
}

type connKey struct{}

// WithConn returns a context for the requests of a connection.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ReadUntil bounds the time until which the body of a request is read.
func ReadUntil(ctx context.Context, deadline time.Time) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// Complete notes that a request was read as a whole and that its body is not kept: the connection
// is not closed for others while the request is served.
func Complete(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.serving = true
	c.setCharge(max(c.headCharge, connCharge))
}
