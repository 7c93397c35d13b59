package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// MuteListener is a listener whose open connections can be made to drop all data without a
// reset, while new connections work.
type MuteListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*muteConn
}

// Accept implements net.Listener.Accept.
func (l *MuteListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &muteConn{Conn: c}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, m)
	return m, nil
}

// MuteAll mutes the connections that are open now.
func (l *MuteListener) MuteAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.muted.Store(true)
	}
}

// muteConn drops all data in both directions once it is muted.
type muteConn struct {
	net.Conn
	muted atomic.Bool
}

// Read implements net.Conn.Read.
func (c *muteConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.muted.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.Write.
func (c *muteConn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
