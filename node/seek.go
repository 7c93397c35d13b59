package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/member"
	"rackspur/observe"
	"rackspur/peer/peerpb"
	"rackspur/rowstore"
	"rackspur/rpc"
)

// Limits of a gate's search for owners. All entry boxes that are linked to a gate may be
// lost at once, which the others do not notice, since each knows its own links only.
const (
	// minOwners is how many owners a gate should have: with fewer, a single loss can leave
	// its target without work.
	minOwners = 3
	// seekPause is the pause between two checks. After a restart of all boxes, links are
	// restored within a second.
	seekPause = 2 * time.Second
	// maxSeekPause is the longest pause while no further entry box answers.
	maxSeekPause  = 30 * time.Second
	inviteTimeout = 400 * time.Millisecond
	// entriesSampled is how many entry boxes are read: enough to find three that answer when
	// four in five are lost.
	entriesSampled = 16
)

// linkedGate is a gate that needs owners.
type linkedGate interface {
	// LinkedOwners returns the incarnations of the linked owners.
	LinkedOwners() []string
}

// ownerSeeker invites entry boxes to link to a gate that has too few owners.
type ownerSeeker struct {
	store   rowstore.Store
	gate    linkedGate
	box     member.Box
	metrics *observe.Metrics
	// unreadable records rows of boxes that can't be decoded; it may be nil.
	unreadable *observe.UnreadableLog
	log        logr.Logger
}

// run checks the gate's links until the context ends.
func (s *ownerSeeker) run(ctx context.Context) {
	pause := seekPause
	for ctx.Err() == nil {
		wait.For(ctx, pause)
		linked := s.gate.LinkedOwners()
		if len(linked) >= minOwners {
			pause = seekPause
			continue
		}
		if s.seek(ctx, linked) > 0 {
			pause = seekPause
			continue
		}
		pause = min(2*pause, maxSeekPause)
	}
}

// seek invites entry boxes until the gate has minOwners, and returns how many accepted.
func (s *ownerSeeker) seek(ctx context.Context, linked []string) (invited int) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	boxes, err := member.SampleEntries(readCtx, s.store, entriesSampled, s.unreadable)
	if err != nil {
		s.log.Info("Entry boxes not read; the gate has few owners.", "owners", len(linked), "error", err.Error())
		return 0
	}
	for _, b := range unlinkedEntries(boxes, linked) {
		if len(linked)+invited >= minOwners || ctx.Err() != nil {
			break
		}
		if err := s.invite(ctx, b); err != nil {
			s.log.V(1).Info("Entry box not invited.", "entry", b.Node, "error", err.Error())
			continue
		}
		invited++
	}
	if invited > 0 {
		s.log.Info("Invited entry boxes; the gate has few owners.", "owners", len(linked), "invited", invited)
	}
	return invited
}

// unlinkedEntries returns the entry boxes that are not linked, in random order.
func unlinkedEntries(boxes []member.Box, linked []string) []member.Box {
	has := map[string]bool{}
	for _, incarnation := range linked {
		has[member.NodeOf(incarnation)] = true
	}
	var rest []member.Box
	for _, b := range boxes {
		if b.Role == member.RoleEntry && !has[b.Node] {
			rest = append(rest, b)
		}
	}
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return rest
}

// invite asks an entry box to link to this gate.
func (s *ownerSeeker) invite(ctx context.Context, b member.Box) error {
	conn, err := rpc.Dial(b.Address, s.metrics)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, inviteTimeout)
	defer cancel()
	_, err = peerpb.NewPeerClient(conn).Invite(ctx, &peerpb.Invitation{
		Node: s.box.Node, Zone: s.box.Zone, Address: s.box.Address, Incarnation: s.box.Incarnation,
	})
	return err
}
