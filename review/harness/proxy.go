package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a process. It can cut them off, or delay what clients send.
type proxy struct {
	listens, to string

	mu sync.Mutex
	// cut: what arrives is held back and new connections hang.
	cut   bool
	delay time.Duration
	open  map[net.Conn]bool
	// clients are those of the open connections that clients have opened.
	clients map[net.Conn]bool
	// reset are the clients' connections that resetClients has closed.
	reset map[net.Conn]bool
}

func newProxy(w *world, listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listens: listen, to: to, clients: map[net.Conn]bool{}, reset: map[net.Conn]bool{}, open: map[net.Conn]bool{}}
	context.AfterFunc(w.ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setCut cuts the process off, or heals the cut. Connections that were open during a cut carry
// nothing any more and are closed when it heals; their ends have long given them up.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		for c := range p.open {
			_ = c.Close()
		}
	}
}

// setDelay delays what clients send from now on.
func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *proxy) state() (cut bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.delay
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[c] = true
	} else {
		delete(p.open, c)
	}
}

// resetClients resets the open connections on the clients' side; the other side stays open, and
// silent.
func (p *proxy) resetClients() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		p.reset[c] = true
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	p.mu.Lock()
	p.clients[client] = true
	p.mu.Unlock()
	defer p.forget(client)
	p.track(client, true)
	defer p.track(client, false)
	if cut, _ := p.state(); cut {
		_, _ = io.Copy(io.Discard, client)
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer server.Close()
	p.track(server, true)
	defer p.track(server, false)
	done := make(chan struct{}, 2)
	go func() {
		p.pass(client, server, true)
		done <- struct{}{}
	}()
	go func() {
		p.pass(server, client, false)
		done <- struct{}{}
	}()
	<-done
	if p.wasReset(client) {
		// The server isn't told for longer than any case takes.
		time.Sleep(longest)
	}
}

// wasReset reports whether resetClients has closed a client's connection.
func (p *proxy) wasReset(client net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reset[client]
}

// forget drops what is known of a client's connection.
func (p *proxy) forget(client net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, client)
	delete(p.reset, client)
}

// segment is what was read at once, and when it is due at the other side.
type segment struct {
	bytes []byte
	due   time.Time
}

// pass passes on what one side sends, in order, each part after its delay; nothing during a cut.
func (p *proxy) pass(from, to net.Conn, delayed bool) {
	segments := make(chan segment, 10_000)
	go func() {
		defer close(segments)
		for {
			b := make([]byte, 64<<10)
			n, err := from.Read(b)
			if n > 0 {
				_, delay := p.state()
				if !delayed {
					delay = 0
				}
				segments <- segment{bytes: b[:n], due: time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for s := range segments {
		time.Sleep(time.Until(s.due))
		if cut, _ := p.state(); cut {
			// A connection that has lost a part carries nothing more.
			for range segments {
			}
			return
		}
		if _, err := to.Write(s.bytes); err != nil {
			return
		}
	}
}
