package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"rackspur/internal/wait"
	"rackspur/rowstore"
)

var eightParts = []string{"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"}

// ringBox is an entry box with a life and a watcher in virtual time.
type ringBox struct {
	life    *Life
	watcher *Watcher
	end     context.CancelFunc
}

// startBoxes starts n entry boxes, each with a life that is renewed.
func startBoxes(t *testing.T, ctx context.Context, s rowstore.Store, n int) []*ringBox {
	t.Helper()
	var boxes []*ringBox
	for i := range n {
		d := Box{Node: fmt.Sprintf("edge-lhr-%d-%d", i%5, i), Role: RoleEntry, Address: "10.0.0.1:7720"}
		d.Incarnation = d.Node + "~1"
		b := &ringBox{life: NewLife(s, eightParts, d), watcher: NewWatcher(s, eightParts, d, time.Now(), nil)}
		if _, err := b.life.Begin(ctx); err != nil {
			t.Fatal(err)
		}
		var boxCtx context.Context
		boxCtx, b.end = context.WithCancel(ctx)
		go func() {
			for wait.For(boxCtx, RenewInterval); boxCtx.Err() == nil; wait.For(boxCtx, RenewInterval) {
				if _, err := b.life.Renew(boxCtx, nil); err != nil {
					t.Errorf("%s: %v", d.Node, err)
				}
			}
		}()
		boxes = append(boxes, b)
	}
	return boxes
}

// The cost of watching lives does not grow with the deployment, and the renewals are spread
// over the parts.
func TestWatchingCostsTheSameAtEachSize(t *testing.T) {
	for _, size := range []int{20, 55, 184} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &countingStore{Store: rowstore.NewMemory()}
			boxes := startBoxes(t, ctx, s, size)
			const polls = 5
			for range polls {
				wait.For(ctx, 400*time.Millisecond)
				for _, b := range boxes {
					over, err := b.watcher.Poll(ctx)
					if err != nil || len(over) > 0 {
						t.Fatalf("%d lives reported as ended, want none; %v", len(over), err)
					}
				}
			}
			totalPolls := size * polls
			if s.rows > totalPolls*2*ringPage || s.calls > totalPolls*3 {
				t.Errorf("%d entry boxes: a poll reads %d rows with %d calls", size, s.rows/totalPolls, s.calls/totalPolls)
			}
			renewals := map[string]int{}
			for _, b := range boxes {
				renewals[b.life.key().Part]++
			}
			for part, n := range renewals {
				if perSecond := float64(n) / RenewInterval.Seconds(); perSecond > 150 {
					t.Errorf("%d entry boxes: part %s gets %.0f renewals a second", size, part, perSecond)
				}
			}
		})
	}
}

// When many entry boxes are lost at once, every lost life is found by a remaining box, and no
// live one is reported as ended.
func TestEveryLostLifeIsFound(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			random := rand.New(rand.NewPCG(seed, seed))
			boxes := startBoxes(t, ctx, rowstore.NewMemory(), 40)
			lost := map[string]bool{}
			var left []*ringBox
			share := 0.3 + 0.1*float64(seed)
			for i, b := range boxes {
				if i > 0 && random.Float64() < share {
					b.end()
					lost[b.life.box.Incarnation] = true
					continue
				}
				left = append(left, b)
			}
			found := map[string]bool{}
			for range 20 {
				wait.For(ctx, 400*time.Millisecond)
				for _, b := range left {
					over, err := b.watcher.Poll(ctx)
					if err != nil {
						t.Fatal(err)
					}
					for _, o := range over {
						found[o.Incarnation] = true
						if !lost[o.Incarnation] {
							t.Fatalf("%s is alive and was reported as ended", o.Incarnation)
						}
					}
				}
			}
			if len(found) != len(lost) {
				t.Errorf("%d of %d lost lives found, %d boxes left", len(found), len(lost), len(left))
			}
		})
	}
}

// A life is not taken over a second time while its successor is alive, wherever that is on
// the ring.
func TestTakerElsewhereOnTheRing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		boxes := startBoxes(t, ctx, rowstore.NewMemory(), 40)
		lost := boxes[7].life.box.Incarnation
		boxes[7].end()
		successor, takeovers := (*ringBox)(nil), 0
		for range 30 {
			wait.For(ctx, 400*time.Millisecond)
			for i, b := range boxes {
				if i == 7 {
					continue
				}
				over, err := b.watcher.Poll(ctx)
				if err != nil {
					t.Fatal(err)
				}
				for _, o := range over {
					if o.Incarnation == lost && !o.Fenced && b.watcher.Fence(ctx, o) == nil {
						successor, takeovers = b, takeovers+1
					}
				}
			}
		}
		if takeovers != 1 {
			t.Fatalf("fenced %d times while its successor is alive, want once", takeovers)
		}
		successor.end()
		taken := false
		for range 20 {
			wait.For(ctx, 400*time.Millisecond)
			for i, b := range boxes {
				if i == 7 || b == successor {
					continue
				}
				over, err := b.watcher.Poll(ctx)
				if err != nil {
					t.Fatal(err)
				}
				for _, o := range over {
					taken = taken || o.Incarnation == lost
				}
			}
		}
		if !taken {
			t.Error("the life was not taken over once its successor was lost")
		}
	})
}
