package test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Times of TestProxySilence.
const (
	silenceUserTimeout = 300 * time.Millisecond
	silenceWait        = 4 * silenceUserTimeout
	// silenceFill exceeds the buffers of a connection over loopback.
	silenceFill = 64 << 20
)

// Guards against a proxy whose silent links acknowledge what a dead network would not, or tell the
// server that the client has left.
func TestProxySilence(t *testing.T) {
	tests := []struct {
		name     string
		up, down silence
		// acknowledged: the server's bytes are; noticed: the server's TCP gives the connection up;
		// read: all of a large write is taken; ended: the server sees the client's end.
		acknowledged, noticed, read, ended bool
	}{
		{"both, network", silentNetwork, silentNetwork, false, true, false, false},
		{"both, proxy", silentProxy, silentProxy, true, false, true, false},
		{"both, reader", silentReader, silentReader, true, false, false, false},
		{"to the server, network", silentNetwork, notSilent, false, true, false, false},
		{"to the server, proxy", silentProxy, notSilent, true, false, true, false},
		{"from the server, network", notSilent, silentNetwork, false, true, false, true},
		{"from the server, proxy", notSilent, silentProxy, true, false, true, true},
		{"from the server, reader", notSilent, silentReader, true, false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, client, server := proxiedConnection(t)
			l := p.linkOf(client)
			if l == nil {
				t.Fatal("the proxy has no link for the connection")
			}
			if err := p.silence(l, tt.up, tt.down); err != nil {
				t.Fatal(err)
			}
			if tt.ended {
				client.Close()
				if _, err := server.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("the server's read returns %v, want the client's end", err)
				}
			}
			checkAcknowledged(t, server, tt.acknowledged)
			if !tt.ended {
				client.Close()
				_ = server.SetReadDeadline(time.Now().Add(silenceWait))
				_, err := server.Read(make([]byte, 1))
				if noticed := errors.Is(err, syscall.ETIMEDOUT); noticed != tt.noticed || !noticed && !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("the server's read returns %v, want a time-out of TCP: %v", err, tt.noticed)
				}
			}
			_ = server.SetWriteDeadline(time.Now().Add(silenceWait))
			if _, err := server.Write(make([]byte, silenceFill)); (err == nil) != tt.read {
				t.Errorf("a large write returns %v, want it to succeed: %v", err, tt.read)
			}
		})
	}
}

// checkAcknowledged checks whether bytes that a connection sends are acknowledged.
func checkAcknowledged(t *testing.T, c *net.TCPConn, want bool) {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	acknowledged := holdsWithin(silenceUserTimeout/2, func() bool { return unacknowledged(t, c) == 0 })
	if acknowledged != want {
		t.Errorf("the server's bytes are acknowledged: %v, want %v", acknowledged, want)
	}
}

// unacknowledged returns the number of segments that a connection has sent without an
// acknowledgement.
func unacknowledged(t *testing.T, c *net.TCPConn) (segments uint32) {
	control(t, c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			segments = info.Unacked
		}
		return err
	})
	return segments
}

func control(t *testing.T, c *net.TCPConn, call func(fd int) error) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil || callErr != nil {
		t.Fatal(err, callErr)
	}
}

// proxiedConnection returns both ends of a connection through a proxy. The server's gives up
// silenceUserTimeout after bytes that are not acknowledged.
func proxiedConnection(t *testing.T) (p *proxy, client net.Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p = newProxy(t, "127.0.0.1:0", listener.Addr().String())
	if client, err = net.Dial("tcp", p.address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server = accepted.(*net.TCPConn)
	t.Cleanup(func() { server.Close() })
	control(t, server, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceUserTimeout.Milliseconds()))
	})
	return p, client, server
}
