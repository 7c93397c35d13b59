package peer

import (
	"cmp"
	"slices"

	"rackspur/member"
)

// Bounds of the share of the gates that an owner links to.
const (
	// ownersPerGate is the least number of owners that link to a gate, so that a gate
	// has owners with work even if callers are spread unevenly or many owners fail at once.
	ownersPerGate = 8
	// gatesPerOwner is the least number of gates that an owner links to, on average.
	// Deployments with fewer gates link every owner to every gate.
	gatesPerOwner = 32
)

// share divides the gates into those of an owner's share and the rest. By rendezvous
// hashing each gate belongs to the owners with the highest hashes, so that no gate is
// without owners and few links change as boxes come and go.
type share struct {
	own []member.Box
	// rest holds the other gates; it is sorted on first use.
	rest   []*rankedGate
	sorted bool
	domain string
}

// newShare returns the share of the entry box that the ranking belongs to.
func newShare(r *ranking, domain string) share {
	owners := ownersOfEach(len(r.entries), len(r.gates))
	s := share{domain: domain}
	for _, g := range r.gates {
		if g.rank < owners {
			s.own = append(s.own, g.box)
		} else {
			s.rest = append(s.rest, g)
		}
	}
	return s
}

// beyond returns n gates beyond the share: first those of the owner's failure domain, then
// those with the best rank.
func (s *share) beyond(n int) []member.Box {
	if n == 0 {
		return nil
	}
	if !s.sorted {
		s.sorted = true
		slices.SortFunc(s.rest, s.compare)
	}
	gates := make([]member.Box, 0, n)
	for _, g := range s.rest[:n] {
		gates = append(gates, g.box)
	}
	return gates
}

func (s *share) compare(a, b *rankedGate) int {
	otherDomain := func(g *rankedGate) int {
		if g.box.Zone == s.domain {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(otherDomain(a), otherDomain(b)), cmp.Compare(a.rank, b.rank), cmp.Compare(a.box.Node, b.box.Node))
}

// ownersOfEach returns how many owners link to each gate.
func ownersOfEach(entries, gates int) int {
	if gates == 0 {
		return entries
	}
	forShare := (gatesPerOwner*entries + gates - 1) / gates
	return min(entries, max(ownersPerGate, forShare))
}
