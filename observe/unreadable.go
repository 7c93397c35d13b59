package observe

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// MetricUnreadable counts unreadable entries.
const MetricUnreadable = "entries.unreadable"

// minLogInterval is the minimum time between two log lines about one source: tables are read
// up to 20 times a second.
const minLogInterval = 2 * time.Second

// maxKeyBytes limits how much of an entry's key is logged.
const maxKeyBytes = 100

// UnreadableLog counts and logs entries from other processes that cannot be decoded: rows of
// the store, heartbeats and rows of a target's lists. A nil *UnreadableLog does nothing.
type UnreadableLog struct {
	log     logr.Logger
	metrics *Metrics

	mu      sync.Mutex
	sources map[string]*sourceLog
}

// sourceLog is the logging state of a source.
type sourceLog struct {
	loggedAt time.Time
	// unlogged counts the entries since then.
	unlogged int
}

// NewUnreadable returns an UnreadableLog that uses the given logger and metrics.
func NewUnreadable(log logr.Logger, m *Metrics) *UnreadableLog {
	return &UnreadableLog{log: log, metrics: m, sources: map[string]*sourceLog{}}
}

// Note records an unreadable entry. The source must be one of a small set of names; the key
// identifies the entry and the reason says what is wrong with it.
func (u *UnreadableLog) Note(source, key, reason string) {
	if u == nil {
		return
	}
	u.metrics.Count(MetricUnreadable, 1)
	unlogged, due := u.nextLine(source)
	if !due {
		return
	}
	u.log.Info("Unreadable entry ignored.", "source", source, "key", key[:min(len(key), maxKeyBytes)], "reason", reason, "untold", unlogged)
}

// nextLine counts an entry. It returns whether the source is due a log line and how many
// earlier entries were not logged.
func (u *UnreadableLog) nextLine(source string) (unlogged int, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.sources[source]
	if s == nil {
		s = &sourceLog{}
		u.sources[source] = s
	}
	if time.Since(s.loggedAt) < minLogInterval {
		s.unlogged++
		return 0, false
	}
	unlogged = s.unlogged
	*s = sourceLog{loggedAt: time.Now()}
	return unlogged, true
}
