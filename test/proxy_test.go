package test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// proxy is a small TCP proxy that injects faults between two processes.
type proxy struct {
	address string
	to      string

	mu     sync.Mutex
	faults faults
	held   chan struct{}
	conns  map[net.Conn]struct{}
	// links are the open connections by the client's address.
	links map[string]*link
	// ended is closed when the test ends.
	ended chan struct{}
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
	p := &proxy{address: l.Addr().String(), to: to, held: make(chan struct{}), conns: map[net.Conn]struct{}{}, links: map[string]*link{}, ended: make(chan struct{})}
	t.Cleanup(func() {
		l.Close()
		close(p.ended)
		p.breakAll()
		p.breakLinks()
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
	// A silent link must not send keep-alive probes.
	dialer := net.Dialer{KeepAlive: -1}
	server, err := dialer.Dial("tcp", p.to)
	if err != nil {
		reset(client)
		return
	}
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
	l := p.addLink(client, server)
	defer p.removeLink(l)
	var wg sync.WaitGroup
	wg.Go(func() { p.up(l, duplicate) })
	wg.Go(func() { p.down(l) })
	wg.Wait()
}

// silence is how a link stops carrying bytes in a direction.
type silence int

const (
	// notSilent carries all bytes.
	notSilent silence = iota
	// silentNetwork models a network that loses all packets: nothing arrives and nothing is
	// acknowledged, so that the sender can tell (TCP_USER_TIMEOUT, TCP_INFO, keep-alive probes).
	// A filter on the proxy's socket to the server discards the server's segments before the
	// kernel's TCP sees them. TCP acknowledges whatever it delivers, so a direction towards the
	// server can't lose the acknowledgements alone without privileges: it silences both
	// directions. To the server that looks the same. The client's own TCP always gets
	// acknowledgements.
	silentNetwork
	// silentProxy models a middlebox that has lost the other side: it goes on reading and
	// discards the bytes, which its TCP acknowledges. The sender's TCP can't tell.
	silentProxy
	// silentReader models a middlebox that stops reading: its TCP acknowledges what fits into
	// its buffer, then the sender's zero-window probes. The sender's TCP can tell only by a
	// window that stays closed.
	silentReader
)

// String implements fmt.Stringer.String.
func (s silence) String() string {
	return [...]string{"not silent", "like a network", "like a proxy", "like a proxy that stops reading"}[s]
}

// linkFaults are the faults of one connection, beside those of its proxy.
type linkFaults struct {
	// Up and Down silence the directions towards and from the server, for good: the end of a
	// connection is not passed on either.
	Up, Down silence
	// Delay is added in each direction.
	Delay time.Duration
}

// link is a connection through a proxy.
type link struct {
	client, server net.Conn
	number         int

	mu     sync.Mutex
	faults linkFaults
	// reached reports that bytes were passed on to the server.
	reached bool
}

func (p *proxy) addLink(client, server net.Conn) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.served++
	l := &link{client: client, server: server, number: p.served}
	p.links[client.RemoteAddr().String()] = l
	return l
}

func (p *proxy) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if key := l.client.RemoteAddr().String(); p.links[key] == l {
		delete(p.links, key)
	}
}

// breakLinks resets both sides of all links, silent ones too.
func (p *proxy) breakLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		reset(l.client)
		reset(l.server)
	}
}

// linkTimeout is how long a proxy may take to serve a connection that was accepted.
const linkTimeout = 300 * time.Millisecond

// linkOf returns the link of a client's connection; nil if the proxy does not serve it.
func (p *proxy) linkOf(client net.Conn) (l *link) {
	holdsWithin(linkTimeout, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		l = p.links[client.LocalAddr().String()]
		return l != nil
	})
	return l
}

func (l *link) get() linkFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *link) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.Delay = d
}

func (l *link) noteReached() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached = true
}

// hasReached reports whether bytes were passed on to the server.
func (l *link) hasReached() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reached
}

// silence silences directions of a link for good. It no longer takes part in the proxy's resets.
func (p *proxy) silence(l *link, up, down silence) error {
	if up == silentNetwork {
		down = silentNetwork
	}
	l.mu.Lock()
	l.faults.Up, l.faults.Down = up, down
	l.mu.Unlock()
	p.track(l.client, false)
	p.track(l.server, false)
	if down == silentReader {
		return l.server.SetReadDeadline(time.Now())
	}
	if down == silentNetwork {
		return discardSegments(l.server)
	}
	return nil
}

// cutClient resets a link on the client's side only; the server's stays open and silent.
func (p *proxy) cutClient(l *link, s silence) error {
	err := p.silence(l, s, s)
	reset(l.client)
	return err
}

// cutServer resets a link on the server's side only; the client's stays open and silent.
func (p *proxy) cutServer(l *link) error {
	err := p.silence(l, silentProxy, silentProxy)
	reset(l.server)
	return err
}

// discardSegments makes the kernel discard all segments that arrive at a socket.
func discardSegments(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	nothing := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	program := unix.SockFprog{Len: 1, Filter: &nothing}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil {
		return err
	}
	return setErr
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
func (p *proxy) segments(l *link, c net.Conn) <-chan segment {
	out := make(chan segment, 1024)
	go func() {
		defer close(out)
		for {
			b := make([]byte, readSize)
			n, err := c.Read(b)
			out <- segment{data: b[:n], due: time.Now().Add(max(p.get().Delay, l.get().Delay)), err: err}
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
func (p *proxy) up(l *link, twin net.Conn) {
	client, server := l.client, l.server
	passed := 0
	for x := range p.segments(l, client) {
		x.await()
		if p.mute(l.number) || l.get().Up != notSilent {
			continue
		}
		f := p.get()
		if len(x.data) > 0 && !f.CutUp {
			if _, err := server.Write(x.data); err != nil {
				reset(client)
				continue
			}
			l.noteReached()
			if twin != nil {
				_, _ = twin.Write(x.data)
			}
			passed += len(x.data)
		}
		if f.ResetAfterUp > 0 && passed >= f.ResetAfterUp {
			reset(client)
		}
	}
	if l.get().Up != notSilent {
		p.keepOpen(l.server)
		return
	}
	closeWrite(server)
}

// keepOpen leaves a side of a silent link open until the test ends.
func (p *proxy) keepOpen(c net.Conn) {
	<-p.ended
	reset(c)
}

// down carries the bytes from the server.
func (p *proxy) down(l *link) {
	client, server := l.client, l.server
	for x := range p.segments(l, server) {
		x.await()
		if p.mute(l.number) || l.get().Down != notSilent {
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
			if _, err := client.Write(x.data); err != nil && l.get().Up == notSilent {
				reset(server)
			}
		}
	}
	if l.get().Down != notSilent {
		p.keepOpen(l.client)
		return
	}
	client.Close()
}

func closeWrite(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
}
