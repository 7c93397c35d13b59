package member

import (
	"context"
	"time"

	"rackspur/internal/wait"
	"rackspur/observe"
	"rackspur/rowstore"
)

// seenLife is a life as last seen by a watcher.
type seenLife struct {
	row     lifeRow
	version uint64
	// since is when this version was first seen.
	since time.Time
}

// Watcher finds lives that have ended.
type Watcher struct {
	store rowstore.Store
	ring  ring
	parts []string
	self  Box
	// started is when this process started; earlier lives of its box had ended by then.
	started time.Time
	// seen holds the lives that were read last, by incarnation; nil for one without a row.
	seen       map[string]*seenLife
	unreadable *observe.UnreadableLog
}

// NewWatcher returns a watcher for a box. It reports rows that can't be decoded to
// unreadable.
func NewWatcher(s rowstore.Store, parts []string, self Box, started time.Time, unreadable *observe.UnreadableLog) *Watcher {
	return &Watcher{store: s, ring: ring{parts: len(parts)}, parts: parts, self: self, started: started, seen: map[string]*seenLife{}, unreadable: unreadable}
}

// EndedLife is a life that has ended.
type EndedLife struct {
	Incarnation string
	// At is the latest time at which the life may have given orders.
	At time.Time
	// Fenced is set if this box has already fenced the life.
	Fenced  bool
	version uint64
	row     lifeRow
}

// watchedLives is how many live lives of other boxes a box watches: the next ones on the
// ring. Ended lives in between are watched too, so that every life has that many watchers.
// With three, one is left on average if two thirds of the boxes are lost.
const watchedLives = 3

// renewalLateAfter is how long a life may go without a renewal before further lives on the
// ring are watched in its place.
const renewalLateAfter = 2 * RenewInterval

// Poll reads the next lives on the ring and returns those that have ended.
func (w *Watcher) Poll(ctx context.Context) ([]EndedLife, error) {
	present := map[string]*seenLife{}
	living := 0
	err := w.ring.readFrom(ctx, w.store, w.self.Node, func(rows []rowstore.Row) bool {
		read := time.Now()
		for _, row := range rows {
			if living < watchedLives && w.record(read, row, present) {
				living++
			}
		}
		return living >= watchedLives
	})
	if err != nil {
		return nil, err
	}
	if err := w.recordSuccessors(ctx, present); err != nil {
		return nil, err
	}
	w.seen = present
	return w.over(time.Now()), nil
}

// record adds the row of a life, read at the given time, to present. alive reports whether
// the life belongs to another box and seems to be alive.
func (w *Watcher) record(read time.Time, row rowstore.Row, present map[string]*seenLife) (alive bool) {
	l, err := decodeLife(row)
	if err != nil {
		w.unreadable.Note(tableLives, row.Name, err.Error())
		return false
	}
	s := w.seen[l.Incarnation]
	if s == nil || s.version != row.Version {
		s = &seenLife{row: l, version: row.Version, since: read}
	}
	present[l.Incarnation] = s
	return l.Node != w.self.Node && !l.Released && l.FencedBy == "" && read.Sub(s.since) < renewalLateAfter
}

// recordSuccessors reads the lives that have taken over others, wherever they are on the
// ring: a life may be taken over again only if its successor has ended too.
func (w *Watcher) recordSuccessors(ctx context.Context, present map[string]*seenLife) error {
	for {
		successor := w.unreadSuccessor(present)
		if successor == "" {
			return nil
		}
		row, ok, err := w.readLife(ctx, successor)
		if err != nil {
			return err
		}
		present[successor] = nil
		if ok {
			w.record(time.Now(), row, present)
		}
	}
}

// unreadSuccessor returns the successor of a life in present that has not been read yet, or
// "".
func (w *Watcher) unreadSuccessor(present map[string]*seenLife) string {
	for _, s := range present {
		if s == nil || s.row.FencedBy == "" || s.row.FencedBy == w.self.Incarnation {
			continue
		}
		if _, looked := present[s.row.FencedBy]; !looked {
			return s.row.FencedBy
		}
	}
	return ""
}

func (w *Watcher) readLife(ctx context.Context, incarnation string) (row rowstore.Row, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rowstore.ReadOne(ctx, w.store, w.ring.key(incarnation))
}

func (w *Watcher) over(now time.Time) []EndedLife {
	var over []EndedLife
	for name, s := range w.seen {
		if s == nil || name == w.self.Incarnation {
			continue
		}
		if at, ok := w.overAt(now, s); ok {
			over = append(over, EndedLife{Incarnation: name, At: at, Fenced: s.row.FencedBy == w.self.Incarnation, version: s.version, row: s.row})
		}
	}
	return over
}

// overAt reports whether a life has ended, and a time by which it had.
func (w *Watcher) overAt(now time.Time, s *seenLife) (time.Time, bool) {
	if s.row.FencedBy == w.self.Incarnation {
		return s.since, true
	}
	if s.row.FencedBy != "" {
		// Its successor must have ended too: it has no row or an expired one.
		successor := w.seen[s.row.FencedBy]
		if successor == nil {
			return s.since, now.Sub(s.since) > Lease+expiryMargin
		}
		_, ok := w.overAt(now, successor)
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

// Fence ends a life in the store: none of its writes takes effect any more, and no other box
// can take it over. It returns ErrConflict if the life had not ended or another box was
// first.
func (w *Watcher) Fence(ctx context.Context, o EndedLife) error {
	row := o.row
	row.FencedBy = w.self.Incarnation
	key := w.ring.key(o.Incarnation)
	_, err := withTimeout(ctx, callTimeout, func(ctx context.Context) (rowstore.Outcome, error) {
		return w.store.Transact(ctx, rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: key, Version: o.version}},
			Puts:       []rowstore.Put{{Key: key, Value: row.encode()}},
			Deletes:    []rowstore.Key{w.ring.fence(o.Incarnation)},
		})
	})
	return err
}

// FenceParts deletes the fence rows of a life in all parts that hold jobs; it retries until
// that succeeds or the context ends.
func (w *Watcher) FenceParts(ctx context.Context, incarnation string) error {
	for _, part := range w.parts {
		if err := w.transact(ctx, rowstore.Transaction{Deletes: []rowstore.Key{fenceKey(part, incarnation)}}); err != nil {
			return err
		}
	}
	return nil
}

// Forget deletes the row of a life whose jobs have all been taken over.
func (w *Watcher) Forget(ctx context.Context, incarnation string) error {
	return w.transact(ctx, rowstore.Transaction{Deletes: []rowstore.Key{w.ring.key(incarnation)}})
}

func (w *Watcher) transact(ctx context.Context, t rowstore.Transaction) error {
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
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
