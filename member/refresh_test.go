package member

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/rowstore"
)

// refreshFixture runs boxes that refresh their rows and sweepers for all parts, in virtual
// time.
type refreshFixture struct {
	t     *testing.T
	ctx   context.Context
	store *rowstore.Memory
	ends  map[string]context.CancelFunc
}

// sweepers is the number of sweepers of a refreshFixture.
const sweepers = 6

// testRefresh runs a test with twelve boxes.
func testRefresh(t *testing.T, test func(b *refreshFixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := &refreshFixture{t: t, ctx: ctx, store: rowstore.NewMemory(), ends: map[string]context.CancelFunc{}}
		for i := range 6 {
			b.start(RoleEntry, fmt.Sprintf("edge-%d", i))
			b.start(RoleAgent, fmt.Sprintf("side-%d", i))
		}
		for range sweepers {
			go NewSweeper(b.store, func() int { return sweepers }, logr.Discard()).Run(ctx)
		}
		wait.For(ctx, time.Second)
		test(b)
	})
}

func (b *refreshFixture) start(role Role, node string) {
	ctx, end := context.WithCancel(b.ctx)
	b.ends[node] = end
	d := Box{Node: node, Role: role, Address: "10.0.0.1:7720", Incarnation: node + "~1"}
	go KeepRegistered(ctx, b.store, d, logr.Discard())
}

// rows returns the number of boxes with a row.
func (b *refreshFixture) rows() int {
	b.t.Helper()
	all, err := ReadBoxes(b.ctx, b.store, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	return len(all)
}

// The row of a lost box is deleted; those of live boxes stay.
func TestRowsOfLostBoxesAreDropped(t *testing.T) {
	testRefresh(t, func(b *refreshFixture) {
		wait.For(b.ctx, 3*time.Hour)
		if n := b.rows(); n != 12 {
			t.Fatalf("%d rows after three hours of calm, want 12", n)
		}
		b.ends["side-3"]()
		b.ends["edge-2"]()
		// By then each part has been swept, whichever parts the sweepers chose.
		wait.For(b.ctx, staleAfter+time.Duration(len(allParts())*sweepsPerPart)*sweepInterval)
		if n := b.rows(); n != 10 {
			t.Errorf("%d rows after two boxes were lost, want 10", n)
		}
	})
}

// While the store refuses all calls no row can be refreshed; none is deleted for that.
func TestOutageDropsNoRows(t *testing.T) {
	testRefresh(t, func(b *refreshFixture) {
		for _, length := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
			b.store.SetFault(func(rowstore.Call) rowstore.Fault { return rowstore.FaultRefuse })
			wait.For(b.ctx, length)
			b.store.SetFault(nil)
			for range 60 {
				wait.For(b.ctx, time.Minute)
				if n := b.rows(); n != 12 {
					t.Fatalf("%d rows after an outage of %v, want 12", n, length)
				}
			}
		}
	})
}

// A live box whose row was deleted is registered again.
func TestDroppedRowComesBack(t *testing.T) {
	testRefresh(t, func(b *refreshFixture) {
		if _, err := b.store.Transact(b.ctx, rowstore.Transaction{Deletes: []rowstore.Key{keyOf(RoleAgent, "side-1")}}); err != nil {
			t.Fatal(err)
		}
		wait.For(b.ctx, 2*refreshInterval)
		if n := b.rows(); n != 12 {
			t.Errorf("%d rows, want 12", n)
		}
	})
}
