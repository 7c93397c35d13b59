package standin

import (
	"net"
	"net/http"
	"sync"
)

// connections is the set of a server's open connections.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// track implements http.Server.ConnState.
func (s *connections) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.open == nil {
			s.open = map[net.Conn]struct{}{}
		}
		s.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	}
}

// closeAll resets all open connections, as the operating system does when a process dies.
func (s *connections) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(s.open)
}
