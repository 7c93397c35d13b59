package peer

import (
	"cmp"
	"hash/fnv"
	"slices"

	"rackspur/member"
)

// Bounds of the share of the gates that an owner keeps links to.
const (
	// ownersPerGate is how many owners link to a gate at least: a gate has owners
	// with work also where callers are spread unevenly, and after many owners are
	// lost at once.
	ownersPerGate = 8
	// gatesPerOwner is how many gates an owner links to at least, on average over
	// all owners. Deployments with fewer gates than that link all to all.
	gatesPerOwner = 32
)

// share is the gates in the order in which an owner would link to them. The first
// base ones are its own by rendezvous hashing: each gate belongs to the owners
// whose hash with it is the highest, so that no gate is without owners, and few
// links change as daemons come and go.
type share struct {
	gates []member.Daemon
	base  int
}

// newShare returns the share of the gates that one of the entry boxes has. What is
// beyond it is ordered by failure domain, the own one first, then by hash.
func newShare(self member.Daemon, entries []string, gates []member.Daemon) share {
	owners := ownersOfEach(len(entries), len(gates))
	ranks := make(map[string]int, len(gates))
	for _, g := range gates {
		ranks[g.Node] = rankFor(g.Node, self.Node, entries)
	}
	s := share{gates: slices.Clone(gates)}
	for _, rank := range ranks {
		if rank < owners {
			s.base++
		}
	}
	class := func(g member.Daemon) int {
		switch {
		case ranks[g.Node] < owners:
			return 0
		case g.Zone == self.Zone:
			return 1
		}
		return 2
	}
	slices.SortFunc(s.gates, func(a, b member.Daemon) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(ranks[a.Node], ranks[b.Node]), cmp.Compare(a.Node, b.Node))
	})
	return s
}

// ownersOfEach returns how many owners link to each gate.
func ownersOfEach(entries, gates int) int {
	if gates == 0 {
		return entries
	}
	forShare := (gatesPerOwner*entries + gates - 1) / gates
	return min(entries, max(ownersPerGate, forShare))
}

// rankFor returns how many of the other entry boxes come before one for a gate.
func rankFor(gate, self string, entries []string) int {
	own := affinity(gate, self)
	rank := 0
	for _, e := range entries {
		if e == self {
			continue
		}
		if h := affinity(gate, e); h > own || (h == own && e < self) {
			rank++
		}
	}
	return rank
}

// affinity is the hash of a gate and an entry box.
func affinity(gate, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(gate))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash: those of FNV are alike for names that differ in
// their last letter only. The constants are those of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
