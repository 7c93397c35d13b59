package entry

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rackspur/id"
	"rackspur/store"
	"rackspur/wire"
)

// mintMargin is how long before its end a block is no longer minted from.
const mintMargin = time.Second

// fleet is what the entry box knows of the agents.
type fleet struct {
	domain string

	mu     sync.Mutex
	agents map[string]*agentState
	// entries is the number of entry boxes that the platform lists.
	entries int
}

// agentState is what is known of one agent.
type agentState struct {
	address netip.AddrPort
	listed  bool
	// seen is when the platform last listed the box.
	seen        time.Time
	leaving     bool
	linked      bool
	incarnation id.Incarnation
	target      string
	domain      string
	load        *wire.Load
	// guess is the number of tasks sent its way since the last load report.
	guess   int
	blocks  []mintBlock
	version uint64
}

type mintBlock struct {
	number uint32
	key    []byte
	until  time.Time
}

func newFleet(domain string) *fleet {
	return &fleet{domain: domain, agents: map[string]*agentState{}, entries: 1}
}

// list takes the platform's list of boxes. What is not listed any more stays
// known for a while, so that its ids can still be answered. It returns the
// addresses that were forgotten.
func (f *fleet) list(boxes []store.Box) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, a := range f.agents {
		a.listed = false
	}
	entries := 0
	for _, b := range boxes {
		if b.Role == store.RoleEntry && b.State == store.BoxLive {
			entries++
		}
		if b.Role != store.RoleAgent {
			continue
		}
		a := f.agent(b.Address)
		if a == nil {
			continue
		}
		a.listed = true
		a.seen = now
		a.leaving = b.State == store.BoxLeaving
	}
	f.entries = max(1, entries)
	return f.forget(now)
}

// forget drops the agents that were not listed for so long that no id of theirs
// is answered any more.
func (f *fleet) forget(now time.Time) []string {
	var gone []string
	for address, a := range f.agents {
		if !a.listed && !a.linked && now.Sub(a.seen) > ledgerRetention {
			delete(f.agents, address)
			gone = append(gone, address)
		}
	}
	return gone
}

func (f *fleet) agent(address string) *agentState {
	if a := f.agents[address]; a != nil {
		return a
	}
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	a := &agentState{address: ap}
	f.agents[address] = a
	return a
}

// wanted returns the addresses to keep links to: at most limit, spread evenly
// over agents by a hash of the entry box's name.
func (f *fleet) wanted(name string, limit int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, a := range f.agents {
		if a.listed {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(name+a), xxhash.Sum64String(name+b))
	})
	return addresses[:min(limit, len(addresses))]
}

// known reports whether an address was ever listed. Only such are called, so
// that a forged id can't make the entry box call anywhere.
func (f *fleet) known(address netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[address.String()] != nil
}

// unlisted reports whether the platform no longer lists an agent's box, and no
// link to it stands.
func (f *fleet) unlisted(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.agents[address]
	return a != nil && !a.listed && !a.linked
}

