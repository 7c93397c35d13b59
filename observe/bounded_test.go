package observe

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *blockedWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *blockedWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// A blocked destination does not block writers; dropped lines are counted and reported.
func TestBoundedWriter(t *testing.T) {
	g := &blockedWriter{open: make(chan struct{})}
	w := NewBoundedWriter(g)
	for range maxQueuedLines + 100 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no lines were dropped although the destination is blocked")
	}
	close(g.open)
	until := time.Now().Add(10 * time.Second)
	for !strings.Contains(g.text(), "Lines left out.") {
		if time.Now().After(until) {
			t.Fatal("the number of dropped lines was not reported")
		}
		<-time.After(time.Millisecond)
	}
}

func TestMetricsText(t *testing.T) {
	m := NewMetrics()
	m.Count("jobs.accepted", 3)
	m.Gauge("gates.linked", func() int64 { return 11 })
	m.Time("jobs.time_us", 1500)
	var b bytes.Buffer
	m.WriteText(&b)
	for _, want := range []string{"jobs_accepted 3\n", "gates_linked 11\n", "jobs_time_us_count 1\n", "jobs_time_us{quantile=\"0.99\"} 1500\n"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}
