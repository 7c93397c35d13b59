package node

import (
	"context"
	"net"
	"testing"
	"time"

	"rackspur/job"
	"rackspur/member"
	"rackspur/observe"
	"rackspur/owner"
	"rackspur/peer"
	"rackspur/peer/peerpb"
	"rackspur/rpc"
)

// frozenOwner is a peer.Resumer that takes in a job and then answers nothing.
type frozenOwner struct {
	incarnation string
	frozen      chan struct{}
	thawed      chan struct{}
}

func (f *frozenOwner) Incarnation() string { return f.incarnation }

func (f *frozenOwner) Announced(string, []owner.AnnouncedJob) {
	select {
	case <-f.frozen:
		<-f.thawed
	default:
	}
}

func (f *frozenOwner) Resume(context.Context, job.Submission, time.Duration) (<-chan owner.BestEffortResult, bool) {
	select {
	case <-f.frozen:
		<-f.thawed
	default:
		close(f.frozen)
	}
	return nil, true
}

// Guards against callers that wait until their own deadline for an owner that was frozen after it
// had resumed their job.
func TestResumedAtOwnerThatFreezes(t *testing.T) {
	c := newIdleCluster(t, 1, 1, quickWork)
	f := &frozenOwner{incarnation: "entry-9~1", frozen: make(chan struct{}), thawed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	metrics := observe.NewMetrics()
	server := rpc.NewServer(metrics)
	peerpb.RegisterPeerServer(server, &peer.Server{Node: "entry-9", Resumer: f, Metrics: metrics})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		close(f.thawed)
		server.Stop()
	})
	e := c.entry(0)
	e.found(member.Box{Node: "entry-9", Role: member.RoleEntry, Address: l.Addr().String(), Incarnation: f.incarnation})
	s := testJob(1, 1, true)
	e.Announced(f.incarnation, []owner.AnnouncedJob{{ID: s.ID, Left: time.Minute}})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if r := <-c.runAt(ctx, 0, s); r.State != job.StateCompleted {
		t.Errorf("result %+v, want completed", r)
	}
}
