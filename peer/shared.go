package peer

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"rackspur/rowstore"
)

// sharedMargin is added to the timeout of a shared call for the round trip to the store.
const sharedMargin = 400 * time.Millisecond

// SharedStore deduplicates calls: equal calls for changes, and equal reads that may be old,
// share one call to the store. It serves this process and the peers that use it as a hub.
// Transactions that allow it are merged; see rowstore.Merger. Without shared
// calls, 184 entry boxes made 460 calls a second to the store, and each got every
// configuration (60 kB) and all boxes (250 kB) from there.
type SharedStore struct {
	rowstore.Store
	mu      sync.Mutex
	changes map[changesCall]*sharedCall
	reads   map[rowstore.Query]*sharedCall
}

// sharedCall is a call that is under way or was answered recently.
type sharedCall struct {
	sent time.Time
	// done is closed once the call is answered or has failed.
	done chan struct{}
	page rowstore.Page
	err  error
}

// await waits for the call's result. Its Late includes late, how long before the caller's
// own request the shared call was sent: the answer may be that old.
func (c *sharedCall) await(ctx context.Context, late time.Duration) (rowstore.Page, error) {
	select {
	case <-c.done:
		page := c.page
		page.Late += late
		return page, c.err
	case <-ctx.Done():
		return rowstore.Page{}, rowstore.ErrNotDone
	}
}

// NewSharedStore returns a store that shares its calls.
func NewSharedStore(s rowstore.Store) *SharedStore {
	return &SharedStore{Store: rowstore.NewMerger(s), changes: map[changesCall]*sharedCall{}, reads: map[rowstore.Query]*sharedCall{}}
}

// Changes implements rowstore.Store.Changes.
func (s *SharedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	c := changesCall{Table: table, After: after, WaitMS: wait.Milliseconds()}
	call, late := s.joinChanges(c)
	return call.await(ctx, late)
}

// joinChanges returns an equal call that is under way or recently brought changes, or starts
// a new one. A call that should have been answered by now is not joined, since its connection
// may be dead.
func (s *SharedStore) joinChanges(c changesCall) (call *sharedCall, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.changes, func(c changesCall, call *sharedCall) bool { return time.Since(call.sent) > c.wait() })
	if call := s.changes[c]; call != nil {
		return call, time.Since(call.sent)
	}
	call = &sharedCall{sent: time.Now(), done: make(chan struct{})}
	s.changes[c] = call
	go s.runChanges(c, call)
	return call, 0
}

// runChanges makes a shared call for changes. Its timeout is independent of the first
// caller's context.
func (s *SharedStore) runChanges(c changesCall, call *sharedCall) {
	ctx, cancel := context.WithTimeout(context.Background(), c.wait()+sharedMargin)
	defer cancel()
	call.page, call.err = s.Store.Changes(ctx, c.Table, c.After, c.wait())
	s.mu.Lock()
	if s.changes[c] == call && len(call.page.Rows) == 0 {
		delete(s.changes, c)
	}
	if errors.Is(call.err, rowstore.ErrHistoryGone) {
		// Earlier reads may be older than the history that is left.
		clear(s.reads)
	}
	s.mu.Unlock()
	close(call.done)
}

// Read implements rowstore.Store.Read.
func (s *SharedStore) Read(ctx context.Context, q rowstore.Query) (rowstore.Page, error) {
	if q.MayBeOld == 0 {
		return s.Store.Read(ctx, q)
	}
	call, late := s.joinRead(q)
	return call.await(ctx, late)
}

// joinRead returns an equal read that was sent at most q.MayBeOld ago, or starts a new one.
func (s *SharedStore) joinRead(q rowstore.Query) (call *sharedCall, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.reads, func(q rowstore.Query, call *sharedCall) bool { return time.Since(call.sent) > q.MayBeOld })
	if call := s.reads[q]; call != nil {
		return call, time.Since(call.sent)
	}
	call = &sharedCall{sent: time.Now(), done: make(chan struct{})}
	s.reads[q] = call
	go s.runRead(q, call)
	return call, 0
}

// runRead makes a shared read. A failed one is not joined by later callers.
func (s *SharedStore) runRead(q rowstore.Query, call *sharedCall) {
	ctx, cancel := context.WithTimeout(context.Background(), maxDirectRead)
	defer cancel()
	call.page, call.err = s.Store.Read(ctx, q)
	if call.err != nil {
		s.mu.Lock()
		if s.reads[q] == call {
			delete(s.reads, q)
		}
		s.mu.Unlock()
	}
	close(call.done)
}
