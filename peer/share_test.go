package peer

import (
	"fmt"
	"testing"

	"rackspur/member"
)

func testFleet(entries, gates int) ([]string, []member.Box) {
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("edge-zone-%d-%d", i%5, i))
	}
	var all []member.Box
	for i := range gates {
		all = append(all, member.Box{Node: fmt.Sprintf("side-zone-%d-%d", i%5, i), Zone: fmt.Sprintf("zone-%d", i%5)})
	}
	return names, all
}

// testShare returns the share of an entry box in a membership of entries and gates.
func testShare(self string, entries []string, gates []member.Box) share {
	r := newRanking(self)
	for i, g := range gates {
		r.addGate(g)
		if i < len(entries) {
			r.addEntry(entries[i])
		}
	}
	return newShare(r, testEntry(self).Zone)
}

func testEntry(name string) member.Box {
	return member.Box{Node: name, Zone: "zone-0"}
}

// Every gate has the same number of owners, and the number of links of an owner does not
// grow with the deployment.
func TestShare(t *testing.T) {
	for _, c := range []struct{ entries, gates, owners, mostLinks int }{
		{4, 11, 4, 11},
		{12, 67, 8, 60},
		{55, 240, 8, 60},
		{110, 480, 8, 60},
		{184, 800, 8, 60},
	} {
		t.Run(fmt.Sprintf("%d entries, %d gates", c.entries, c.gates), func(t *testing.T) {
			entries, gates := testFleet(c.entries, c.gates)
			owners := map[string]int{}
			for _, e := range entries {
				s := testShare(e, entries, gates)
				if len(s.own) == 0 || len(s.own) > c.mostLinks {
					t.Errorf("%s links to %d gates", e, len(s.own))
				}
				if len(s.own)+len(s.rest) != c.gates {
					t.Errorf("%s knows %d gates", e, len(s.own)+len(s.rest))
				}
				for _, g := range s.own {
					owners[g.Node]++
				}
			}
			for _, g := range gates {
				if owners[g.Node] != c.owners {
					t.Errorf("%s has %d owners, want %d", g.Node, owners[g.Node], c.owners)
				}
			}
		})
	}
}

// Adding or removing an entry box changes few links of the others.
func TestShareChangesLittle(t *testing.T) {
	entries, gates := testFleet(55, 240)
	changed, all := 0, 0
	for _, e := range entries[1:] {
		with := testShare(e, entries, gates)
		without := testShare(e, entries[1:], gates)
		had := map[string]bool{}
		for _, g := range with.own {
			had[g.Node] = true
		}
		all += len(with.own)
		for _, g := range without.own {
			if !had[g.Node] {
				changed++
			}
		}
	}
	if changed == 0 || changed > all/10 {
		t.Errorf("%d of %d links are new after one entry box was lost", changed, all)
	}
}

// Beyond the share, gates of the own failure domain come first, since they may be the only
// ones that can be reached.
func TestShareOrder(t *testing.T) {
	entries, gates := testFleet(55, 240)
	s := testShare(entries[0], entries, gates)
	others := false
	for _, g := range s.beyond(len(s.rest)) {
		if g.Zone != "zone-0" {
			others = true
			continue
		}
		if others {
			t.Fatalf("%s of the own failure domain comes after a gate of another", g.Node)
		}
	}
}
