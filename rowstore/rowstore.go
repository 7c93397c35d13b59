// Package rowstore defines a transactional store of rows, and provides a group committer, a
// follower of changes and an implementation in memory.
//
// A row belongs to a table and a part. Each transaction increments one counter, whose value
// becomes the version of the rows that it writes.
package rowstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a store.
var (
	// ErrNotDone is returned if the call had no effect and never will have one.
	ErrNotDone = eris.New("rowstore: not done")
	// ErrUncertain is returned if there was no answer: a write may have taken effect, or may
	// do so later if its conditions still hold.
	ErrUncertain = eris.New("rowstore: outcome unknown")
	// ErrConflict is returned if a condition did not hold; nothing was written.
	ErrConflict = eris.New("rowstore: conflict")
	// ErrHistoryGone is returned if the requested changes are no longer stored.
	ErrHistoryGone = eris.New("rowstore: history gone")
	// ErrInvalid is returned if the store rejected the call as invalid; nothing was written.
	ErrInvalid = eris.New("rowstore: invalid call")
)

// Key identifies a row.
type Key struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Name  string `json:"name"`
}

// Row is a row with its current version.
type Row struct {
	Key
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	// Gone marks a deleted row; it occurs only in changes.
	Gone bool `json:"gone,omitempty"`
}

// Condition holds if the row has the version; 0 means that it does not exist.
type Condition struct {
	Key
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key
	Value []byte `json:"value"`
}

// Query selects rows of one part of a table, ordered by name.
type Query struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	// From is the first name to include, Until the first to exclude ("" for no bound).
	From  string `json:"from,omitempty"`
	Until string `json:"until,omitempty"`
	Limit int    `json:"limit,omitempty"`
	// MayBeOld is how much older than the call the answer may be: it allows sharing the
	// answer of an earlier call.
	MayBeOld time.Duration `json:"may_be_old,omitempty"`
}

// Page is the answer to a query.
type Page struct {
	Rows    []Row  `json:"rows,omitempty"`
	More    bool   `json:"more,omitempty"`
	Version uint64 `json:"version"`
	// Unreadable is the number of rows that were left out because they can't be read. Through
	// is the highest version and Last the last name of all rows, including those; both are
	// empty if unknown.
	Unreadable int    `json:"unreadable,omitempty"`
	Through    uint64 `json:"through,omitempty"`
	Last       string `json:"last,omitempty"`
	// Late is how much earlier than this call the store was asked, if the answer is shared:
	// the answer may be that much older.
	Late time.Duration `json:"late,omitempty"`
}

// ErrUnreadable is returned if a row exists but can't be read.
var ErrUnreadable = eris.New("rowstore: row can't be read")

// LastName returns the name of the last row; "" if it is unknown.
func (p *Page) LastName() string {
	if len(p.Rows) == 0 {
		return p.Last
	}
	return max(p.Last, p.Rows[len(p.Rows)-1].Name)
}

// Store is a transactional store of rows.
type Store interface {
	// Transact returns ErrConflict, ErrNotDone, ErrUncertain, ErrInvalid or nil.
	Transact(ctx context.Context, t Transaction) (Outcome, error)
	// Read returns rows as of one moment.
	Read(ctx context.Context, q Query) (Page, error)
	// Changes waits for changes of a table after a version, at most for wait, and returns
	// them. It returns ErrHistoryGone if the changes are no longer stored.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// ReadOne returns a row; ok reports whether it exists.
func ReadOne(ctx context.Context, s Store, k Key) (row Row, ok bool, err error) {
	page, err := s.Read(ctx, Query{Table: k.Table, Part: k.Part, From: k.Name, Until: k.Name + "\x00", Limit: 1})
	if err == nil && page.Unreadable > 0 {
		// An unreadable row must not pass for a missing one.
		err = ErrUnreadable
	}
	if err != nil || len(page.Rows) == 0 || page.Rows[0].Name != k.Name {
		return Row{}, false, err
	}
	return page.Rows[0], true, nil
}

// ReadAll returns all rows that a query selects, page by page, and the store's version as of
// the first page.
func ReadAll(ctx context.Context, s Store, q Query) ([]Row, uint64, error) {
	var rows []Row
	var version uint64
	for {
		page, err := s.Read(ctx, q)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows)+page.Unreadable == 0 {
			return rows, version, nil
		}
		last := page.LastName()
		if last == "" {
			return nil, 0, ErrUnreadable
		}
		q.From = last + "\x00"
	}
}
