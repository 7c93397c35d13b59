package rowstore

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rackspur/internal/wait"
)

// pagedStore returns a few rows per page, each page with a latency.
type pagedStore struct {
	*Memory
	rows    int
	latency time.Duration
	reads   atomic.Int32
}

func (s *pagedStore) Read(ctx context.Context, q Query) (Page, error) {
	s.reads.Add(1)
	wait.For(ctx, s.latency)
	if ctx.Err() != nil {
		return Page{}, ErrNotDone
	}
	q.Limit = s.rows
	return s.Memory.Read(ctx, q)
}

// newPagedStore returns a store with this number of rows in each of two parts of a table.
func newPagedStore(t *testing.T, rows int) *pagedStore {
	t.Helper()
	s := &pagedStore{Memory: NewMemory(), rows: 10, latency: 240 * time.Millisecond}
	for _, part := range scannedParts {
		for i := range rows {
			put := Put{Key: Key{Table: scannedTable, Part: part, Name: fmt.Sprintf("%03d", i)}, Value: []byte("x")}
			if _, err := s.Transact(t.Context(), Transaction{Puts: []Put{put}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	return s
}

const scannedTable = "members"

var scannedParts = []string{"a", "b"}

// A follower reads a table of many pages from a slow store, though all pages together take
// longer than the timeout of one.
func TestFollowerReadsLongTableFromSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newPagedStore(t, 40)
		taken := map[Key]bool{}
		f := &followed{}
		follower := newFollower(s, f)
		follower.Table, follower.Parts = scannedTable, scannedParts
		follower.Change = func(r Row) { taken[r.Key] = true }
		began := time.Now()
		go follower.Run(ctx)
		time.Sleep(8*s.latency + time.Second)
		synctest.Wait()
		if len(taken) != 80 {
			t.Errorf("%d rows received, want 80", len(taken))
		}
		_, confirmed := f.state()
		if confirmed.Before(began) {
			t.Error("the table was not confirmed")
		}
	})
}

// A failed page is retried, and those before it are not read again.
func TestScanGoesOnWhereItWasBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPagedStore(t, 40)
		scan := NewScan(scannedTable, scannedParts)
		read := 0
		for failures := 0; !scan.Done(); {
			if failures <= read/10 && failures < 5 {
				failures++
				s.SetFault(func(Call) Fault { return FaultRefuse })
			}
			rows, err := scan.Next(t.Context(), s)
			s.SetFault(nil)
			if err == nil {
				read += len(rows)
			}
		}
		if n := s.reads.Load(); read != 80 || n != 8+5 {
			t.Errorf("%d rows with %d reads, want 80 with 8 reads and 5 that failed", read, n)
		}
	})
}

// fixedPages answers reads with given pages.
type fixedPages struct {
	Store
	pages []Page
}

func (s *fixedPages) Read(context.Context, Query) (Page, error) {
	page := s.pages[0]
	s.pages = s.pages[1:]
	return page, nil
}

// Shared pages may be older than the first one. The scan covers only what its oldest page
// does, as the changes in between would be missed otherwise.
func TestScanCoversItsOldestPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 1500 * time.Millisecond
		s := &fixedPages{pages: []Page{{Version: 12}, {Version: 9, Late: late}, {Version: 14}}}
		scan := NewScan(scannedTable, []string{"a", "b", "c"})
		began := time.Now()
		for !scan.Done() {
			if _, err := scan.Next(t.Context(), s); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if v := scan.Version(); v != 9 {
			t.Errorf("version %d, want 9", v)
		}
		if want := began.Add(time.Second - late); !scan.AsOf().Equal(want) {
			t.Errorf("as of %v, want %v", scan.AsOf(), want)
		}
	})
}

// A scan that starts in an empty store covers version 0, so that a row written afterwards to
// a part already read is among the changes that follow.
func TestScanOfEmptyStore(t *testing.T) {
	m := NewMemory()
	scan := NewScan(scannedTable, scannedParts)
	if _, err := scan.Next(t.Context(), m); err != nil {
		t.Fatal(err)
	}
	put := Put{Key: Key{Table: scannedTable, Part: scannedParts[0], Name: "late"}, Value: []byte("x")}
	if _, err := m.Transact(t.Context(), Transaction{Puts: []Put{put}}); err != nil {
		t.Fatal(err)
	}
	if _, err := scan.Next(t.Context(), m); err != nil || !scan.Done() {
		t.Fatalf("done %v, %v", scan.Done(), err)
	}
	if v := scan.Version(); v != 0 {
		t.Errorf("version %d, want 0: the late row is missing", v)
	}
}
