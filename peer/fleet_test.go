package peer

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/member"
)

// testLinks is a linkKeeper whose links work unless their gate is cut off or refuses them.
type testLinks struct {
	kept   map[string]member.Box
	cut    func(member.Box) bool
	refuse bool
}

func (l *testLinks) Keep(_ context.Context, d member.Box) { l.kept[d.Node] = d }
func (l *testLinks) Drop(node string)                     { delete(l.kept, node) }
func (l *testLinks) Kept() []string                       { return slices.Collect(maps.Keys(l.kept)) }

func (l *testLinks) Up(node string) bool {
	d, ok := l.kept[node]
	return ok && !l.cut(d) && !l.refuse
}

func (l *testLinks) Linked() int {
	n := 0
	for node := range l.kept {
		if l.Up(node) {
			n++
		}
	}
	return n
}

func (l *testLinks) Reached() int {
	n := 0
	for _, d := range l.kept {
		if !l.cut(d) {
			n++
		}
	}
	return n
}

// testNeeds is a Needs whose answers a test sets.
type testNeeds struct {
	short, adopting bool
	busy            map[string]bool
}

func (n *testNeeds) ShortOfRoom() bool     { return n.short }
func (n *testNeeds) Adopting() bool        { return n.adopting }
func (n *testNeeds) Busy(gate string) bool { return n.busy[gate] }

// fleetFixture is the Fleet of one of 55 entry boxes in a deployment with 240 gates.
type fleetFixture struct {
	*Fleet
	t     *testing.T
	links *testLinks
	needs *testNeeds
	now   time.Time
}

func newFleetFixture(t *testing.T) *fleetFixture {
	entries, gates := testFleet(55, 240)
	b := &fleetFixture{
		t: t, now: time.Now(), needs: &testNeeds{busy: map[string]bool{}},
		links: &testLinks{kept: map[string]member.Box{}, cut: func(member.Box) bool { return false }},
	}
	b.Fleet = NewFleet(testEntry(entries[0]), b.links, b.needs, logr.Discard())
	for _, e := range entries {
		b.AddBox(member.Box{Node: e, Role: member.RoleEntry})
	}
	for _, g := range gates {
		g.Role = member.RoleAgent
		b.AddBox(g)
	}
	b.advance(0)
	return b
}

// advance lets d pass, with a review at each interval.
func (b *fleetFixture) advance(d time.Duration) {
	for end := b.now.Add(d); !b.now.After(end); b.now = b.now.Add(reviewInterval) {
		b.review(b.t.Context(), b.now)
	}
}

// While tasks wait for capacity twice the share is linked; later only the share is again.
func TestFleetWidensWithoutRoom(t *testing.T) {
	b := newFleetFixture(t)
	share := len(b.links.kept)
	if share != len(b.share.own) {
		t.Fatalf("%d links, the share is %d", share, len(b.share.own))
	}
	b.needs.short = true
	b.advance(time.Second)
	if n := len(b.links.kept); n != 2*share {
		t.Errorf("%d links while tasks wait, want %d", n, 2*share)
	}
	b.needs.short = false
	b.advance(keepExtraFor + time.Second)
	if n := len(b.links.kept); n != share {
		t.Errorf("%d links later, want %d", n, share)
	}
}

// An entry box that reaches only its own failure domain links to further gates there.
func TestFleetBehindCut(t *testing.T) {
	b := newFleetFixture(t)
	b.links.cut = func(d member.Box) bool { return d.Zone != "zone-0" }
	b.advance(shareTimeout + 10*reviewInterval)
	if n := b.links.Linked(); 2*n < len(b.share.own) {
		t.Errorf("%d gates can be reached, want half of the share of %d", n, len(b.share.own))
	}
}

// Gates that refuse links for a while, as all do after a start, don't cause links beyond the
// share.
func TestFleetTurnedAway(t *testing.T) {
	b := newFleetFixture(t)
	share := len(b.share.own)
	b.links.refuse = true
	b.advance(2 * shareTimeout)
	if n := len(b.links.kept); n != share {
		t.Errorf("%d links while gates turn them away, the share is %d", n, share)
	}
}

// While jobs are taken over every gate is linked.
func TestFleetWhileAdopting(t *testing.T) {
	b := newFleetFixture(t)
	b.needs.adopting = true
	b.advance(0)
	if n := len(b.links.kept); n != 240 {
		t.Errorf("%d links, want all 240", n)
	}
}

// A link beyond the share is kept while the owner has runs at its gate.
func TestFleetKeepsBusyLink(t *testing.T) {
	b := newFleetFixture(t)
	b.needs.adopting = true
	b.advance(0)
	beyond := b.share.beyond(1)[0].Node
	b.needs.adopting = false
	b.needs.busy[beyond] = true
	b.advance(keepExtraFor)
	if len(b.links.kept) != len(b.share.own)+1 || !b.links.Up(beyond) {
		t.Errorf("%d links, that with runs kept: %v", len(b.links.kept), b.links.Up(beyond))
	}
	b.needs.busy[beyond] = false
	b.advance(0)
	if b.links.Up(beyond) {
		t.Error("the link stays without runs")
	}
}

// A gate that has asked for a link keeps it as long as it works.
func TestFleetInvited(t *testing.T) {
	b := newFleetFixture(t)
	invited := b.share.beyond(1)[0]
	b.Invited(invited)
	b.advance(2 * keepExtraFor)
	if !b.links.Up(invited.Node) {
		t.Fatal("no link to the gate that asked for one")
	}
	b.links.cut = func(d member.Box) bool { return d.Node == invited.Node }
	b.advance(keepExtraFor + time.Second)
	if _, kept := b.links.kept[invited.Node]; kept {
		t.Error("a link that does not work is kept")
	}
}

// A late invitation of a former process of a gate does not replace the one that is linked, and
// no other for longer than the invitation counts.
func TestFleetLateInvitation(t *testing.T) {
	for name, linked := range map[string]bool{"linked": true, "not linked": false} {
		t.Run(name, func(t *testing.T) {
			b := newFleetFixture(t)
			current := b.share.own[0]
			current.Incarnation = current.Node + "~new"
			b.AddBox(current)
			b.advance(0)
			former := current
			former.Incarnation, former.Address = current.Node+"~old", "127.0.0.1:1"
			b.links.cut = func(d member.Box) bool { return d == former || d == current && !linked }
			b.Invited(former)
			b.advance(0)
			if got := b.links.kept[current.Node]; linked && got != current {
				t.Errorf("the link to %+v was replaced by one to %+v", current, got)
			}
			b.advance(keepExtraFor + time.Second)
			if got := b.links.kept[current.Node]; got != current {
				t.Errorf("linked to %+v, want %+v", got, current)
			}
		})
	}
}

// A gate that invites before the membership has named its new process is linked at once, and the
// membership's word counts from then on.
func TestFleetInvitedByNewProcess(t *testing.T) {
	b := newFleetFixture(t)
	former := b.share.own[0]
	b.links.cut = func(d member.Box) bool { return d == former }
	current := former
	current.Incarnation, current.Address = former.Node+"~new", "127.0.0.1:1"
	b.Invited(current)
	b.advance(2 * keepExtraFor)
	if got := b.links.kept[former.Node]; got != current {
		t.Errorf("linked to %+v, want %+v, which has asked", got, current)
	}
	b.AddBox(current)
	later := current
	later.Incarnation = former.Node + "~later"
	b.AddBox(later)
	b.advance(0)
	if got := b.links.kept[former.Node]; got != later {
		t.Errorf("linked to %+v, want %+v, which the membership names", got, later)
	}
}
