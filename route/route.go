// Package route holds the configuration in force: which queue a request goes
// to, and the limits on requests. Versions only rise.
package route

import (
	"strings"
	"sync/atomic"
	"time"

	"rackspur/job"
)

// Route leads requests to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  job.Queue
}

// Limits bound requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a pool of executors.
type Service struct {
	Name string
	// Guards says that its executors reject what does not fit.
	Guards bool
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Find returns the route with the host and the longest prefix of the path, and
// the rest of the path.
func (t *Table) Find(host, path string) (r *Route, rest string, ok bool) {
	for i := range t.Routes {
		c := &t.Routes[i]
		if c.Host == host && strings.HasPrefix(path, c.Prefix) && (r == nil || len(c.Prefix) > len(r.Prefix)) {
			r = c
		}
	}
	if r == nil {
		return nil, "", false
	}
	return r, path[len(r.Prefix):], true
}

// Holder keeps the newest table and knows how old that knowledge is.
type Holder struct {
	current atomic.Pointer[Table]
	// confirmed is when the table was known to be the newest one.
	confirmed atomic.Pointer[time.Time]
}

// Current returns the newest table, or nil before the first.
func (h *Holder) Current() *Table { return h.current.Load() }

// Take takes a table in if it is newer than the one in force; it reports whether
// it was.
func (h *Holder) Take(t *Table) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if h.current.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Confirm notes that all tables that stood in the store at a time have been taken
// in.
func (h *Holder) Confirm(at time.Time) { h.confirmed.Store(&at) }

// Age returns how long ago the table in force was known to be the newest one; ok
// is false before that was known for the first time.
func (h *Holder) Age() (age time.Duration, ok bool) {
	at := h.confirmed.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}
