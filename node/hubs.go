package node

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"rackspur/internal/rendezvous"
	"rackspur/member"
	"rackspur/peer/peerpb"
)

// In a large fleet, a few entry boxes serve as hubs: the others get changes of the store
// from a hub and send it their transactions to be merged. The load on the store then grows
// with the number of hubs. A box whose hub fails falls back to the store at once.

// Sizes and pauses of hubs.
const (
	// boxesPerHub is how many entry boxes share a hub. It sends a configuration of 60 kB to
	// all of them at once, which takes 8 ms at 1,000 Mbit/s; a hub has at least a fifth of
	// that bandwidth.
	boxesPerHub = 16
	// minEntriesForHubs is the number of entry boxes from which hubs are used; fewer put
	// little load on the store.
	minEntriesForHubs = 2 * boxesPerHub
	// hubPause is how long a failed hub is avoided; it doubles with each further failure, up
	// to maxHubPause.
	hubPause    = 5 * time.Second
	maxHubPause = 40 * time.Second
)

// hubs selects the hub of an entry box.
type hubs struct {
	self string
	// known returns the known boxes of the membership.
	known func() []member.Box

	mu sync.Mutex
	// all are the selected hubs; ranked are the same in this box's order of preference, or
	// none if it is a hub itself. Both are valid while chosen is set.
	all, ranked []member.Box
	chosen      bool
	failed      map[string]hubFailure
}

// hubFailure is the time until which a failed hub is avoided, and the length of that pause.
type hubFailure struct {
	until time.Time
	pause time.Duration
}

func newHubs(self string, known func() []member.Box) *hubs {
	return &hubs{self: self, known: known, failed: map[string]hubFailure{}}
}

// invalidate makes the hubs be selected again after a change of the membership.
func (h *hubs) invalidate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chosen = false
}

// hub returns the hub to use; ok is false if the box should use the store directly.
func (h *hubs) hub(now time.Time) (b member.Box, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.choose()
	return h.firstUsable(now, h.ranked)
}

// writer returns the hub that merges the transactions of a part of the store, possibly
// this box; ok is false if there is none. Boxes with the same view of the membership and
// of failed hubs select the same one.
func (h *hubs) writer(now time.Time, part string) (b member.Box, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.choose()
	ranked := slices.Clone(h.all)
	sortByHash(part, ranked)
	return h.firstUsable(now, ranked)
}

// firstUsable returns the first of the ranked hubs that is not being avoided.
func (h *hubs) firstUsable(now time.Time, ranked []member.Box) (b member.Box, ok bool) {
	for _, b := range ranked {
		if !now.Before(h.failed[b.Node].until) {
			return b, true
		}
	}
	return member.Box{}, false
}

// choose selects the hubs unless the selection is still valid. They are the boxes with
// wide links that rank first by hash, so that boxes with the same view of the membership
// select the same ones.
func (h *hubs) choose() {
	if h.chosen {
		return
	}
	h.chosen = true
	h.all, h.ranked = nil, nil
	entries := 0
	var wide []member.Box
	for _, b := range h.known() {
		if b.Role != member.RoleEntry {
			continue
		}
		entries++
		if b.Wide {
			wide = append(wide, b)
		}
	}
	if entries < minEntriesForHubs {
		return
	}
	sortByHash("hub", wide)
	h.all = wide[:min(entries/boxesPerHub, len(wide))]
	if slices.ContainsFunc(h.all, func(b member.Box) bool { return b.Node == h.self }) {
		return
	}
	h.ranked = slices.Clone(h.all)
	sortByHash(h.self, h.ranked)
}

// sortByHash sorts boxes by the rendezvous hash of the key and their node, highest first.
func sortByHash(key string, all []member.Box) {
	slices.SortFunc(all, func(a, b member.Box) int {
		return cmp.Compare(rendezvous.Hash(key, b.Node), rendezvous.Hash(key, a.Node))
	})
}

// markAnswered clears a hub's failure.
func (h *hubs) markAnswered(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failed, node)
}

// markFailed records that a hub did not answer or can't reach the store.
func (h *hubs) markFailed(now time.Time, node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pause := min(max(hubPause, 2*h.failed[node].pause), maxHubPause)
	h.failed[node] = hubFailure{until: now.Add(pause), pause: pause}
	maps.DeleteFunc(h.failed, func(_ string, f hubFailure) bool { return now.Sub(f.until) > maxHubPause })
}

// Hub implements peer.Hubs.Hub.
func (e *Entry) Hub() (hub peerpb.PeerClient, node string, ok bool) {
	b, ok := e.hubs.hub(time.Now())
	if !ok {
		return nil, "", false
	}
	return e.hubClient(b)
}

// Writer implements peer.Hubs.Writer.
func (e *Entry) Writer(part string) (hub peerpb.PeerClient, node string, ok bool) {
	b, ok := e.hubs.writer(time.Now(), part)
	if !ok || b.Node == e.options.Node {
		return nil, b.Node, ok
	}
	return e.hubClient(b)
}

func (e *Entry) hubClient(b member.Box) (hub peerpb.PeerClient, node string, ok bool) {
	client, err := e.askClient(b.Address)
	if err != nil {
		e.HubFailed(b.Node)
		return nil, "", false
	}
	return client, b.Node, true
}

// HubAnswered implements peer.Hubs.HubAnswered.
func (e *Entry) HubAnswered(node string) { e.hubs.markAnswered(node) }

// HubFailed implements peer.Hubs.HubFailed. It closes the connection, which may be broken.
func (e *Entry) HubFailed(node string) {
	e.hubs.markFailed(time.Now(), node)
	e.mu.Lock()
	b, ok := e.boxes[node]
	e.mu.Unlock()
	if ok {
		e.closeAskClient(b.Address)
	}
}
