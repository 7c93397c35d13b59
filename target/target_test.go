package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// breaker is a server that counts the requests it has read and then misbehaves.
type breaker struct {
	requests atomic.Int64
	// good is the number of requests that are answered before that.
	good int64
	// cut resets the connection, else it is closed without an answer.
	cut bool
}

func (s *breaker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if s.requests.Add(1) <= s.good {
		w.Header().Set(HeaderTask, r.Header.Get(HeaderTask))
		_, _ = w.Write([]byte("{}"))
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tc, ok := conn.(*net.TCPConn); ok && s.cut {
		_ = tc.SetLinger(0)
	}
	conn.Close()
}

// TestRunSendsOnce resets connections after the request was written, new ones
// and such as were used before. No request may be sent a second time.
func TestRunSendsOnce(t *testing.T) {
	cases := []struct {
		name string
		good int64
		cut  bool
	}{
		{"1 new connection reset", 0, true},
		{"2 new connection closed", 0, false},
		{"3 kept connection reset", 1, true},
		{"4 kept connection closed", 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := &breaker{good: tc.good, cut: tc.cut}
			srv := httptest.NewServer(b)
			defer srv.Close()
			c := NewClient(srv.URL)
			task := Task{ID: "t", Payload: []byte(`{"ms":1}`), Lease: 5 * time.Second}
			for range tc.good {
				if _, err := c.Run(context.Background(), task); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := c.Run(context.Background(), task); !errors.Is(err, ErrBroken) {
				t.Errorf("got %v, want ErrBroken", err)
			}
			if n := b.requests.Load(); n != tc.good+1 {
				t.Errorf("%d requests sent, want %d", n, tc.good+1)
			}
		})
	}
}
