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

// failingHandler answers a number of requests and closes the connections of all
// further ones without an answer.
type failingHandler struct {
	requests atomic.Int64
	// answered is the number of requests that are answered.
	answered int64
	// reset makes the connection be reset instead of closed.
	reset bool
}

func (s *failingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if s.requests.Add(1) <= s.answered {
		w.Header().Set(HeaderTask, r.Header.Get(HeaderTask))
		_, _ = w.Write([]byte("{}"))
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tc, ok := conn.(*net.TCPConn); ok && s.reset {
		_ = tc.SetLinger(0)
	}
	conn.Close()
}

// A request must not be sent again if its connection, new or reused, fails after the
// request was written.
func TestRunSendsOnce(t *testing.T) {
	cases := []struct {
		name     string
		answered int64
		reset    bool
	}{
		{"1 new connection reset", 0, true},
		{"2 new connection closed", 0, false},
		{"3 kept connection reset", 1, true},
		{"4 kept connection closed", 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := &failingHandler{answered: tc.answered, reset: tc.reset}
			srv := httptest.NewServer(b)
			defer srv.Close()
			c := NewClient(srv.URL)
			task := Task{ID: "t", Payload: []byte(`{"ms":1}`), Lease: 5 * time.Second}
			for range tc.answered {
				if _, err := c.Run(context.Background(), task); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := c.Run(context.Background(), task); !errors.Is(err, ErrBroken) {
				t.Errorf("got %v, want ErrBroken", err)
			}
			if n := b.requests.Load(); n != tc.answered+1 {
				t.Errorf("%d requests received, want %d", n, tc.answered+1)
			}
		})
	}
}
