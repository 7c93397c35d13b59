// Package standin provides in-memory stand-ins for the systems that rackspur works with:
// the platform's store, executors and targets. Tests and "rackspur dev" use them, and
// faults can be injected.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rackspur/store"
)

// Rate limits of the platform's store, in calls per second.
const (
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
)

// PlatformFaults holds the faults that are injected into a Store.
type PlatformFaults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// SlowMS delays every call.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is how many of the next writes take effect but return store.ErrUncertain.
	LoseAnswers int `json:"lose_answers"`
	// LagMS is the age of the list of boxes.
	LagMS int `json:"lag_ms"`
}

// Store is an in-memory store of the platform. It implements store.Service.
type Store struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	boxes   map[string]store.Box
	// boxHistory holds earlier versions of the list of boxes, oldest first.
	boxHistory []boxList
	faults     PlatformFaults
	writes     *rate.Limiter
	reads      *rate.Limiter
	counts     StoreCounts
}

// StoreCounts counts the calls handled since the start.
type StoreCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

type boxList struct {
	until time.Time
	boxes []store.Box
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows:    map[string]store.Row{},
		objects: map[string][]byte{},
		boxes:   map[string]store.Box{},
		writes:  rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:   rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f PlatformFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of calls handled so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetBox adds a box to the list or replaces it.
func (s *Store) SetBox(b store.Box) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxHistory = append(s.boxHistory, boxList{until: time.Now(), boxes: s.list()})
	s.boxes[b.Name] = b
}

// RemoveBox removes a box from the list.
func (s *Store) RemoveBox(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxHistory = append(s.boxHistory, boxList{until: time.Now(), boxes: s.list()})
	delete(s.boxes, name)
}

func (s *Store) list() []store.Box {
	boxes := make([]store.Box, 0, len(s.boxes))
	for _, b := range s.boxes {
		boxes = append(boxes, b)
	}
	sort.Slice(boxes, func(i, j int) bool { return boxes[i].Name < boxes[j].Name })
	return boxes
}

// begin delays the call and fails it if the store is down or over its rate.
func (s *Store) begin(ctx context.Context, limit *rate.Limiter) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.SlowMS > 0 {
		select {
		case <-time.After(time.Duration(f.SlowMS) * time.Millisecond):
		case <-ctx.Done():
			return store.ErrUnavailable
		}
	}
	if f.Down || !limit.Allow() {
		return store.ErrUnavailable
	}
	return nil
}

func (s *Store) read(ctx context.Context) error {
	if err := s.begin(ctx, s.reads); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return nil
}

// Get implements store.Table.Get.
func (s *Store) Get(ctx context.Context, key string) (store.Row, error) {
	if err := s.read(ctx); err != nil {
		return store.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	if !ok {
		return store.Row{}, store.ErrNotFound
	}
	return row, nil
}

// List implements store.Table.List.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Row, error) {
	if err := s.read(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []store.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// write runs a write and applies the injected faults.
func (s *Store) write(ctx context.Context, effect func() error) error {
	if err := s.begin(ctx, s.writes); err != nil {
		return store.ErrUncertain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if err := effect(); err != nil {
		return err
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return store.ErrUncertain
	}
	return nil
}

// Commit implements store.Table.Commit.
func (s *Store) Commit(ctx context.Context, c store.Commit) error {
	return s.write(ctx, func() error {
		for _, cond := range c.Conditions {
			if s.rows[cond.Key].Version != cond.Version {
				return store.ErrConflict
			}
		}
		for _, p := range c.Puts {
			s.rows[p.Key] = store.Row{Key: p.Key, Value: p.Value, Version: s.rows[p.Key].Version + 1}
		}
		return nil
	})
}

// GetObject implements store.Objects.GetObject.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := s.read(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[key]
	if !ok {
		return nil, store.ErrNotFound
	}
	return value, nil
}

// PutObject implements store.Objects.PutObject.
func (s *Store) PutObject(ctx context.Context, key string, value []byte) error {
	return s.write(ctx, func() error {
		s.objects[key] = value
		return nil
	})
}

// ListBoxes implements store.Boxes.ListBoxes.
func (s *Store) ListBoxes(ctx context.Context) ([]store.Box, error) {
	if err := s.read(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := time.Now().Add(-time.Duration(s.faults.LagMS) * time.Millisecond)
	for i, old := range s.boxHistory {
		if old.until.After(seen) {
			s.boxHistory = s.boxHistory[i:]
			return old.boxes, nil
		}
	}
	s.boxHistory = nil
	return s.list(), nil
}
