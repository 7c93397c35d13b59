package observe

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// MetricUnreadable counts the entries that could not be read.
const MetricUnreadable = "entries.unreadable"

// unreadablePause is the least time between two lines about entries of one source: a bad
// row of a table that is read 20 times a second would be as many lines.
const unreadablePause = 2 * time.Second

// mostKey is how much of an entry's key a line tells, in bytes.
const mostKey = 100

// Unreadable counts and logs entries that others have written and that can't be read:
// rows of the store, heartbeats, rows of a target's lists. A nil one does nothing.
type Unreadable struct {
	log     logr.Logger
	metrics *Metrics

	mu      sync.Mutex
	sources map[string]*sourceLog
}

// sourceLog is what was told of a source.
type sourceLog struct {
	told time.Time
	// untold is how many entries have come since.
	untold int
}

// NewUnreadable returns a log of unreadable entries.
func NewUnreadable(log logr.Logger, m *Metrics) *Unreadable {
	return &Unreadable{log: log, metrics: m, sources: map[string]*sourceLog{}}
}

// Note takes in that an entry can't be read. Source is where it stood, one of a few names;
// key is which entry, reason what is wrong with it.
func (u *Unreadable) Note(source, key, reason string) {
	if u == nil {
		return
	}
	u.metrics.Count(MetricUnreadable, 1)
	untold, due := u.take(source)
	if !due {
		return
	}
	u.log.Info("Entry can't be read; left alone.", "source", source, "key", key[:min(len(key), mostKey)], "reason", reason, "untold", untold)
}

// take counts an entry and says whether a line is due, and how many had none.
func (u *Unreadable) take(source string) (untold int, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.sources[source]
	if s == nil {
		s = &sourceLog{}
		u.sources[source] = s
	}
	if time.Since(s.told) < unreadablePause {
		s.untold++
		return 0, false
	}
	untold = s.untold
	*s = sourceLog{told: time.Now()}
	return untold, true
}
