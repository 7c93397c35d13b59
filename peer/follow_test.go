package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"rackspur/observe"
	"rackspur/peer/peerpb"
	"rackspur/rowstore"
)

// Bounds of the users' rules at the smallest deployments: a change must be known
// applyBound after it was made, by whoever has had contact for contactBound.
const (
	applyBound   = 2 * time.Second
	contactBound = 3 * time.Second
)

// silentPeer is a process whose own way to the store is cut: it does not answer.
type silentPeer struct{ peerpb.PeerClient }

func (silentPeer) Store(ctx context.Context, _ *peerpb.StoreCall, _ ...grpc.CallOption) (*peerpb.StoreAnswer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// turnReadersAway lets only writes through.
func turnReadersAway(c rowstore.Call) rowstore.Fault {
	if c == rowstore.CallTransact {
		return rowstore.FaultNone
	}
	return rowstore.FaultRefuse
}

// The store turns this machine away for a moment, again and again, so that calls go
// through a peer, which is silent. The direct way works all the other time: once it
// has for contactBound, what is known is never older than applyBound. The time of
// this test is virtual.
func TestFollowerBesideSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := rowstore.NewMemory()
		s := NewRelayedStore(m, somePeers{client: silentPeer{}}, observe.NewMetrics(), logr.Discard())
		var confirmed atomic.Pointer[time.Time]
		follower := rowstore.Follower{
			Store: s, Table: "op", Log: logr.Discard(),
			Confirmed: func(at time.Time) { confirmed.Store(&at) },
			ReadAll: func(ctx context.Context) (uint64, error) {
				page, err := s.Read(ctx, rowstore.Query{Table: "op"})
				return page.Version, err
			},
			Change: func(rowstore.Row) {},
		}
		go follower.Run(ctx)
		for round := range 5 {
			time.Sleep(time.Second)
			m.SetFault(turnReadersAway)
			// A change ends the call that waits, which is then turned away.
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
					t.Fatalf("round %d, %v after the trouble: what is known is %v old", round, time.Since(calm), age)
				}
			}
		}
	})
}
