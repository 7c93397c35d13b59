// Package route holds the current configuration: the routes from requests to queues
// and the limits on requests. A version is only ever replaced by a newer one.
package route

import (
	"strings"
	"sync/atomic"
	"time"

	"rackspur/job"
)

// Route assigns requests with a host and a path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  job.Queue
}

// Limits holds the limits on requests. A zero value means that the limit is not
// configured.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a pool of targets.
type Service struct {
	Name string
	// EnforcesCapacity is true if the targets reject tasks that exceed their capacity.
	EnforcesCapacity bool
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Find returns the route that matches the host and the longest prefix of the path,
// and the rest of the path.
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

// Holder holds the newest known table and the time when it was confirmed as such.
type Holder struct {
	current atomic.Pointer[Table]
	// confirmed is the last time when current was known to be the newest table.
	confirmed atomic.Pointer[time.Time]
}

// Current returns the current table, or nil if there is none yet.
func (h *Holder) Current() *Table { return h.current.Load() }

// Update replaces the current table if t is newer. It reports whether it did.
func (h *Holder) Update(t *Table) bool {
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

// Confirm records that all tables in the store at the given time have been passed to
// Take.
func (h *Holder) Confirm(at time.Time) { h.confirmed.Store(&at) }

// Age returns how long ago the current table was last known to be the newest one. ok
// is false if it never was.
func (h *Holder) Age() (age time.Duration, ok bool) {
	at := h.confirmed.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}
