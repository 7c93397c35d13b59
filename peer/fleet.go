package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/member"
)

// Parameters for choosing the gates to link to.
const (
	// reviewInterval is the longest time between two reviews of the links.
	reviewInterval = 200 * time.Millisecond
	// changeDelay is how long membership changes are collected before the next review.
	changeDelay = 20 * time.Millisecond
	// shareTimeout is how long less than half of the share may be reached before gates
	// beyond it are linked. It exceeds firstFrameTimeout, the time to make a link.
	shareTimeout = time.Second
	// linkedFraction is the part of the share that counts as linked in the log; it
	// tolerates a box that is down.
	linkedFraction = 0.95
	// keepExtraFor is how long links beyond the share are kept after they were last needed.
	keepExtraFor = 5 * time.Second
)

// Needs reports why an owner needs gates beyond its share.
type Needs interface {
	// ShortOfRoom reports whether tasks wait because the linked gates have no capacity left.
	ShortOfRoom() bool
	// Adopting reports whether the owner is taking over jobs, whose runs may be at any gate.
	Adopting() bool
	// Busy reports whether the owner has runs at a gate or frames to send to it.
	Busy(gate string) bool
}

// linkKeeper maintains the links that a Fleet has chosen.
type linkKeeper interface {
	Keep(ctx context.Context, d member.Box)
	Drop(node string)
	// Kept returns the gates that Keep was called for.
	Kept() []string
	// Up reports whether the link to a gate works.
	Up(node string) bool
	// Linked returns the number of links that work.
	Linked() int
	// Reached returns the number of links that work or were refused by their gate.
	Reached() int
}

// Fleet chooses the gates that an owner is linked to: its share, further gates while
// the share has no capacity or can't be reached, all gates while jobs are taken over,
// and the gates that have asked for a link.
type Fleet struct {
	self  member.Box
	links linkKeeper
	needs Needs
	log   logr.Logger
	// changed triggers a review.
	changed chan struct{}

	mu      sync.Mutex
	ranking *ranking
	// invited holds the newest invitation of each gate.
	invited map[string]invitation
	// stale is set when the share has to be recomputed from the ranking.
	stale bool
	share share
	// extra is the number of gates linked beyond the share, extraUsed when they were last
	// needed.
	extra     int
	extraUsed time.Time
	// belowHalfSince is when less than half of the share became reachable; zero while at
	// least half is.
	belowHalfSince time.Time
	// incompleteSince is when less than linkedFraction of the share was linked; zero while
	// enough is.
	incompleteSince time.Time
}

// invitation is a gate's request for a link.
type invitation struct {
	at time.Time
	// box is the box that asked; the zero value if the membership's box is used.
	box member.Box
}

// NewFleet returns a fleet that knows only the entry box it runs on.
func NewFleet(self member.Box, l linkKeeper, n Needs, log logr.Logger) *Fleet {
	return &Fleet{
		self: self, links: l, needs: n, log: log, changed: make(chan struct{}, 1),
		ranking: newRanking(self.Node), invited: map[string]invitation{}, stale: true,
	}
}

// AddBox adds or updates a box of the membership.
func (f *Fleet) AddBox(d member.Box) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(d)
}

func (f *Fleet) add(d member.Box) {
	switch d.Role {
	case member.RoleEntry:
		if !f.ranking.addEntry(d.Node) {
			return
		}
	case member.RoleAgent:
		if f.ranking.knows(d) {
			return
		}
		f.ranking.addGate(d)
		if i, ok := f.invited[d.Node]; ok {
			f.invited[d.Node] = invitation{at: i.at}
		}
	}
	f.stale = true
	notifier(f.changed)()
}

// RemoveBox removes a box that has left the membership.
func (f *Fleet) RemoveBox(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale = f.ranking.removeEntry(node) || f.ranking.removeGate(node) || f.stale
	delete(f.invited, node)
	notifier(f.changed)()
}

// Invited records that a gate with too few owners asks for a link. The invitation may be a late
// one of a former process: a box that the membership has named is replaced only for as long as
// the invitation counts, and not while its link works.
func (f *Fleet) Invited(d member.Box) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := invitation{at: time.Now()}
	switch {
	case f.ranking.gates[d.Node] == nil:
		f.add(d)
	case !f.links.Up(d.Node):
		i.box = d
	default:
		i.box = f.invited[d.Node].box
	}
	f.invited[d.Node] = i
	notifier(f.changed)()
}

