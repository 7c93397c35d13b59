package member

import (
	"context"
	"time"

	"rackspur/internal/wait"
	"rackspur/observe"
	"rackspur/rowstore"
)

// seenLife is a life as a watcher last saw it.
type seenLife struct {
	row     lifeRow
	version uint64
	// since is when the version was first seen.
	since time.Time
}

// Watcher finds lives that are over.
type Watcher struct {
	store rowstore.Store
	parts []string
	self  Daemon
	// started is when this process began: earlier lives of its machine were
	// over by then.
	started    time.Time
	seen       map[string]*seenLife
	unreadable *observe.Unreadable
}

// NewWatcher returns a watcher for a daemon; unreadable is told of rows that can't be read.
func NewWatcher(s rowstore.Store, parts []string, self Daemon, started time.Time, unreadable *observe.Unreadable) *Watcher {
	return &Watcher{store: s, parts: parts, self: self, started: started, seen: map[string]*seenLife{}, unreadable: unreadable}
}

// Over is a life that is over.
type Over struct {
	Incarnation string
	// At is when it gave no more orders, at the latest.
	At time.Time
	// Fenced says that this daemon has fenced it before.
	Fenced  bool
	version uint64
	row     lifeRow
}

// Poll looks at all lives and returns those that are over.
func (w *Watcher) Poll(ctx context.Context) ([]Over, error) {
	rows, err := withTimeout(ctx, callTimeout, func(ctx context.Context) ([]rowstore.Row, error) {
		rows, _, err := rowstore.ReadAll(ctx, w.store, rowstore.Query{Table: tableLives, Part: membersPart})
		return rows, err
	})
	if err != nil {
		return nil, err
	}
	now := time.Now()
	present := map[string]*seenLife{}
	for _, row := range rows {
		l, err := decodeLife(row)
		if err != nil {
			w.unreadable.Note(tableLives, row.Name, err.Error())
			continue
		}
		s := w.seen[row.Name]
		if s == nil || s.version != row.Version {
			s = &seenLife{row: l, version: row.Version, since: now}
		}
		present[row.Name] = s
	}
	w.seen = present
	return w.over(now), nil
}

func (w *Watcher) over(now time.Time) []Over {
	var over []Over
	for name, s := range w.seen {
		if name == w.self.Incarnation {
			continue
		}
		if at, ok := w.overAt(now, s); ok {
			over = append(over, Over{Incarnation: name, At: at, Fenced: s.row.FencedBy == w.self.Incarnation, version: s.version, row: s.row})
		}
	}
	return over
}

// overAt says whether a life is over and by when it was.
func (w *Watcher) overAt(now time.Time, s *seenLife) (time.Time, bool) {
	if s.row.FencedBy == w.self.Incarnation {
		return s.since, true
	}
	if s.row.FencedBy != "" {
		// Its taker must be over as well: it has no row, or an expired one.
		taker := w.seen[s.row.FencedBy]
		if taker == nil {
			return s.since, now.Sub(s.since) > Lease+expiryMargin
		}
		_, ok := w.overAt(now, taker)
		return now, ok
	}
	if s.row.Released {
		return s.since, true
	}
	if s.row.Node == w.self.Node && s.row.Address == w.self.Address {
		return w.started, true
	}
	return now, now.Sub(s.since) > Lease+expiryMargin
}

// Fence ends a life in the store, so that none of its writes takes effect any
// more and no other daemon takes it over. ErrConflict says that it was not over
// or that another daemon was first.
func (w *Watcher) Fence(ctx context.Context, o Over) error {
	row := o.row
	row.FencedBy = w.self.Incarnation
	key := lifeKey(o.Incarnation)
	_, err := withTimeout(ctx, callTimeout, func(ctx context.Context) (rowstore.Outcome, error) {
		return w.store.Transact(ctx, rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: key, Version: o.version}},
			Puts:       []rowstore.Put{{Key: key, Value: row.encode()}},
			Deletes:    []rowstore.Key{fenceKey(membersPart, o.Incarnation)},
		})
	})
	return err
}

// FenceParts drops the fence rows of a life in all parts of the jobs, and tries
// until that is done or the context ends.
func (w *Watcher) FenceParts(ctx context.Context, incarnation string) error {
	for _, part := range w.parts {
		if err := w.transact(ctx, rowstore.Transaction{Deletes: []rowstore.Key{fenceKey(part, incarnation)}}); err != nil {
			return err
		}
	}
	return nil
}

// Forget drops the row of a life whose jobs have all been taken over.
func (w *Watcher) Forget(ctx context.Context, incarnation string) error {
	return w.transact(ctx, rowstore.Transaction{Deletes: []rowstore.Key{lifeKey(incarnation)}})
}

func (w *Watcher) transact(ctx context.Context, t rowstore.Transaction) error {
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, mostPause) {
		_, err := withTimeout(ctx, callTimeout, func(ctx context.Context) (rowstore.Outcome, error) {
			return w.store.Transact(ctx, t)
		})
		if err == nil {
			return nil
		}
		wait.For(ctx, pause)
	}
	return ctx.Err()
}
