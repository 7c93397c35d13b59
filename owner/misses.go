package owner

import (
	"slices"
	"time"

	"rackspur/job"
)

// A call of place tries a few tasks without a suitable gate and leaves those behind them for the
// next call. Tasks that only other gates can take must not be among these few: their gates may be
// lost for good, and the tasks behind them would never be tried.

const (
	// maxMisses bounds the tasks that have found no gate in one call of place, of those that any
	// gate may get room for.
	maxMisses = 8
	// maxPassed bounds the other tasks without a gate in one call, but for one call in each
	// fullSearchInterval: with thousands of them, taking all out of the queue and back takes
	// milliseconds.
	maxPassed          = 64
	fullSearchInterval = 50 * time.Millisecond
)

// misses are the tasks for which one call of place has found no gate.
type misses struct {
	now Time
	// full says that all waiting tasks are tried in this call.
	full bool
	// counted are the tasks that count, see maxMisses, and passed the others.
	counted, passed int
	// kinds are the kinds of tasks that no gate has room for.
	kinds map[taskKind]bool
}

// taskKind is what decides which gates can take a task.
type taskKind struct {
	service, label string
	need           job.Resources
	// queueShare is how much of a gate's capacity may be queued there for the gate to take it.
	queueShare int
}

// newMisses begins a call of place.
func (o *Owner) newMisses(now Time) *misses {
	m := &misses{now: now, full: now-o.lastFullSearch >= fullSearchInterval}
	if m.full {
		o.lastFullSearch = now
	}
	return m
}

// enough reports whether no more tasks are tried in this call.
func (m *misses) enough() bool {
	return m.counted >= maxMisses || !m.full && m.passed >= maxPassed
}

// skip reports whether a task is of a kind that no gate has room for.
func (m *misses) skip(t *task) bool {
	if !m.kinds[t.kind(m.now)] {
		return false
	}
	m.passed++
	return true
}

// add adds a task for which no gate was found. Those that can't use any gate with room, or that no
// usable gate can hold, don't count: they say nothing about the tasks behind them.
func (m *misses) add(usable []*gateView, t *task) {
	choosy := len(t.avoid) > 0 || t.step.Spread > 0
	if t.step.Label == "" && !choosy && slices.ContainsFunc(usable, t.fits) {
		m.counted++
		return
	}
	m.passed++
	if choosy {
		return
	}
	if m.kinds == nil {
		m.kinds = map[taskKind]bool{}
	}
	m.kinds[t.kind(m.now)] = true
}

func (t *task) kind(now Time) taskKind {
	return taskKind{service: t.job.record.Queue.Service, label: t.step.Label, need: t.step.Need, queueShare: queueShare(now, t)}
}
