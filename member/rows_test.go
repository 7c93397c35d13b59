package member

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/rowstore"
)

// registerBoxes registers entry boxes and agents.
func registerBoxes(t *testing.T, s rowstore.Store, entries, agents int) []Box {
	t.Helper()
	var all []Box
	for i := range entries {
		all = append(all, Box{Node: fmt.Sprintf("edge-zone-%d-%d", i%5, i), Role: RoleEntry})
	}
	for i := range agents {
		all = append(all, Box{Node: fmt.Sprintf("side-zone-%d-%d", i%5, i), Role: RoleAgent})
	}
	for i := range all {
		all[i].Address = "10.0.0.1:7720"
		all[i].Incarnation = all[i].Node + "~1"
		Register(t.Context(), s, all[i], logr.Discard())
	}
	return all
}

// After a power loss each agent writes two rows and each entry box one. No part gets more
// writes than it takes in a second, even with 984 boxes.
func TestRowsAreSpreadOverParts(t *testing.T) {
	const partWrites = 300
	writes := map[string]int{}
	for i := range 184 {
		writes[partOf(RoleEntry, fmt.Sprintf("edge-lhr-%d-%d", i%5, i))]++
	}
	for i := range 800 {
		writes[partOf(RoleAgent, fmt.Sprintf("side-lhr-%d-%d", i%5, i))] += 2
	}
	for part, n := range writes {
		if n > partWrites {
			t.Errorf("part %s gets %d writes", part, n)
		}
	}
}

// countingStore counts reads and the rows that they return.
type countingStore struct {
	rowstore.Store
	mu          sync.Mutex
	rows, calls int
}

func (s *countingStore) Read(ctx context.Context, q rowstore.Query) (rowstore.Page, error) {
	page, err := s.Store.Read(ctx, q)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.rows += len(page.Rows)
	return page, err
}

// The cost of SampleEntries does not grow with the deployment.
func TestSomeEntriesCostsTheSameAtEachSize(t *testing.T) {
	const asked = 16
	for _, entries := range []int{3, 20, 184, 368} {
		s := &countingStore{Store: rowstore.NewMemory()}
		registerBoxes(t, s.Store, entries, 2*entries)
		drawn := map[string]bool{}
		const draws = 100
		for range draws {
			some, err := SampleEntries(t.Context(), s, asked, nil)
			if err != nil {
				t.Fatal(err)
			}
			once := map[string]bool{}
			for _, d := range some {
				once[d.Node] = true
				drawn[d.Node] = true
			}
			if want := min(asked, entries); len(some) != want || len(once) != want {
				t.Fatalf("%d entry boxes: %d drawn, %d of them different, want %d", entries, len(some), len(once), want)
			}
		}
		if s.rows > draws*asked || s.calls > draws*(entryParts+1) {
			t.Errorf("%d entry boxes: %d rows and %d calls for %d draws", entries, s.rows, s.calls, draws)
		}
		if len(drawn) < min(entries, 150) {
			t.Errorf("only %d of %d entry boxes were ever drawn", len(drawn), entries)
		}
	}
}

// A deleted row is reported, even if the store's history was dropped in the meantime.
func TestFollowTellsOfRowsThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := rowstore.NewMemory()
		all := registerBoxes(t, s, 3, 5)
		known := &knownBoxes{nodes: map[string]bool{}}
		go Follow(ctx, s, known.found, known.lost, nil, logr.Discard())
		known.waitUntil(t, "all are known", len(all), nil)
		drop := func(b Box) {
			if _, err := s.Transact(ctx, rowstore.Transaction{Deletes: []rowstore.Key{keyOf(b.Role, b.Node)}}); err != nil {
				t.Error(err)
			}
		}
		drop(all[0])
		known.waitUntil(t, "one is gone", len(all)-1, &all[0])
		// The second row is deleted while the call for changes is lost and the store drops
		// its history.
		s.LoseWaiting()
		drop(all[4])
		s.DropHistory()
		known.waitUntil(t, "another is gone", len(all)-2, &all[4])
	})
}

// knownBoxes holds the boxes that a follower has found and not lost.
type knownBoxes struct {
	mu    sync.Mutex
	nodes map[string]bool
}

func (k *knownBoxes) found(b Box) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nodes[b.Node] = true
}

func (k *knownBoxes) lost(node string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.nodes, node)
}

// waitUntil waits until n boxes are known, without gone.
func (k *knownBoxes) waitUntil(t *testing.T, what string, n int, gone *Box) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); wait.For(t.Context(), 10*time.Millisecond) {
		k.mu.Lock()
		ok := len(k.nodes) == n && (gone == nil || !k.nodes[gone.Node])
		k.mu.Unlock()
		if ok {
			return
		}
	}
	t.Fatalf("timed out waiting: %s", what)
}

// A row that was reread through a hub may be older than the known one. It is not reported, as
// links to the box's former process would be opened otherwise.
func TestOlderRowIsNoNews(t *testing.T) {
	s := rowstore.NewMemory()
	d := registerBoxes(t, s, 1, 0)[0]
	row, ok, err := rowstore.ReadOne(t.Context(), s, keyOf(d.Role, d.Node))
	if err != nil || !ok {
		t.Fatal(err)
	}
	former := row
	d.Incarnation = d.Node + "~2"
	Register(t.Context(), s, d, logr.Discard())
	if row, _, err = rowstore.ReadOne(t.Context(), s, former.Key); err != nil {
		t.Fatal(err)
	}
	var found []string
	tracker := newTracker(func(d Box) { found = append(found, d.Incarnation) }, func(string) { t.Error("lost") }, nil)
	tracker.change(row)
	tracker.restart()
	tracker.change(former)
	tracker.confirmed(time.Time{}, 0)
	if len(found) != 1 || found[0] != d.Incarnation {
		t.Errorf("found %v, want %v only", found, d.Incarnation)
	}
}
