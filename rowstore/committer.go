package rowstore

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"rackspur/internal/wait"
)

// Bounds of a committer's transaction, which leave room below the store's limits.
const (
	maxBatchEntries = 90
	maxBatchBytes   = 700 << 10
)

// Times of the committer.
const (
	// minTimeout is the initial timeout of a transaction; it doubles with each one that is
	// not answered, up to maxTimeout.
	minTimeout = 250 * time.Millisecond
	maxTimeout = 2 * time.Second
	// retryPause is the time before a transaction is retried.
	retryPause = 40 * time.Millisecond
)

// Write is a change that the committer writes to the store, possibly in one transaction with
// others. It must have a condition for every row that it puts or deletes.
type Write struct {
	Transaction
	// GiveUp makes the write fail with ErrNotDone as soon as the store refuses it; other
	// writes are retried until they are decided.
	GiveUp bool
	// Done is called once, with the version of the rows written, or with ErrConflict and the
	// rows that violated the conditions, or with ErrNotDone.
	Done func(Outcome, error)

	// sent is set once the write was handed to a call, and so may take effect.
	sent      bool
	withdrawn bool
	// uncertainCalls counts the calls with the write whose outcome is unknown.
	uncertainCalls int
}

// Committer writes to one part of a store. It groups writes into transactions and makes one
// at a time. Every transaction is conditional on a fence row: once that row has changed, no
// write of the committer can take effect any more.
type Committer struct {
	store Store
	fence Condition
	// fenced is called when the fence row is found changed.
	fenced func()
	// delay is how long the first of several writes waits for others.
	delay time.Duration

	mu      sync.Mutex
	queue   []*Write
	wake    chan struct{}
	timeout time.Duration
	// failedSince is the time of the first failure since the last answered call.
	failedSince time.Time
}

// NewCommitter returns a committer. It commits while Run runs.
func NewCommitter(s Store, fence Condition, delay time.Duration, fenced func()) *Committer {
	return &Committer{store: s, fence: fence, fenced: fenced, delay: delay, wake: make(chan struct{}, 1), timeout: minTimeout}
}

// Add queues a write.
func (c *Committer) Add(w *Write) {
	c.mu.Lock()
	c.queue = append(c.queue, w)
	c.mu.Unlock()
	c.signal()
}

// Withdraw removes a write from the queue; it reports false if the write was already sent. A
// withdrawn write has no effect, and its Done is not called.
func (c *Committer) Withdraw(w *Write) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.sent {
		return false
	}
	w.withdrawn = true
	return true
}

// FailingFor returns how long all calls have failed; 0 if the last one was answered.
func (c *Committer) FailingFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failedSince.IsZero() {
		return 0
	}
	return now.Sub(c.failedSince)
}

func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run commits writes until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-c.wake:
			}
			wait.For(ctx, c.delay)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		c.commit(ctx, batch)
	}
}

// nextBatch removes the next batch from the queue and marks its writes as sent.
func (c *Committer) nextBatch() []*Write {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*Write
	entries, size, i := 1, 0, 0
	for ; i < len(c.queue); i++ {
		w := c.queue[i]
		if w.withdrawn {
			continue
		}
		entries += w.Entries()
		size += w.size()
		if len(batch) > 0 && (entries > maxBatchEntries || size > maxBatchBytes) {
			break
		}
		w.sent = true
		batch = append(batch, w)
	}
	c.queue = c.queue[i:]
	return batch
}

func (c *Committer) commit(ctx context.Context, batch []*Write) {
	t := Transaction{Conditions: []Condition{c.fence}, Merge: true}
	for _, w := range batch {
		t.add(&w.Transaction)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.currentTimeout())
	out, err := c.store.Transact(callCtx, t)
	cancel()
	c.noteOutcome(err)
	switch {
	case err == nil:
		for _, w := range batch {
			w.Done(out, nil)
		}
	case errors.Is(err, ErrConflict):
		c.resolveConflict(batch, out)
	case errors.Is(err, ErrUncertain):
		for _, w := range batch {
			w.uncertainCalls++
		}
		wait.For(ctx, retryPause)
		c.requeue(batch)
	default:
		c.handleRefusal(ctx, batch)
	}
}

func (c *Committer) currentTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timeout
}

func (c *Committer) noteOutcome(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || errors.Is(err, ErrConflict) {
		c.failedSince = time.Time{}
		c.timeout = max(minTimeout, c.timeout*3/4)
		return
	}
	if c.failedSince.IsZero() {
		c.failedSince = time.Now()
	}
	if errors.Is(err, ErrUncertain) {
		c.timeout = min(maxTimeout, c.timeout*2)
	}
}

// handleRefusal handles a transaction that certainly had no effect. Writes with GiveUp fail,
// unless an earlier call may still take effect; the others are retried.
func (c *Committer) handleRefusal(ctx context.Context, batch []*Write) {
	var again, failed []*Write
	for _, w := range batch {
		if w.GiveUp && w.uncertainCalls == 0 {
			failed = append(failed, w)
			continue
		}
		again = append(again, w)
	}
	for _, w := range failed {
		w.Done(Outcome{}, ErrNotDone)
	}
	if len(again) > 0 {
		wait.For(ctx, retryPause)
		c.requeue(again)
	}
}

// requeue puts writes back at the front of the queue in their order.
func (c *Committer) requeue(batch []*Write) {
	c.mu.Lock()
	c.queue = append(append([]*Write(nil), batch...), c.queue...)
	c.mu.Unlock()
	c.signal()
}

// resolveConflict handles a conflict: writes whose conditions hold are queued again, the
// others are decided.
func (c *Committer) resolveConflict(batch []*Write, out Outcome) {
	current := out.rows()
	if current[c.fence.Key].Version != c.fence.Version {
		c.fenced()
	}
	var again []*Write
	for _, w := range batch {
		switch {
		case w.holds(current):
			again = append(again, w)
		case w.applied(current):
			w.Done(Outcome{Version: w.appliedVersion(current)}, nil)
		default:
			w.Done(Outcome{Version: out.Version, Current: w.currentRows(current)}, ErrConflict)
		}
	}
	if len(again) > 0 {
		c.requeue(again)
	}
}

// applied reports whether an earlier call with the write has taken effect: the rows are
// exactly as it leaves them. Values are unique to a write.
func (w *Write) applied(current map[Key]Row) bool {
	if w.uncertainCalls == 0 {
		return false
	}
	for _, p := range w.Puts {
		if row, ok := current[p.Key]; !ok || !bytes.Equal(row.Value, p.Value) {
			return false
		}
	}
	for _, k := range w.Deletes {
		if _, ok := current[k]; ok {
			return false
		}
	}
	return true
}

func (w *Write) appliedVersion(current map[Key]Row) uint64 {
	if len(w.Puts) == 0 {
		return 0
	}
	return current[w.Puts[0].Key].Version
}
