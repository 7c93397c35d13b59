package member

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"

	"rackspur/rowstore"
)

// lateStore does not answer the first transaction of a box. The test carries it out late, if its
// conditions still hold.
type lateStore struct {
	rowstore.Store
	held *rowstore.Transaction
	// unanswered is called when the transaction is held.
	unanswered func()
}

func (s *lateStore) Transact(ctx context.Context, t rowstore.Transaction) (rowstore.Outcome, error) {
	if s.held != nil {
		return s.Store.Transact(ctx, t)
	}
	s.held = &t
	s.unanswered()
	return rowstore.Outcome{}, rowstore.ErrUncertain
}

// A registration of a former process that the store carries out late does not replace that of the
// newer one.
func TestLateRegistration(t *testing.T) {
	s := rowstore.NewMemory()
	box := Box{Node: "side-1", Role: RoleAgent, Address: "10.0.0.1:7720"}
	register := func(ctx context.Context, s rowstore.Store, incarnation string) {
		d := box
		d.Incarnation = incarnation
		Register(ctx, s, d, logr.Discard())
	}
	register(t.Context(), s, "side-1~0")
	ctx, kill := context.WithCancel(t.Context())
	late := &lateStore{Store: s, unanswered: kill}
	register(ctx, late, "side-1~1")
	register(t.Context(), s, "side-1~2")
	if _, err := s.Transact(t.Context(), *late.held); !errors.Is(err, rowstore.ErrConflict) {
		t.Errorf("late registration: %v, want %v", err, rowstore.ErrConflict)
	}
	boxes, err := ReadBoxes(t.Context(), s, nil)
	if err != nil || len(boxes) != 1 || boxes[0].Incarnation != "side-1~2" {
		t.Errorf("registered %+v, %v", boxes, err)
	}
}

// A fence row that is written late, after it was deleted with its life, lets no write of that life
// through.
func TestLateFenceRow(t *testing.T) {
	s := rowstore.NewMemory()
	life := NewLife(s, testParts, Box{Node: "a", Role: RoleEntry, Address: "a:1", Incarnation: "a~1"})
	if _, err := life.Begin(t.Context()); err != nil {
		t.Fatal(err)
	}
	w := newTestWatcher(s, "b", "b~1")
	if err := w.Fence(t.Context(), poll(t, w, Lease+2*expiryMargin)[0]); err != nil {
		t.Fatal(err)
	}
	if err := w.FenceParts(t.Context(), "a~1"); err != nil {
		t.Fatal(err)
	}
	for i := range life.fences {
		key := life.fences[i].Key
		again := rowstore.Transaction{Conditions: []rowstore.Condition{{Key: key}}, Puts: []rowstore.Put{{Key: key, Value: []byte("{}")}}}
		if _, err := s.Transact(t.Context(), again); err != nil {
			t.Fatalf("late write of the fence row: %v", err)
		}
	}
	for part := range testParts {
		row := rowstore.Put{Key: rowstore.Key{Table: "jobs", Part: testParts[part], Name: "aa"}, Value: []byte("{}")}
		write := rowstore.Transaction{Conditions: []rowstore.Condition{life.Fence(part)}, Puts: []rowstore.Put{row}}
		if _, err := s.Transact(t.Context(), write); !errors.Is(err, rowstore.ErrConflict) {
			t.Errorf("write of the ended life to %s: %v", testParts[part], err)
		}
	}
	if _, err := life.Renew(t.Context(), nil); !errors.Is(err, ErrFenced) {
		t.Errorf("renewal of the ended life: %v", err)
	}
}