// Entries returns the number of entry boxes of the membership.
func (f *Fleet) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ranking.entries)
}

// Run maintains the wanted links until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.review(ctx, time.Now())
		await(ctx, f.changed, reviewInterval)
		wait.For(ctx, changeDelay)
	}
}

// review opens the links that are wanted and closes the others.
func (f *Fleet) review(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale {
		f.stale = false
		f.share = newShare(f.ranking, f.self.Zone)
	}
	f.logLinked(now)
	f.adjustExtra(now)
	wanted := map[string]bool{}
	for _, d := range f.wanted(now) {
		wanted[d.Node] = true
		f.links.Keep(ctx, d)
	}
	for _, node := range f.links.Kept() {
		if !wanted[node] && !f.needs.Busy(node) {
			f.links.Drop(node)
		}
	}
}

// logLinked logs how long it took until the share was linked, at the start or after a loss.
func (f *Fleet) logLinked(now time.Time) {
	linked, share := f.links.Linked(), len(f.share.own)
	whole := share > 0 && float64(linked) >= linkedFraction*float64(share)
	switch {
	case !whole && f.incompleteSince.IsZero():
		f.incompleteSince = now
	case whole && !f.incompleteSince.IsZero():
		f.log.Info("Share of the gates is linked.", "share", share, "linked", linked, "tookMS", now.Sub(f.incompleteSince).Milliseconds())
		f.incompleteSince = time.Time{}
	}
}

// wanted returns the gates to link to: the share, the extra gates beyond it, and those
// that have asked for a link.
func (f *Fleet) wanted(now time.Time) []member.Box {
	beyond := min(f.extra, len(f.share.rest))
	if f.needs.Adopting() {
		beyond = len(f.share.rest)
	}
	gates := slices.Concat(f.share.own, f.share.beyond(beyond))
	for node := range f.invited {
		if f.isInvited(now, node) {
			gates = append(gates, f.ranking.gates[node].box)
		}
	}
	for i, d := range gates {
		if asked := f.invited[d.Node].box; asked != (member.Box{}) {
			gates[i] = asked
		}
	}
	return gates
}

// isInvited reports whether a gate has asked for a link and either has it or asked
// less than keepExtraFor ago.
func (f *Fleet) isInvited(now time.Time, node string) bool {
	i, ok := f.invited[node]
	if !ok {
		return false
	}
	if f.links.Up(node) || now.Sub(i.at) < keepExtraFor {
		return true
	}
	delete(f.invited, node)
	return false
}

// adjustExtra sets the number of gates linked beyond the share: as many as the share has
// while tasks wait for capacity, and more with each review while half of the share can't
// be reached.
func (f *Fleet) adjustExtra(now time.Time) {
	most := len(f.share.rest)
	own := len(f.share.own)
	switch {
	case f.belowHalf(now):
		f.raiseExtra(now, min(most, f.extra+max(1, own/2)))
	case f.needs.ShortOfRoom():
		f.raiseExtra(now, min(most, max(f.extra, own)))
	case f.extra > 0 && now.Sub(f.extraUsed) > keepExtraFor:
		f.extra = 0
	}
}

func (f *Fleet) raiseExtra(now time.Time, extra int) {
	f.extraUsed = now
	if extra > f.extra {
		f.log.Info("Linking to gates beyond the share.", "share", len(f.share.own), "beyond", extra, "linked", f.links.Linked())
	}
	f.extra = max(f.extra, extra)
}

// belowHalf reports whether less than half of the share has been reached for longer than
// shareTimeout. Gates that refuse links count as reached: after a start a gate accepts none
// until its target has listed its runs or the longest lease has expired. Otherwise each of
// 184 entry boxes made 32 links beyond its share whenever all boxes started.
func (f *Fleet) belowHalf(now time.Time) bool {
	if 2*f.links.Reached() >= len(f.share.own) {
		f.belowHalfSince = time.Time{}
		return false
	}
	if f.belowHalfSince.IsZero() {
		f.belowHalfSince = now
	}
	return now.Sub(f.belowHalfSince) > shareTimeout
}
