package test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxy is a small TCP proxy that injects faults between two processes.
type proxy struct {
	address string
	to      string

	mu     sync.Mutex
	faults faults
	held   chan struct{}
	conns  map[net.Conn]struct{}
	// served counts the connections; those up to muted carry nothing any more.
	served, muted int
}

// faults says what the proxy does. The zero value passes everything.
type faults struct {
	// Delay is added in each direction.
	Delay time.Duration
	// CutUp and CutDown swallow the bytes towards and from the server.
	CutUp, CutDown bool
	// ResetAfterUp resets a connection after that many bytes towards the
	// server have been passed on; 0 means never.
	ResetAfterUp int
	// ResetOnDown resets a connection instead of passing the server's first bytes.
	ResetOnDown bool
	// Hold keeps the bytes from the server back until release.
	Hold bool
	// Duplicate sends the bytes of each connection a second time, on a
	// connection of their own whose answers nobody reads.
	Duplicate bool
	// Refuse closes every new connection.
	Refuse bool
}

// newProxy serves an address until the test ends.
func newProxy(t testing.TB, address, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{address: l.Addr().String(), to: to, held: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() {
		l.Close()
		p.breakAll()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) set(f faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *proxy) get() faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// release lets go what Hold kept back and ends all faults.
func (p *proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults{}
	close(p.held)
	p.held = make(chan struct{})
}

// muteAll makes the connections that are open carry nothing from now on: no side
// hears of it. New ones work.
func (p *proxy) muteAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted = p.served
}

// number returns the number of a new connection.
func (p *proxy) number() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.served++
	return p.served
}

func (p *proxy) mute(number int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return number <= p.muted
}

// breakAll ends all connections.
func (p *proxy) breakAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) serve(client net.Conn) {
	if p.get().Refuse {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(client)
		return
	}
	number := p.number()
	p.track(client, true)
	p.track(server, true)
	defer p.track(client, false)
	defer p.track(server, false)
	var twin net.Conn
	if p.get().Duplicate {
		if twin, err = net.Dial("tcp", p.to); err == nil {
			defer twin.Close()
			go func() { _, _ = io.Copy(io.Discard, twin) }()
		}
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.up(client, server, twin, number)
	}()
	go func() {
		defer wg.Done()
		p.down(client, server, number)
	}()
	wg.Wait()
}

const chunk = 32 << 10

// piece is what was read at once, with the time at which it is due.
type piece struct {
	data []byte
	due  time.Time
	err  error
}

// pieces reads a connection to its end; a delay does not hold back what follows.
func (p *proxy) pieces(c net.Conn) <-chan piece {
	out := make(chan piece, 1024)
	go func() {
		defer close(out)
		for {
			b := make([]byte, chunk)
			n, err := c.Read(b)
			out <- piece{data: b[:n], due: time.Now().Add(p.get().Delay), err: err}
			if err != nil {
				return
			}
		}
	}()
	return out
}

func (x *piece) await() {
	if wait := time.Until(x.due); wait > 0 {
		<-time.After(wait)
	}
}

// up carries the bytes towards the server.
func (p *proxy) up(client, server, twin net.Conn, number int) {
	defer closeWrite(server)
	passed := 0
	for x := range p.pieces(client) {
		x.await()
		if p.mute(number) {
			continue
		}
		f := p.get()
		if len(x.data) > 0 && !f.CutUp {
			if _, err := server.Write(x.data); err != nil {
				reset(client)
				continue
			}
			if twin != nil {
				_, _ = twin.Write(x.data)
			}
			passed += len(x.data)
		}
		if f.ResetAfterUp > 0 && passed >= f.ResetAfterUp {
			reset(client)
		}
	}
}

// down carries the bytes from the server.
func (p *proxy) down(client, server net.Conn, number int) {
	defer client.Close()
	for x := range p.pieces(server) {
		x.await()
		if p.mute(number) {
			continue
		}
		f := p.get()
		if f.ResetOnDown && len(x.data) > 0 {
			reset(client)
		}
		if f.Hold {
			p.mu.Lock()
			held := p.held
			p.mu.Unlock()
			<-held
		}
		if len(x.data) > 0 && !f.CutDown {
			if _, err := client.Write(x.data); err != nil {
				reset(server)
			}
		}
	}
}

func closeWrite(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
}
