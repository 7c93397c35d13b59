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
	// served counts the connections; those numbered up to muted drop all bytes.
	served, muted int
}

// faults are the faults that a proxy injects. The zero value passes everything.
type faults struct {
	// Delay is added in each direction.
	Delay time.Duration
	// CutUp and CutDown drop the bytes towards and from the server.
	CutUp, CutDown bool
	// ResetAfterUp resets a connection after that many bytes towards the
	// server have been passed on; 0 means never.
	ResetAfterUp int
	// ResetOnDown resets a connection instead of passing the server's first bytes.
	ResetOnDown bool
	// Hold holds back the bytes from the server until release is called.
	Hold bool
	// Duplicate also sends the bytes towards the server on a second connection, whose
	// answers are discarded.
	Duplicate bool
	// Refuse closes every new connection.
	Refuse bool
}

// newProxy starts a proxy that listens on an address until the test ends.
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

// release passes on what Hold held back and ends all faults.
func (p *proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults{}
	close(p.held)
	p.held = make(chan struct{})
}

// muteAll makes the open connections drop all bytes without closing them. New ones work.
func (p *proxy) muteAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted = p.served
}

// number returns the next connection's number.
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

// breakAll resets all connections.
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
	var duplicate net.Conn
	if p.get().Duplicate {
		if duplicate, err = net.Dial("tcp", p.to); err == nil {
			defer duplicate.Close()
			go func() { _, _ = io.Copy(io.Discard, duplicate) }()
		}
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.up(client, server, duplicate, number)
	}()
	go func() {
		defer wg.Done()
		p.down(client, server, number)
	}()
	wg.Wait()
}

const readSize = 32 << 10

// segment is the result of a read, with the time at which to pass it on.
type segment struct {
	data []byte
	due  time.Time
	err  error
}

// segments reads a connection to its end. A delay applies to each segment on its own and
// does not slow down reading.
func (p *proxy) segments(c net.Conn) <-chan segment {
	out := make(chan segment, 1024)
	go func() {
		defer close(out)
		for {
			b := make([]byte, readSize)
			n, err := c.Read(b)
			out <- segment{data: b[:n], due: time.Now().Add(p.get().Delay), err: err}
			if err != nil {
				return
			}
		}
	}()
	return out
}

func (x *segment) await() {
	if wait := time.Until(x.due); wait > 0 {
		<-time.After(wait)
	}
}

// up carries the bytes towards the server.
func (p *proxy) up(client, server, twin net.Conn, number int) {
	defer closeWrite(server)
	passed := 0
	for x := range p.segments(client) {
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
	for x := range p.segments(server) {
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
