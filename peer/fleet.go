package peer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/member"
)

// Times and bounds of the choice of the gates that are linked.
const (
	// reviewPause is the time between two looks at what is linked.
	reviewPause = 200 * time.Millisecond
	// gatherPause is how long changes of the membership are gathered.
	gatherPause = 20 * time.Millisecond
	// shareTimeout is how long half of the share may be without links before
	// gates beyond it are linked: making a link takes firstFrameTimeout at most.
	shareTimeout = time.Second
	// widerFor is how long links beyond the share are kept once they are not
	// needed any more.
	widerFor = 5 * time.Second
)

// Needs tells what an owner needs beyond its share of the gates.
type Needs interface {
	// Short says whether tasks wait since the linked gates have no room.
	Short() bool
	// Adopting says whether runs of jobs that are taken over may be at any gate.
	Adopting() bool
	// Busy says whether the owner has runs, or something to say, at a gate.
	Busy(gate string) bool
}

// linkKeeper keeps the links that a fleet has chosen.
type linkKeeper interface {
	Keep(ctx context.Context, d member.Daemon)
	Drop(node string)
	// Kept returns the gates that links are kept to.
	Kept() []string
	// Up says whether the link to a gate works, Linked how many do.
	Up(node string) bool
	Linked() int
}

// Fleet chooses the gates that an owner is linked to: its share, more while that
// has no room or can't be reached, all while jobs are taken over, and those that
// have asked for a link.
type Fleet struct {
	self  member.Daemon
	links linkKeeper
	needs Needs
	log   logr.Logger
	// changed is poked when something was found.
	changed chan struct{}

	mu      sync.Mutex
	entries map[string]bool
	gates   map[string]member.Daemon
	// invited is when a gate last asked for a link.
	invited map[string]time.Time
	// stale says that the share has to be computed anew.
	stale bool
	share share
	// extra is how many gates are linked beyond the share, extraUsed when they
	// were last needed.
	extra     int
	extraUsed time.Time
	// poorSince is since when less than half of the share is linked.
	poorSince time.Time
}

// NewFleet returns a fleet of which nothing is known yet but the own entry box.
func NewFleet(self member.Daemon, l linkKeeper, n Needs, log logr.Logger) *Fleet {
	return &Fleet{
		self: self, links: l, needs: n, log: log, changed: make(chan struct{}, 1),
		entries: map[string]bool{self.Node: true}, gates: map[string]member.Daemon{}, invited: map[string]time.Time{},
		stale: true,
	}
}

// Found takes in a daemon of the membership.
func (f *Fleet) Found(d member.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.take(d)
}

func (f *Fleet) take(d member.Daemon) {
	switch d.Role {
	case member.RoleEntry:
		f.stale = f.stale || !f.entries[d.Node]
		f.entries[d.Node] = true
	case member.RoleAgent:
		if f.gates[d.Node] == d {
			return
		}
		f.gates[d.Node] = d
		f.stale = true
	}
	poker(f.changed)()
}

// Invited takes in that a gate asks for a link, since it has few owners.
func (f *Fleet) Invited(d member.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.take(d)
	f.invited[d.Node] = time.Now()
	poker(f.changed)()
}

// Entries returns the number of entry boxes of the membership.
func (f *Fleet) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entries)
}

// Run keeps the links that are wanted until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.review(ctx, time.Now())
		await(ctx, f.changed, reviewPause)
		wait.For(ctx, gatherPause)
	}
}

// review makes and closes links.
func (f *Fleet) review(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale {
		f.stale = false
		f.share = newShare(f.self, slices.Collect(maps.Keys(f.entries)), slices.Collect(maps.Values(f.gates)))
	}
	f.widen(now)
	wanted := map[string]bool{}
	for i, d := range f.share.gates {
		if i < f.share.base+f.extra || f.needs.Adopting() || f.isInvited(now, d.Node) {
			wanted[d.Node] = true
			f.links.Keep(ctx, d)
		}
	}
	for _, node := range f.links.Kept() {
		if !wanted[node] && !f.needs.Busy(node) {
			f.links.Drop(node)
		}
	}
}

// isInvited says whether a gate has asked for a link and either has it or has
// asked a moment ago.
func (f *Fleet) isInvited(now time.Time, node string) bool {
	at, ok := f.invited[node]
	if !ok {
		return false
	}
	if f.links.Up(node) || now.Sub(at) < widerFor {
		return true
	}
	delete(f.invited, node)
	return false
}

// widen decides how many gates are linked beyond the share: as many again while
// tasks wait for room, and more with each look while half of the share can't be
// reached.
func (f *Fleet) widen(now time.Time) {
	most := len(f.share.gates) - f.share.base
	switch {
	case f.poor(now):
		f.wider(now, min(most, f.extra+max(1, f.share.base/2)))
	case f.needs.Short():
		f.wider(now, min(most, max(f.extra, f.share.base)))
	case f.extra > 0 && now.Sub(f.extraUsed) > widerFor:
		f.extra = 0
	}
}

func (f *Fleet) wider(now time.Time, extra int) {
	f.extraUsed = now
	if extra > f.extra {
		f.log.Info("Links go beyond the share.", "share", f.share.base, "beyond", extra, "linked", f.links.Linked())
	}
	f.extra = max(f.extra, extra)
}

// poor says whether fewer gates than half of the share have been linked for long.
func (f *Fleet) poor(now time.Time) bool {
	if 2*f.links.Linked() >= f.share.base {
		f.poorSince = time.Time{}
		return false
	}
	if f.poorSince.IsZero() {
		f.poorSince = now
	}
	return now.Sub(f.poorSince) > shareTimeout
}
