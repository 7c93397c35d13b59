package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rackspur/member"
)

// The cost of a membership change depends only on what has changed: at most one hash per gate
// or per entry box.
func TestRankingCostsWhatChanges(t *testing.T) {
	for _, size := range []struct{ entries, gates int }{{12, 67}, {55, 240}, {110, 480}} {
		entries, gates := testFleet(size.entries, size.gates)
		r := newRanking(entries[0])
		for _, e := range entries {
			r.addEntry(e)
		}
		for _, g := range gates {
			r.addGate(g)
		}
		for _, change := range []struct {
			name string
			do   func()
			most int
		}{
			{"a new process of a gate", func() { g := gates[3]; g.Incarnation = "new"; r.addGate(g) }, 0},
			{"a known entry box", func() { r.addEntry(entries[5]) }, 0},
			{"an entry box that comes", func() { r.addEntry("edge-new") }, size.gates},
			{"an entry box that goes", func() { r.removeEntry("edge-new") }, size.gates},
			{"a gate that comes", func() { r.addGate(member.Box{Node: "side-new"}) }, size.entries + 1},
			{"a gate that goes", func() { r.removeGate("side-new") }, 0},
		} {
			before := r.hashCount
			change.do()
			if n := r.hashCount - before; n > change.most {
				t.Errorf("%d entry boxes, %d gates: %s costs %d hashes, want %d at most", size.entries, size.gates, change.name, n, change.most)
			}
		}
	}
}

// After any sequence of changes the ranks equal those computed from scratch.
func TestRankingFollowsChanges(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, seed))
		entries, gates := testFleet(20, 60)
		self := entries[0]
		r := newRanking(self)
		wantEntries := map[string]bool{self: true}
		wantGates := map[string]member.Box{}
		for step := range 400 {
			e, g := entries[random.IntN(len(entries))], gates[random.IntN(len(gates))]
			switch random.IntN(4) {
			case 0:
				r.addEntry(e)
				wantEntries[e] = true
			case 1:
				r.removeEntry(e)
				if e != self {
					delete(wantEntries, e)
				}
			case 2:
				g.Incarnation = fmt.Sprint(step)
				r.addGate(g)
				wantGates[g.Node] = g
			case 3:
				r.removeGate(g.Node)
				delete(wantGates, g.Node)
			}
		}
		checkRanking(t, r, wantEntries, wantGates)
	}
}

func checkRanking(t *testing.T, r *ranking, entries map[string]bool, gates map[string]member.Box) {
	t.Helper()
	if len(r.entries) != len(entries) || len(r.gates) != len(gates) {
		t.Fatalf("%d entry boxes and %d gates, want %d and %d", len(r.entries), len(r.gates), len(entries), len(gates))
	}
	for name, d := range gates {
		rank := 0
		for e := range entries {
			if own := r.hash(name, r.self); e != r.self && r.outranks(name, own, e) {
				rank++
			}
		}
		if g := r.gates[name]; g.rank != rank || g.box != d {
			t.Errorf("%s has rank %d and process %q, want %d and %q", name, g.rank, g.box.Incarnation, rank, d.Incarnation)
		}
	}
}
