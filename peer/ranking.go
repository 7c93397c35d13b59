package peer

import (
	"rackspur/internal/rendezvous"
	"rackspur/member"
)

// ranking holds the rank of this entry box at each gate: how many other entry boxes come
// before it by rendezvous hashing. It is updated incrementally: adding or removing an entry
// box costs one hash per gate, adding a gate one hash per entry box, and a new process of
// a known box none. Computing all ranks for each batch of changes took 12 ms of a core with
// 184 entry boxes and 800 gates, and 42 ms with twice as many.
type ranking struct {
	self    string
	entries map[string]bool
	gates   map[string]*rankedGate
	// hashCount is the number of hashes computed so far.
	hashCount int
}

// rankedGate is a gate and the rank of this entry box there.
type rankedGate struct {
	box member.Box
	// ownHash is the hash of the gate and this entry box.
	ownHash uint64
	rank    int
}

func newRanking(self string) *ranking {
	return &ranking{self: self, entries: map[string]bool{self: true}, gates: map[string]*rankedGate{}}
}

// addEntry adds an entry box; it returns false if the box is known already.
func (r *ranking) addEntry(name string) bool {
	if r.entries[name] {
		return false
	}
	r.entries[name] = true
	r.shiftRanks(name, 1)
	return true
}

// removeEntry removes an entry box other than this one; it returns false if it is unknown.
func (r *ranking) removeEntry(name string) bool {
	if !r.entries[name] || name == r.self {
		return false
	}
	delete(r.entries, name)
	r.shiftRanks(name, -1)
	return true
}

// shiftRanks adds by to the rank at each gate where the entry box outranks this one.
func (r *ranking) shiftRanks(entry string, by int) {
	for name, g := range r.gates {
		if r.outranks(name, g.ownHash, entry) {
			g.rank += by
		}
	}
}

// outranks reports whether an entry box comes before this one at a gate.
func (r *ranking) outranks(gate string, own uint64, entry string) bool {
	h := r.hash(gate, entry)
	return h > own || (h == own && entry < r.self)
}

// addGate adds a gate, or replaces its box if it is known.
func (r *ranking) addGate(d member.Box) {
	if g := r.gates[d.Node]; g != nil {
		g.box = d
		return
	}
	g := &rankedGate{box: d, ownHash: r.hash(d.Node, r.self)}
	for e := range r.entries {
		if e != r.self && r.outranks(d.Node, g.ownHash, e) {
			g.rank++
		}
	}
	r.gates[d.Node] = g
}

// knows reports whether a gate is known with exactly these data.
func (r *ranking) knows(d member.Box) bool {
	g := r.gates[d.Node]
	return g != nil && g.box == d
}

// removeGate removes a gate; it returns false if it is unknown.
func (r *ranking) removeGate(name string) bool {
	known := r.gates[name] != nil
	delete(r.gates, name)
	return known
}

// hash returns the hash of a gate and an entry box.
func (r *ranking) hash(gate, entry string) uint64 {
	r.hashCount++
	return rendezvous.Hash(gate, entry)
}
