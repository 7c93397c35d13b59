package node

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/member"
	"rackspur/rowstore"
)

// hubFleet returns the hubs of each entry box of a fleet in which a quarter of the boxes
// have wide links.
func hubFleet(entries int) map[string]*hubs {
	var all []member.Box
	for i := range entries {
		all = append(all, member.Box{Node: fmt.Sprintf("edge-lhr-%d-%d", i%5, i), Role: member.RoleEntry, Wide: i%4 == 0})
	}
	choices := map[string]*hubs{}
	for i, b := range all {
		// The order in which a box knows the others must not matter.
		choices[b.Node] = newHubs(b.Node, func() []member.Box { return slices.Concat(all[i:], all[:i]) })
	}
	return choices
}

// One entry box in sixteen is a hub and uses the store directly, and the others are spread
// evenly over the hubs. Small deployments have no hubs.
func TestHubsOfFleet(t *testing.T) {
	now := time.Now()
	for _, size := range []struct{ entries, hubs int }{{4, 0}, {31, 0}, {55, 3}, {184, 11}, {368, 23}} {
		asked := map[string]int{}
		direct := 0
		for _, h := range hubFleet(size.entries) {
			if b, ok := h.hub(now); ok {
				asked[b.Node]++
			} else {
				direct++
			}
		}
		want := size.hubs
		if size.hubs == 0 {
			want = size.entries
		}
		if direct != want || len(asked) != size.hubs {
			t.Errorf("%d entry boxes: %d ask the store, %d hubs are asked, want %d and %d", size.entries, direct, len(asked), want, size.hubs)
		}
		for hub, n := range asked {
			if n > 2*boxesPerHub {
				t.Errorf("%d entry boxes: %s is asked by %d", size.entries, hub, n)
			}
		}
	}
}

// A failed hub is avoided for a while in favour of the next one, or of the store if none
// is left.
func TestHubThatFails(t *testing.T) {
	now := time.Now()
	for _, h := range hubFleet(55) {
		first, ok := h.hub(now)
		if !ok {
			continue
		}
		h.markFailed(now, first.Node)
		second, ok := h.hub(now)
		if !ok || second.Node == first.Node {
			t.Fatalf("%v after %s has failed", second.Node, first.Node)
		}
		for {
			got, ok := h.hub(now)
			if !ok {
				break
			}
			h.markFailed(now, got.Node)
		}
		if got, ok := h.hub(now.Add(hubPause)); !ok || got.Node != first.Node {
			t.Errorf("%v is asked %v later, want %s", got.Node, hubPause, first.Node)
		}
		h.markFailed(now.Add(hubPause), first.Node)
		if got, _ := h.hub(now.Add(2*hubPause + time.Millisecond)); got.Node == first.Node {
			t.Error("a hub that fails again is asked as soon as after its first failure")
		}
		h.markAnswered(first.Node)
		if got, _ := h.hub(now.Add(2*hubPause + time.Millisecond)); got.Node != first.Node {
			t.Error("a hub that answers is not asked")
		}
		everybody := h.known()
		h.known = func() []member.Box {
			return slices.DeleteFunc(everybody, func(b member.Box) bool { return b.Node == first.Node })
		}
		h.invalidate()
		if got, _ := h.hub(now.Add(time.Hour)); got.Node == first.Node {
			t.Error("a hub that is gone is asked")
		}
	}
}

// Forty entry boxes with two hubs load the store no more than the hubs alone would, and
// learn of a new box even right after the loss of a hub.
func TestEntryBoxesAskTheirHubs(t *testing.T) {
	const entries = 40
	c := &cluster{t: t, store: rowstore.NewMemory(), wide: func(i int) bool { return i%4 == 0 }}
	c.start(entries, 1, quickWork)
	know := func(node string) func() bool {
		return func() bool {
			for i := range entries {
				e := c.entry(i)
				e.mu.Lock()
				_, ok := e.boxes[node]
				e.mu.Unlock()
				if !ok && i != 0 {
					return false
				}
			}
			return true
		}
	}
	c.until("all boxes know each other", know(fmt.Sprintf("entry-%d", entries-1)))
	wait.For(context.Background(), 3*time.Second)
	var calls atomic.Int64
	c.store.SetFault(func(call rowstore.Call) rowstore.Fault {
		if call == rowstore.CallChanges {
			calls.Add(1)
		}
		return rowstore.FaultNone
	})
	const watched = 5 * time.Second
	wait.For(context.Background(), watched)
	// Each of the two hubs makes a call every 2 s for the membership and every 5 s for the
	// leases. Another box may make one call if its hub was slow; without hubs it would make
	// three or four.
	const most = 2*4 + entries
	if n := calls.Load(); n > most {
		t.Errorf("%d calls for changes in %v, want %d at most", n, watched, most)
	}
	hub, ok := member.Box{}, false
	for i := 1; i < entries && !ok; i++ {
		hub, ok = c.entry(i).hubs.hub(time.Now())
	}
	if !ok {
		t.Fatal("no entry box has a hub")
	}
	c.mu.Lock()
	for _, e := range c.entries {
		if e.box.options.Node == hub.Node {
			e.kill()
		}
	}
	c.mu.Unlock()
	late := member.Box{Node: "agent-late", Role: member.RoleAgent, Address: "127.0.0.1:1", Incarnation: "agent-late~a"}
	began := time.Now()
	member.Register(context.Background(), c.store, late, logr.Discard())
	c.until("all boxes know the new box", func() bool {
		for i := range entries {
			e := c.entry(i)
			e.mu.Lock()
			_, ok := e.boxes[late.Node]
			e.mu.Unlock()
			if !ok && e.options.Node != hub.Node {
				return false
			}
		}
		return true
	})
	t.Logf("known everywhere after %v", time.Since(began))
}

// All boxes, including the hubs, select the same writer for a part, and another one after
// it has failed. Small deployments have none.
func TestWriterOfPart(t *testing.T) {
	now := time.Now()
	for _, size := range []struct {
		entries int
		writers bool
	}{{4, false}, {31, false}, {55, true}, {184, true}} {
		writers := map[string]bool{}
		for _, h := range hubFleet(size.entries) {
			first, ok := h.writer(now, "0")
			if ok != size.writers {
				t.Fatalf("%d entry boxes: %s has a writer: %v", size.entries, h.self, ok)
			}
			if !ok {
				continue
			}
			writers[first.Node] = true
			h.markFailed(now, first.Node)
			if next, ok := h.writer(now, "0"); !ok || next.Node == first.Node {
				t.Errorf("%d entry boxes: %v after %s has failed", size.entries, next.Node, first.Node)
			}
		}
		if size.writers && len(writers) != 1 {
			t.Errorf("%d entry boxes name %d writers", size.entries, len(writers))
		}
	}
}
