package store_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"rackspur/internal/standin"
	"rackspur/store"
)

// service is an implementation under test, with the store that its faults are set on.
type service struct {
	store.Service
	store *standin.Store
}

// implementations are those that must meet the contract.
var implementations = map[string]func(t *testing.T) service{
	"store": func(*testing.T) service {
		s := standin.NewStore()
		return service{Service: s, store: s}
	},
	"http": func(t *testing.T) service {
		s := standin.NewStore()
		srv := httptest.NewServer(standin.PlatformHandler(s))
		t.Cleanup(srv.Close)
		return service{Service: store.NewClient(srv.URL, store.WithTimeout(time.Second)), store: s}
	},
}

func put(key, value string, version uint64) store.Commit {
	return store.Commit{
		Conditions: []store.Condition{{Key: key, Version: version}},
		Puts:       []store.Put{{Key: key, Value: []byte(value)}},
	}
}

// contract lists what every implementation must do.
var contract = []struct {
	name string
	run  func(ctx context.Context, t *testing.T, s service)
}{
	{"01 a missing row is not found", func(ctx context.Context, t *testing.T, s service) {
		_, err := s.Get(ctx, "a/b")
		want(t, err, store.ErrNotFound)
	}},
	{"02 a row that was put is read with version 1", func(ctx context.Context, t *testing.T, s service) {
		want(t, s.Commit(ctx, put("a/b", "x", 0)), nil)
		row, err := s.Get(ctx, "a/b")
		want(t, err, nil)
		if string(row.Value) != "x" || row.Version != 1 {
			t.Errorf("%+v", row)
		}
	}},
	{"03 a condition that fails writes nothing", func(ctx context.Context, t *testing.T, s service) {
		want(t, s.Commit(ctx, put("a", "x", 0)), nil)
		tx := put("a", "y", 0)
		tx.Puts = append(tx.Puts, store.Put{Key: "b", Value: []byte("y")})
		want(t, s.Commit(ctx, tx), store.ErrConflict)
		_, err := s.Get(ctx, "b")
		want(t, err, store.ErrNotFound)
	}},
	{"04 versions grow by one", func(ctx context.Context, t *testing.T, s service) {
		for v := range uint64(3) {
			want(t, s.Commit(ctx, put("a", "x", v)), nil)
		}
		want(t, s.Commit(ctx, put("a", "x", 2)), store.ErrConflict)
	}},
	{"05 rows are listed by prefix in order", func(ctx context.Context, t *testing.T, s service) {
		for _, key := range []string{"p/2", "q/1", "p/1"} {
			want(t, s.Commit(ctx, put(key, "x", 0)), nil)
		}
		rows, err := s.List(ctx, "p/")
		want(t, err, nil)
		if len(rows) != 2 || rows[0].Key != "p/1" {
			t.Errorf("%+v", rows)
		}
	}},
	{"06 objects", func(ctx context.Context, t *testing.T, s service) {
		_, err := s.GetObject(ctx, "o/1")
		want(t, err, store.ErrNotFound)
		want(t, s.PutObject(ctx, "o/1", []byte{0, 1, 2}), nil)
		b, err := s.GetObject(ctx, "o/1")
		want(t, err, nil)
		if len(b) != 3 {
			t.Errorf("%v", b)
		}
	}},
	{"07 down: reads are unavailable, writes uncertain", func(ctx context.Context, t *testing.T, s service) {
		s.store.SetFaults(standin.PlatformFaults{Down: true})
		_, err := s.Get(ctx, "a")
		want(t, err, store.ErrUnavailable)
		_, err = s.ListBoxes(ctx)
		want(t, err, store.ErrUnavailable)
		want(t, s.Commit(ctx, put("a", "x", 0)), store.ErrUncertain)
		want(t, s.PutObject(ctx, "a", nil), store.ErrUncertain)
	}},
	{"08 a lost answer is uncertain and the write took effect", func(ctx context.Context, t *testing.T, s service) {
		s.store.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		want(t, s.Commit(ctx, put("a", "x", 0)), store.ErrUncertain)
		_, err := s.Get(ctx, "a")
		want(t, err, nil)
	}},
	{"09 slow past the caller's patience", func(ctx context.Context, t *testing.T, s service) {
		s.store.SetFaults(standin.PlatformFaults{SlowMS: 60_000})
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := s.Get(ctx, "a")
		want(t, err, store.ErrUnavailable)
		want(t, s.Commit(ctx, put("a", "x", 0)), store.ErrUncertain)
	}},
	{"10 the list of boxes lags", func(ctx context.Context, t *testing.T, s service) {
		s.store.SetFaults(standin.PlatformFaults{LagMS: 3_600_000})
		s.store.SetBox(store.Box{Name: "x", State: store.BoxLive})
		boxes, err := s.ListBoxes(ctx)
		want(t, err, nil)
		if len(boxes) != 0 {
			t.Errorf("%+v", boxes)
		}
		s.store.SetFaults(standin.PlatformFaults{})
		boxes, err = s.ListBoxes(ctx)
		want(t, err, nil)
		if len(boxes) != 1 {
			t.Errorf("%+v", boxes)
		}
	}},
	{"11 more writes than the service carries", func(ctx context.Context, t *testing.T, s service) {
		failed := 0
		for range 2 * standin.WritesPerSecond {
			if s.PutObject(ctx, "a", nil) != nil {
				failed++
			}
		}
		if failed == 0 {
			t.Error("every write was accepted")
		}
	}},
}

func want(t *testing.T, err, kind error) {
	t.Helper()
	if !errors.Is(err, kind) || (kind == nil && err != nil) {
		t.Fatalf("got %v, want %v", err, kind)
	}
}

func TestContract(t *testing.T) {
	for name, make := range implementations {
		for _, tc := range contract {
			t.Run(name+"/"+tc.name, func(t *testing.T) {
				tc.run(t.Context(), t, make(t))
			})
		}
	}
}