// listedLeaving returns the addresses of the agents that the platform says leave.
func (f *fleet) listedLeaving() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, a := range f.agents {
		if a.leaving {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// noted takes a note of an agent's link.
func (f *fleet) noted(address string, n *wire.AgentNote) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.agent(address)
	if v, ok := id.IncarnationOf(n.GetIncarnation()); ok {
		if v != a.incarnation {
			a.blocks = nil
		}
		a.incarnation = v
		a.target = n.GetTarget()
		a.domain = n.GetDomain()
		a.linked = true
	}
	a.setLoad(n.GetLoad())
	a.version = max(a.version, n.GetConfigVersion())
	for _, b := range n.GetBlocks() {
		until := time.Now().Add(time.Duration(b.GetMintMs())*time.Millisecond - mintMargin)
		a.blocks = append(a.blocks, mintBlock{number: b.GetNumber(), key: b.GetKey(), until: until})
	}
}

// answered takes the load that an answer carries.
func (f *fleet) answered(address string, r *wire.SubmitReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.agents[address]
	if a == nil {
		return
	}
	a.version = max(a.version, r.GetConfigVersion())
	if v, ok := id.IncarnationOf(r.GetHome()); ok && v == a.incarnation {
		a.setLoad(r.GetLoad())
	}
}

func (a *agentState) setLoad(l *wire.Load) {
	if l == nil {
		return
	}
	a.load = l
	a.guess = 0
}

// unlinked tells that the link to an agent broke.
func (f *fleet) unlinked(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.agents[address]; a != nil {
		a.linked = false
		a.blocks = nil
		a.version = 0
	}
}

// version returns the configuration version an agent is known to have.
func (f *fleet) version(address string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.agents[address]; a != nil {
		return a.version
	}
	return 0
}

// forgetVersion makes the next request carry the configuration along.
func (f *fleet) forgetVersion(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.agents[address]; a != nil {
		a.version = 0
	}
}

// open reports whether the agent takes new work.
func (a *agentState) open() bool {
	return a.linked && !a.leaving && a.load != nil && !a.load.GetLeaving()
}

func (a *agentState) free() int {
	return int(a.load.GetSlots()) - int(a.load.GetRunning()) - int(a.load.GetReserved()) - a.guess
}

// busyness orders agents for the choice of a home.
func (a *agentState) busyness() float64 {
	return float64(int(a.load.GetRunning())+int(a.load.GetWaiting())+a.guess) / float64(max(1, a.load.GetSlots()))
}

// mint returns a new id for a member, or false if no linked agent can be a home.
// Of two agents drawn at random the less busy one is taken; one in the own
// failure domain goes before another that is not less busy.
func (f *fleet) mint(member string) (id.ID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var homes []*agentState
	for _, a := range f.agents {
		if a.open() && a.block(now) != nil {
			homes = append(homes, a)
		}
	}
	if len(homes) == 0 {
		return id.ID{}, false
	}
	a := homes[rand.IntN(len(homes))]
	b := homes[rand.IntN(len(homes))]
	if b.busyness() < a.busyness() || (b.busyness() == a.busyness() && b.domain == f.domain) {
		a = b
	}
	block := a.block(now)
	return id.Mint(a.address, a.incarnation, block.number, block.key, member), true
}

// block returns the newest block that may be minted from.
func (a *agentState) block(now time.Time) *mintBlock {
	for len(a.blocks) > 0 && a.blocks[0].until.Before(now) {
		a.blocks = a.blocks[1:]
	}
	if len(a.blocks) == 0 {
		return nil
	}
	return &a.blocks[len(a.blocks)-1]
}

// candidates proposes targets for a job of n tasks: those with the most free
// slots. It counts the job against the slots it is likely to take.
func (f *fleet) candidates(n, limit int) []*wire.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var open []*agentState
	for _, a := range f.agents {
		if a.open() {
			open = append(open, a)
		}
	}
	rand.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	slices.SortStableFunc(open, func(a, b *agentState) int { return cmp.Compare(b.free(), a.free()) })
	open = open[:min(limit, len(open))]
	list := make([]*wire.Candidate, len(open))
	for i, a := range open {
		list[i] = a.candidate()
		take := min(n, max(0, a.free()))
		a.guess += take
		n -= take
	}
	return list
}

func (a *agentState) candidate() *wire.Candidate {
	l := a.load
	return &wire.Candidate{
		Address:     a.address.String(),
		Incarnation: slices.Clone(a.incarnation[:]),
		Target:      a.target,
		Domain:      a.domain,
		Load: &wire.Load{
			Slots:     l.GetSlots(),
			Running:   l.GetRunning() + uint32(a.guess),
			Reserved:  l.GetReserved(),
			Waiting:   l.GetWaiting(),
			Pace:      l.GetPace(),
			ServiceUs: l.GetServiceUs(),
		},
	}
}

// AgentView is what the operators' port tells of an agent.
type AgentView struct {
	Address string `json:"address"`
	Target  string `json:"target"`
	Domain  string `json:"domain"`
	Listed  bool   `json:"listed"`
	Linked  bool   `json:"linked"`
	Leaving bool   `json:"leaving"`
	Version uint64 `json:"version"`
	Slots   uint32 `json:"slots"`
	Running uint32 `json:"running"`
	Waiting uint32 `json:"waiting"`
	Pace    uint32 `json:"pace_permille"`
}

// views returns what is known of every agent, in the order of the addresses.
func (f *fleet) views() []AgentView {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]AgentView, 0, len(f.agents))
	for address, a := range f.agents {
		list = append(list, AgentView{
			Address: address,
			Target:  a.target,
			Domain:  a.domain,
			Listed:  a.listed,
			Linked:  a.linked,
			Leaving: a.leaving || a.load.GetLeaving(),
			Version: a.version,
			Slots:   a.load.GetSlots(),
			Running: a.load.GetRunning(),
			Waiting: a.load.GetWaiting(),
			Pace:    a.load.GetPace(),
		})
	}
	slices.SortFunc(list, func(a, b AgentView) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// addressOf returns the address of the agent beside a target.
func (f *fleet) addressOf(target string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, a := range f.agents {
		if a.target == target && a.linked {
			return address, true
		}
	}
	return "", false
}

// share returns the number of entry boxes that quotas are divided over.
func (f *fleet) share() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}
