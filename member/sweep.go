package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/rowstore"
)

// Times and bounds of sweeps.
const (
	// sweepInterval is the time between two sweeps.
	sweepInterval = 5 * time.Minute
	// staleAfter is how long a row must not have been refreshed to be deleted. A box retries
	// a failed refresh about a hundred times within that.
	staleAfter = 20 * time.Minute
	// sweepsPerPart is the number of sweeps over the same parts before a sweeper moves on:
	// twice what it takes to detect a stale row.
	sweepsPerPart = int(2 * staleAfter / sweepInterval)
	// sweepersPerPart is the average number of entry boxes that sweep a part at a time.
	sweepersPerPart = 3
)

// Sweeper deletes the rows of boxes that were not refreshed for long. Each entry box sweeps
// some of the parts for a while, then others.
type Sweeper struct {
	store rowstore.Store
	// entries returns the number of entry boxes that share the work.
	entries func() int
	log     logr.Logger
	// firstPart is the index of the first part to sweep, sweeps the number of sweeps so far.
	firstPart, sweeps int
	// seen holds the rows as of the last sweep.
	seen map[rowstore.Key]seenRow
}

// seenRow holds the versions of a box's row and of its refresh row, and since when both are
// unchanged.
type seenRow struct {
	version, refreshed uint64
	since              time.Time
}

// NewSweeper returns a sweeper for an entry box; entries returns the number of entry boxes.
func NewSweeper(s rowstore.Store, entries func() int, log logr.Logger) *Sweeper {
	return &Sweeper{store: s, entries: entries, log: log, firstPart: rand.IntN(len(allParts())), seen: map[rowstore.Key]seenRow{}}
}

// parts returns the parts to sweep now.
func (w *Sweeper) parts() []string {
	all := allParts()
	n := min(len(all), 1+sweepersPerPart*len(all)/max(1, w.entries()))
	var parts []string
	for i := range n {
		parts = append(parts, all[(w.firstPart+i)%len(all)])
	}
	return parts
}

// Run sweeps until the context ends.
func (w *Sweeper) Run(ctx context.Context) {
	for {
		wait.For(ctx, jitter(sweepInterval))
		if ctx.Err() != nil {
			return
		}
		if err := w.sweep(ctx); err != nil {
			// Boxes may not have been able to refresh their rows either, so their time
			// restarts.
			w.seen = map[rowstore.Key]seenRow{}
			w.log.Info("Sweep of the rows of boxes failed.", "error", err.Error())
		}
		if w.sweeps++; w.sweeps%sweepsPerPart == 0 {
			w.firstPart++
		}
	}
}

// sweep reads the rows of some parts and deletes those that have been unchanged for long.
func (w *Sweeper) sweep(ctx context.Context) error {
	parts := w.parts()
	refreshed, err := w.versions(ctx, tableRefreshed, parts)
	if err != nil {
		return err
	}
	members, err := w.versions(ctx, tableMembers, parts)
	if err != nil {
		return err
	}
	now := time.Now()
	seen := map[rowstore.Key]seenRow{}
	for key, version := range members {
		s := seenRow{version: version, refreshed: refreshed[refreshedKey(key)], since: now}
		if before, ok := w.seen[key]; ok && before.version == s.version && before.refreshed == s.refreshed {
			s.since = before.since
		}
		seen[key] = s
		if now.Sub(s.since) >= staleAfter {
			w.deleteRow(ctx, key, s)
		}
	}
	w.seen = seen
	return nil
}

// versions returns the versions of the rows in parts of a table.
func (w *Sweeper) versions(ctx context.Context, table string, parts []string) (map[rowstore.Key]uint64, error) {
	all := map[rowstore.Key]uint64{}
	for s := rowstore.NewScan(table, parts); !s.Done(); {
		rows, err := s.Next(ctx, w.store)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			all[row.Key] = row.Version
		}
	}
	return all, nil
}

// deleteRow deletes a box's row and its refresh row unless either has changed.
func (w *Sweeper) deleteRow(ctx context.Context, key rowstore.Key, s seenRow) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t := rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key, Version: s.version}, {Key: refreshedKey(key), Version: s.refreshed}},
		Deletes:    []rowstore.Key{key},
	}
	if s.refreshed != 0 {
		t.Deletes = append(t.Deletes, refreshedKey(key))
	}
	if _, err := w.store.Transact(callCtx, t); err != nil {
		w.log.Info("Row of a lost box not deleted.", "row", key.Name, "error", err.Error())
		return
	}
	w.log.Info("Deleted the row of a lost box.", "row", key.Name, "unchangedS", int(time.Since(s.since).Seconds()))
}
