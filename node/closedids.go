package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/rowstore"
)

const (
	// minKeepClosed is the shortest time for which an id stays closed. It exceeds the time after
	// which a write without an answer may still take effect, and that in which its caller may
	// submit the job again.
	minKeepClosed = time.Minute
	// maxClosedIDs bounds the ids that a box keeps closed.
	maxClosedIDs = 50_000
	// closedSweepInterval is the time between two removals of expired rows.
	closedSweepInterval = 5 * time.Second
)

// closedIDs holds the rows with which this box has closed ids, in the order of their writes.
type closedIDs struct {
	mu   sync.Mutex
	rows []closedRow
	// ids are the names of the rows.
	ids map[job.ID]bool
}

// closedRow is a row as it was written.
type closedRow struct {
	row rowstore.Condition
	at  time.Time
}

func (c *closedIDs) add(row rowstore.Condition, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids == nil {
		c.ids = map[job.ID]bool{}
	}
	c.rows = append(c.rows, closedRow{row, at})
	c.ids[job.ID(row.Name)] = true
}

// full reports whether no more ids can be closed.
func (c *closedIDs) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rows) >= maxClosedIDs
}

// has reports whether an id is closed.
func (c *closedIDs) has(id job.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids[id]
}

// expired removes and returns the rows that were written before a time.
func (c *closedIDs) expired(before time.Time) []closedRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(c.rows) && c.rows[n].at.Before(before) {
		delete(c.ids, job.ID(c.rows[n].row.Name))
		n++
	}
	expired := c.rows[:n:n]
	c.rows = c.rows[n:]
	return expired
}

// run deletes rows once their time has passed, until the context ends. A row that can't be deleted
// is tried again after the same time.
func (c *closedIDs) run(ctx context.Context, s rowstore.Store, keep time.Duration) {
	for ctx.Err() == nil {
		for _, r := range c.expired(time.Now().Add(-keep)) {
			if !deleteRow(ctx, s, r.row) {
				c.add(r.row, time.Now())
			}
		}
		wait.For(ctx, closedSweepInterval)
	}
}

// deleteRow deletes a row unless it has changed, and reports whether it is gone or has changed.
func deleteRow(ctx context.Context, s rowstore.Store, row rowstore.Condition) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err := s.Transact(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{row}, Deletes: []rowstore.Key{row.Key}, Merge: true,
	})
	return err == nil || errors.Is(err, rowstore.ErrConflict)
}
