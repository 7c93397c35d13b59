package member

import (
	"context"
	"errors"
	"testing"
	"time"

	"rackspur/rowstore"
)

var testParts = []string{"p0", "p1"}

func beginLife(t *testing.T, s rowstore.Store, node, incarnation string) *Life {
	t.Helper()
	l := NewLife(s, testParts, Box{Node: node, Role: RoleEntry, Address: node + ":1", Incarnation: incarnation})
	if _, err := l.Begin(context.Background()); err != nil {
		t.Fatal(err)
	}
	return l
}

func newTestWatcher(s rowstore.Store, node, incarnation string) *Watcher {
	return NewWatcher(s, testParts, Box{Node: node, Address: node + ":1", Incarnation: incarnation}, time.Now(), nil)
}

// poll returns the lives that have ended, as if those seen had been unchanged for age.
func poll(t *testing.T, w *Watcher, age time.Duration) []EndedLife {
	t.Helper()
	if _, err := w.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, s := range w.seen {
		s.since = s.since.Add(-age)
	}
	over, err := w.Poll(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return over
}

func TestLifeIsFencedOnce(t *testing.T) {
	s := rowstore.NewMemory()
	l := beginLife(t, s, "a", "a~1")
	beginLife(t, s, "b", "b~1")
	w, other := newTestWatcher(s, "b", "b~1"), newTestWatcher(s, "c", "c~1")
	if over := poll(t, w, 0); len(over) != 0 {
		t.Fatalf("ended at once: %+v", over)
	}
	over := poll(t, w, Lease+2*expiryMargin)
	if len(over) != 1 || over[0].Incarnation != "a~1" {
		t.Fatalf("over %+v, want a~1", over)
	}
	late := poll(t, other, Lease+2*expiryMargin)
	if err := w.Fence(context.Background(), over[0]); err != nil {
		t.Fatal(err)
	}
	for _, o := range late {
		if o.Incarnation == "a~1" {
			if err := other.Fence(context.Background(), o); !errors.Is(err, rowstore.ErrConflict) {
				t.Errorf("fenced twice: %v", err)
			}
		}
	}
	if _, err := l.Renew(context.Background(), nil); !errors.Is(err, ErrFenced) {
		t.Errorf("renewal after the fence: %v", err)
	}
}

func TestRenewedLifeIsNotOver(t *testing.T) {
	s := rowstore.NewMemory()
	l := beginLife(t, s, "a", "a~1")
	w := newTestWatcher(s, "b", "b~1")
	over := poll(t, w, Lease+2*expiryMargin)
	if len(over) != 1 {
		t.Fatalf("over %+v", over)
	}
	if _, err := l.Renew(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	if err := w.Fence(context.Background(), over[0]); !errors.Is(err, rowstore.ErrConflict) {
		t.Errorf("a life that has renewed its lease was fenced: %v", err)
	}
}

// A renewal whose answer was lost does not end the life.
func TestRenewalWithoutAnswer(t *testing.T) {
	s := rowstore.NewMemory()
	l := beginLife(t, s, "a", "a~1")
	s.SetFault(func(rowstore.Call) rowstore.Fault { return rowstore.FaultLoseAnswer })
	if _, err := l.Renew(context.Background(), nil); err == nil {
		t.Fatal("renewed without an answer")
	}
	s.SetFault(nil)
	if _, err := l.Renew(context.Background(), nil); errors.Is(err, ErrFenced) {
		t.Fatal("fenced by its own renewal")
	}
	if _, err := l.Renew(context.Background(), nil); err != nil {
		t.Errorf("renewal: %v", err)
	}
}

func TestReleasedAndFormerLife(t *testing.T) {
	s := rowstore.NewMemory()
	l := beginLife(t, s, "a", "a~1")
	beginLife(t, s, "b", "b~0")
	if err := l.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	over := poll(t, newTestWatcher(s, "b", "b~1"), 0)
	if len(over) != 2 {
		t.Errorf("over %+v, want the released life and the former one of the same box", over)
	}
}

// Waiting jobs of a life that has ended count until they have been taken over. Otherwise too
// few are reported as pending while its successor reads them.
func TestWaitingJobsOfEndedLifeCount(t *testing.T) {
	const queue, waiting = "checks", 3
	tests := []struct {
		name string
		end  func(l *Life, w *Watcher) error
	}{
		{"released", func(l *Life, _ *Watcher) error { return l.Release(context.Background()) }},
		{"fenced", func(_ *Life, w *Watcher) error {
			return w.Fence(context.Background(), poll(t, w, Lease+2*expiryMargin)[0])
		}},
		{"released and fenced", func(l *Life, w *Watcher) error {
			if err := l.Release(context.Background()); err != nil {
				return err
			}
			return w.Fence(context.Background(), poll(t, w, 0)[0])
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := rowstore.NewMemory()
			l := beginLife(t, s, "a", "a~1")
			if _, err := l.Renew(context.Background(), map[string]int{queue: waiting}); err != nil {
				t.Fatal(err)
			}
			w := newTestWatcher(s, "b", "b~1")
			if err := test.end(l, w); err != nil {
				t.Fatal(err)
			}
			counted := func() int {
				counts, err := ReadPending(context.Background(), s, len(testParts), "b~1", nil)
				if err != nil {
					t.Fatal(err)
				}
				return counts[queue]
			}
			if n := counted(); n != waiting {
				t.Errorf("%d jobs are counted before they are taken over, want %d", n, waiting)
			}
			if err := w.Forget(context.Background(), "a~1"); err != nil {
				t.Fatal(err)
			}
			if n := counted(); n != 0 {
				t.Errorf("%d jobs are counted after they were taken over, want none", n)
			}
		})
	}
}
