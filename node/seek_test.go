package node

import (
	"context"
	"testing"

	"github.com/go-logr/logr"

	"rackspur/member"
	"rackspur/observe"
	"rackspur/peer/peerpb"
	"rackspur/rowstore"
	"rackspur/rpc"
)

// A gate that has lost its owners gets links to the remaining entry boxes, even if none of
// them would link to it otherwise. Entry boxes that are gone are skipped.
func TestGateWithoutOwnersInvites(t *testing.T) {
	c := newIdleCluster(t, 2, 1, quickWork)
	gone := member.Box{Node: "entry-gone", Role: member.RoleEntry, Address: "127.0.0.1:1", Incarnation: "entry-gone~a"}
	member.Register(t.Context(), c.store, gone, logr.Discard())
	s := &ownerSeeker{store: c.store, box: member.Box{Node: "agent-lonely", Address: "127.0.0.1:2", Incarnation: "agent-lonely~a"}, metrics: observe.NewMetrics(), log: logr.Discard()}
	if n := s.seek(t.Context(), nil); n != 2 {
		t.Errorf("%d entry boxes invited, want the 2 that run", n)
	}
	for i := range 2 {
		c.until("the invited gate is known", func() bool { return c.entry(i).current.Load().owner.HasGate("agent-lonely") })
	}
	linked := []string{c.entry(0).Incarnation()}
	if n := s.seek(t.Context(), linked); n != 1 {
		t.Errorf("%d entry boxes invited beside a linked one, want 1", n)
	}
}

// The search for owners finds no entry box while the store is unavailable, and succeeds
// after that.
func TestSeekerOutage(t *testing.T) {
	c := newIdleCluster(t, 1, 1, quickWork)
	c.store.SetFault(func(rowstore.Call) rowstore.Fault { return rowstore.FaultRefuse })
	s := &ownerSeeker{store: c.store, metrics: observe.NewMetrics(), log: logr.Discard()}
	if n := s.seek(t.Context(), nil); n != 0 {
		t.Errorf("%d entry boxes invited without the membership", n)
	}
	c.store.SetFault(nil)
	if n := s.seek(t.Context(), nil); n != 1 {
		t.Errorf("%d entry boxes invited after the outage, want 1", n)
	}
}

// An agent refuses invitations.
func TestAgentRefusesInvitation(t *testing.T) {
	c := newIdleCluster(t, 1, 1, quickWork)
	conn, err := rpc.Dial(c.agents[0].box.box.Address, observe.NewMetrics())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := peerpb.NewPeerClient(conn).Invite(context.Background(), &peerpb.Invitation{Node: "x"}); err == nil {
		t.Error("the agent accepted an invitation")
	}
}
