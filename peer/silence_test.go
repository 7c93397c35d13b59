package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"rackspur/internal/wait"
	"rackspur/observe"
	"rackspur/peer/peerpb"
	"rackspur/rowstore"
)

// Required bounds for the smallest deployments: a box that has had contact for contactBound
// must know a change applyBound after it was made.
const (
	applyBound   = 2 * time.Second
	contactBound = 3 * time.Second
)

// silentPeer is a peer that can't reach the store and does not answer.
type silentPeer struct{ peerpb.PeerClient }

func (silentPeer) Store(ctx context.Context, _ *peerpb.StoreCall, _ ...grpc.CallOption) (*peerpb.StoreAnswer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// refuseReads is a fault that refuses all calls but transactions.
func refuseReads(c rowstore.Call) rowstore.Fault {
	if c == rowstore.CallTransact {
		return rowstore.FaultNone
	}
	return rowstore.FaultRefuse
}

// The store repeatedly refuses this box for a moment, so that calls go to a peer, which does
// not answer. Once the store has been reachable again for contactBound, the follower's
// knowledge is never older than applyBound.
func TestFollowerBesideSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := rowstore.NewMemory()
		s := NewRelayedStore(m, onePeer{client: silentPeer{}}, observe.NewMetrics(), logr.Discard())
		var confirmed atomic.Pointer[time.Time]
		follower := rowstore.Follower{
			Store: s, Table: "op", Log: logr.Discard(),
			Confirmed: func(at time.Time, _ uint64) { confirmed.Store(&at) },
			Change:    func(rowstore.Row) {},
		}
		go follower.Run(ctx)
		for round := range 5 {
			time.Sleep(time.Second)
			m.SetFault(refuseReads)
			// A change ends the waiting call, and the next one is refused.
			put := rowstore.Put{Key: rowstore.Key{Table: "op", Name: "config"}, Value: []byte{byte(round)}}
			if _, err := m.Transact(ctx, rowstore.Transaction{Puts: []rowstore.Put{put}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			m.SetFault(nil)
			calm := time.Now()
			for time.Since(calm) < 30*time.Second {
				time.Sleep(100 * time.Millisecond)
				if age := time.Since(*confirmed.Load()); time.Since(calm) >= contactBound+applyBound && age > applyBound {
					t.Fatalf("round %d, %v after the fault: the follower's knowledge is %v old", round, time.Since(calm), age)
				}
			}
		}
	})
}

// inProcess calls another process's server without a connection.
type inProcess struct {
	peerpb.PeerClient
	server *Server
}

func (p inProcess) Store(ctx context.Context, c *peerpb.StoreCall, _ ...grpc.CallOption) (*peerpb.StoreAnswer, error) {
	return p.server.Store(ctx, c)
}

// While direct calls are not answered, a read that is made only once is answered through a
// peer before its deadline.
func TestReadBesideSilentDirectWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		silent, store := rowstore.NewMemory(), rowstore.NewMemory()
		silent.SetFault(func(rowstore.Call) rowstore.Fault { return rowstore.FaultSilent })
		key := rowstore.Key{Table: "t", Part: "p", Name: "k"}
		if _, err := store.Transact(ctx, rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: []byte("v")}}}); err != nil {
			t.Fatal(err)
		}
		s := NewRelayedStore(silent, onePeer{client: inProcess{server: &Server{Direct: store}}}, observe.NewMetrics(), logr.Discard())
		row, ok, err := rowstore.ReadOne(ctx, s, key)
		if err != nil || !ok || string(row.Value) != "v" {
			t.Fatalf("read %q, %v, %v", row.Value, ok, err)
		}
	})
}

// A direct read with a short deadline is not cut short, since a store that recovers may still
// answer it.
func TestShortReadIsNotBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = 700 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		store := &slowStore{Memory: rowstore.NewMemory(), answersAfter: patience - time.Millisecond}
		s := NewRelayedStore(store, onePeer{}, observe.NewMetrics(), logr.Discard())
		if _, err := s.Read(ctx, rowstore.Query{Table: "t"}); err != nil {
			t.Errorf("read: %v", err)
		}
	})
}

// slowStore answers reads after a delay.
type slowStore struct {
	*rowstore.Memory
	answersAfter time.Duration
}

func (s *slowStore) Read(ctx context.Context, q rowstore.Query) (rowstore.Page, error) {
	wait.For(ctx, s.answersAfter)
	if ctx.Err() != nil {
		return rowstore.Page{}, rowstore.ErrNotDone
	}
	return s.Memory.Read(ctx, q)
}
