package test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// carrier is a TCP proxy between a client and a target whose process changes.
type carrier struct {
	to string
	// patient makes it dial the target until that succeeds.
	patient bool
	// keeps makes it keep a client's connection when the target's side has ended, and dial the
	// target again for the bytes that follow.
	keeps bool

	mu sync.Mutex
	// held is closed when bytes may pass to the target.
	held chan struct{}
	// waiting is the number of segments that wait for that.
	waiting int
	// passed is the number of segments passed to the target.
	passed atomic.Int64
	// serving is the number of open connections to the target.
	serving atomic.Int64
	stopped chan struct{}
}

// carrierRedial is the pause between two tries to dial a target that is down.
const carrierRedial = 2 * time.Millisecond

// start listens until the test ends and returns the address.
func (c *carrier) start(t testing.TB, to string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.to, c.stopped, c.held = to, make(chan struct{}), make(chan struct{})
	close(c.held)
	t.Cleanup(func() {
		close(c.stopped)
		l.Close()
	})
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go c.carry(client)
		}
	}()
	return l.Addr().String()
}

// hold keeps the bytes to the target back until release is called.
func (c *carrier) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = make(chan struct{})
}

func (c *carrier) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.held)
}

// holds returns the number of segments that are held back.
func (c *carrier) holds() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// await waits while bytes are held back.
func (c *carrier) await() {
	c.mu.Lock()
	held := c.held
	c.waiting++
	c.mu.Unlock()
	select {
	case <-held:
	case <-c.stopped:
	}
	c.mu.Lock()
	c.waiting--
	c.mu.Unlock()
}

// dial connects to the target; nil means that it is down.
func (c *carrier) dial() net.Conn {
	for {
		server, err := net.Dial("tcp", c.to)
		if err == nil {
			return server
		}
		if !c.patient && !c.keeps {
			return nil
		}
		select {
		case <-c.stopped:
			return nil
		case <-time.After(carrierRedial):
		}
	}
}

// carriedTo is a connection to the target. ended is closed with it.
type carriedTo struct {
	net.Conn
	ended chan struct{}
}

// connect connects a client to the target and passes on what the target sends.
func (c *carrier) connect(client net.Conn) *carriedTo {
	conn := c.dial()
	if conn == nil {
		return nil
	}
	c.serving.Add(1)
	server := &carriedTo{Conn: conn, ended: make(chan struct{})}
	go func() {
		b := make([]byte, readSize)
		for {
			n, err := server.Read(b)
			if n > 0 {
				_, _ = client.Write(b[:n])
			}
			if err != nil {
				break
			}
		}
		if !c.keeps {
			reset(client)
		}
		server.Close()
		c.serving.Add(-1)
		close(server.ended)
	}()
	return server
}

// carry passes on the bytes of a client until its connection ends.
func (c *carrier) carry(client net.Conn) {
	defer client.Close()
	server := c.connect(client)
	for server != nil {
		b := make([]byte, readSize)
		n, err := client.Read(b)
		if n > 0 {
			c.await()
			if server = c.pass(client, server, b[:n]); server == nil {
				break
			}
		}
		if err != nil {
			server.Close()
			return
		}
	}
	reset(client)
}

// pass sends bytes to the target and returns the connection that it used; nil means that they were
// not sent.
func (c *carrier) pass(client net.Conn, server *carriedTo, b []byte) *carriedTo {
	select {
	case <-server.ended:
		if !c.keeps {
			return nil
		}
		if server = c.connect(client); server == nil {
			return nil
		}
	default:
	}
	if _, err := server.Write(b); err != nil {
		return nil
	}
	c.passed.Add(1)
	return server
}
