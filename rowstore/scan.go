package rowstore

import (
	"context"
	"time"

	"rackspur/internal/wait"
)

// pageTimeout is the timeout of one page; a slow store takes up to 250 ms.
const pageTimeout = 700 * time.Millisecond

// Scan reads parts of a table page by page. Each page has its own timeout, and a failed page
// does not discard those before it. With one timeout of 0.7 s for a table of four pages, no
// reader got to the end of it from a slow store, and all started over at the same time.
type Scan struct {
	// MayBeOld is how much older than the call a page may be; see Query.MayBeOld.
	MayBeOld time.Duration

	table string
	// parts are the parts that are left, from the next name to read in the first of them.
	parts []string
	from  string
	// version is the lowest store version of the pages, asOf the earliest time as of which
	// one was read; both are zero before the first page.
	version uint64
	asOf    time.Time
}

// NewScan returns a scan of parts of a table; nil means the part with the empty name.
func NewScan(table string, parts []string) *Scan {
	if parts == nil {
		parts = []string{""}
	}
	return &Scan{table: table, parts: parts}
}

// Done reports whether everything has been read.
func (s *Scan) Done() bool { return len(s.parts) == 0 }

// Version returns the store's version as of the oldest page: the pages may lack later
// changes.
func (s *Scan) Version() uint64 { return s.version }

// AsOf returns a time such that everything written before it has been read.
func (s *Scan) AsOf() time.Time { return s.asOf }

// Next reads the next page. After an error it retries the same page.
func (s *Scan) Next(ctx context.Context, store Store) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	sent := time.Now()
	page, err := store.Read(ctx, Query{Table: s.table, Part: s.parts[0], From: s.from, MayBeOld: s.MayBeOld})
	if err != nil {
		return nil, err
	}
	s.cover(page.Version, sent.Add(-page.Late))
	if !page.More || len(page.Rows)+page.Unreadable == 0 {
		s.parts = s.parts[1:]
		s.from = ""
		return page.Rows, nil
	}
	last := page.LastName()
	if last == "" {
		return nil, ErrUnreadable
	}
	s.from = last + "\x00"
	return page.Rows, nil
}

// cover extends version and asOf to a page.
func (s *Scan) cover(version uint64, asOf time.Time) {
	first := s.asOf.IsZero()
	// The version of an empty store is 0.
	if first || version < s.version {
		s.version = version
	}
	if first || asOf.Before(s.asOf) {
		s.asOf = asOf
	}
}

// scanRetryPause is the time before a failed page is retried.
const scanRetryPause = 50 * time.Millisecond

// ScanAll reads all rows of parts of a table; it retries until that succeeds or the context
// ends.
func ScanAll(ctx context.Context, store Store, table string, parts []string) ([]Row, error) {
	var all []Row
	for s := NewScan(table, parts); !s.Done(); {
		rows, err := s.Next(ctx, store)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			wait.For(ctx, scanRetryPause)
			continue
		}
		all = append(all, rows...)
	}
	return all, nil
}
