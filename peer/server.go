// Package peer implements the communication between processes of a deployment: links
// from owners to gates, store calls that are relayed by a peer, and questions to other
// owners. A link may be relayed by a peer when the direct connection fails.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/member"
	"rackspur/observe"
	"rackspur/peer/peerpb"
	"rackspur/rowstore"
	"rackspur/rpc"
)

// targetHeader carries the address that a relayed link is to be passed on to.
const targetHeader = "rackspur-target"

// ErrLink is returned when a link can't be served or has ended.
var ErrLink = eris.New("peer: link")

// Times of links.
const (
	// heartbeat is the longest time between two frames of an owner that has runs at the gate.
	heartbeat = 250 * time.Millisecond
	// reportHeartbeat is the longest time between two frames of such a gate. It may be
	// exceeded by half if the last frame was sent shortly before a beat.
	reportHeartbeat = 125 * time.Millisecond
	// minIdleReport and maxIdleReport bound the time between two frames of a gate without
	// runs of the owner. The owner's next order echoes the clock of the newest one, which
	// must be younger than the contact time.
	minIdleReport = 400 * time.Millisecond
	maxIdleReport = 600 * time.Millisecond
	// idleHeartbeat is the time between two frames of an owner without runs at the gate.
	idleHeartbeat = 2 * time.Second
	// minReportPause is the shortest time between two frames to an owner that hold only a
	// report. It is raised so that a gate sends at most reportRate of them a second to all
	// owners together, and an owner receives at most ownerReportRate a second.
	minReportPause  = 30 * time.Millisecond
	reportRate      = 120
	ownerReportRate = 300
	// maxReportPause bounds the pause that an owner asks for: placement needs reports
	// that are not much older than the run time of a short task.
	maxReportPause = 150 * time.Millisecond
	// frameTimeout is how long a link may go without a frame.
	frameTimeout = 900 * time.Millisecond
	// busyFrameTimeout is how long a link with runs at its gate may go without a frame
	// before the connection is probed. It allows for two intervals of reportHeartbeat,
	// the second exceeded by half, and 40 ms of latency. A dead connection holds up
	// everything that is sent over it.
	busyFrameTimeout = 350 * time.Millisecond
)

// Gate is the gate of a process.
type Gate interface {
	Connect(owner string, link uint64, wake func()) bool
	Disconnect(owner string, link uint64)
	Frame(owner string, link uint64, f gate.OwnerFrame) bool
	Flush(owner string, link uint64) (gate.Frame, bool)
	Pending(owner string) bool
	// HasRuns reports whether the gate has runs of an owner, or runs without an owner.
	HasRuns(owner string) bool
	// OpenOwners returns the number of owners that are linked.
	OpenOwners() int
	// OnReport sets the function that is called when there is a new report for all
	// owners. The function must not call the gate.
	OnReport(changed func())
	// ReportVersion returns how often the report has changed.
	ReportVersion() uint64
}

// JobAnswerer answers the questions of other owners.
type JobAnswerer interface {
	Incarnation() string
	// State returns the state of a job of this process, and may wait for its end.
	State(ctx context.Context, id job.ID) (job.State, bool)
	Cancel(id job.ID, done func(ok bool)) bool
}

// Inviter handles the invitations of gates that ask for links.
type Inviter interface {
	Invited(d member.Box)
}

// Server serves the requests of other processes.
type Server struct {
	peerpb.UnimplementedPeerServer
	// Node is the name of this process's box.
	Node string
	// Incarnation names this process.
	Incarnation string
	// Gate is nil if the process has no gate.
	Gate Gate
	// Owner is nil if the process has no owner.
	Owner JobAnswerer
	// Resumer is nil if the process has no owner.
	Resumer Resumer
	// Inviter is nil if the process opens no links.
	Inviter Inviter
	// Direct is the store without relays.
	Direct  rowstore.Store
	Metrics *observe.Metrics
	Log     logr.Logger

	pulseOnce sync.Once
	pulse     *pulse
}

// Link implements peerpb.PeerServer.Link.
func (s *Server) Link(stream grpc.BidiStreamingServer[peerpb.OwnerFrame, peerpb.GateFrame]) error {
	if md, ok := metadata.FromIncomingContext(stream.Context()); ok {
		if target := md.Get(targetHeader); len(target) == 1 {
			return s.relayLink(stream, target[0])
		}
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if s.Gate == nil || hello == nil || hello.GetGate() != s.Node {
		return status.Error(codes.FailedPrecondition, "not the gate that is meant")
	}
	return s.serveLink(stream, hello)
}

func (s *Server) serveLink(stream grpc.BidiStreamingServer[peerpb.OwnerFrame, peerpb.GateFrame], hello *peerpb.OwnerHello) error {
	owner, link := hello.GetIncarnation(), hello.GetLink()
	wake := make(chan struct{}, 1)
	if !s.Gate.Connect(owner, link, notifier(wake)) {
		return status.Error(codes.Aborted, "the link is not the newest")
	}
	defer s.Gate.Disconnect(owner, link)
	pause := max(s.minReportPause(), time.Duration(hello.GetReportPauseMs())*time.Millisecond)
	defer s.reportPulse().join(notifier(wake), pause)()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		defer cancel()
		failed <- s.sendReports(ctx, stream, owner, link, wake, pause)
	}()
	for {
		f, err := stream.Recv()
		if err != nil {
			return err
		}
		if !s.Gate.Frame(owner, link, fromOwnerFrame(f)) {
			return status.Error(codes.Aborted, "the link is not the newest")
		}
		select {
		case err := <-failed:
			return err
		default:
		}
	}
}

// reportPulse returns the pulse of the links to owners and creates it on first use.
func (s *Server) reportPulse() *pulse {
	s.pulseOnce.Do(func() {
		s.pulse = newPulse(s.reportTiming)
		s.Gate.OnReport(s.pulse.beatSooner)
	})
	return s.pulse
}

// reportTiming returns the shortest and the longest time between two beats of the
// report pulse.
func (s *Server) reportTiming() (least, most time.Duration) {
	least = s.minReportPause()
	return least, max(least, reportHeartbeat)
}

// sendReports sends pending frames, changed reports and heartbeats.
func (s *Server) sendReports(ctx context.Context, stream grpc.BidiStreamingServer[peerpb.OwnerFrame, peerpb.GateFrame], owner string, link uint64, wake <-chan struct{}, pause time.Duration) error {
	incarnation := s.Incarnation
	for {
		reported := s.Gate.ReportVersion()
		f, ok := s.Gate.Flush(owner, link)
		if !ok {
			return ErrLink
		}
		frame := toGateFrame(f)
		// Only the first frame of a link carries the incarnation.
		frame.Incarnation, incarnation = incarnation, ""
		if err := stream.Send(frame); err != nil {
			return err
		}
		sent := time.Now()
		for !s.frameDue(owner, pause, sent, reported) {
			select {
			case <-wake:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// frameDue reports whether the next frame to an owner is due; sent is when the last one was
// sent, and reported the value of Gate.ReportVersion at that time. Without pending frames half
// of the pause must have passed, to allow for the distance between two beats.
func (s *Server) frameDue(owner string, pause time.Duration, sent time.Time, reported uint64) bool {
	since := time.Since(sent)
	switch {
	case s.Gate.Pending(owner):
		return true
	case since < pause/2:
		return false
	case s.Gate.ReportVersion() != reported:
		return true
	}
	// The next beat may be a whole interval later.
	return since >= s.gateHeartbeat(owner)-reportHeartbeat/2
}

// minReportPause returns the shortest time between two frames to an owner that hold only a
// report.
func (s *Server) minReportPause() time.Duration {
	return max(minReportPause, time.Duration(s.Gate.OpenOwners())*time.Second/reportRate)
}

// gateHeartbeat returns the longest time to the next frame to an owner.
func (s *Server) gateHeartbeat(owner string) time.Duration {
	if s.Gate.HasRuns(owner) {
		return reportHeartbeat
	}
	return min(max(minIdleReport, s.minReportPause()), maxIdleReport)
}

// await waits for wake, at most for d or until the context ends.
func await(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-wake:
	case <-t.C:
	case <-ctx.Done():
	}
}

// notifier returns a function that sends to wake without blocking.
func notifier(wake chan<- struct{}) func() {
	return func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// relayLink passes the frames of a link on to the process at target and back.
func (s *Server) relayLink(stream grpc.BidiStreamingServer[peerpb.OwnerFrame, peerpb.GateFrame], target string) error {
	conn, err := rpc.Dial(target, s.Metrics)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	onward, err := peerpb.NewPeerClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	go func() {
		defer cancel()
		for {
			f, err := stream.Recv()
			if err != nil || onward.Send(f) != nil {
				return
			}
		}
	}()
	for {
		f, err := onward.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(f); err != nil {
			return err
		}
	}
}

// Ask implements peerpb.PeerServer.Ask.
func (s *Server) Ask(ctx context.Context, q *peerpb.Question) (*peerpb.Answer, error) {
	if s.Owner == nil {
		return nil, status.Error(codes.FailedPrecondition, "no owner here")
	}
	a := &peerpb.Answer{Incarnation: s.Owner.Incarnation()}
	switch q.GetKind() {
	case peerpb.Question_STATE:
		state, ok := s.Owner.State(ctx, job.ID(q.GetJob()))
		a.Known, a.State = ok, string(state)
	case peerpb.Question_CANCEL:
		s.cancel(ctx, q, a)
	}
	return a, nil
}

func (s *Server) cancel(ctx context.Context, q *peerpb.Question, a *peerpb.Answer) {
	result := make(chan bool, 1)
	a.Known = s.Owner.Cancel(job.ID(q.GetJob()), func(ok bool) { result <- ok })
	if !a.Known {
		return
	}
	select {
	case ok := <-result:
		a.Failed = !ok
	case <-ctx.Done():
		a.Failed = true
	}
}

// Invite implements peerpb.PeerServer.Invite.
func (s *Server) Invite(_ context.Context, i *peerpb.Invitation) (*peerpb.Invited, error) {
	if s.Inviter == nil {
		return nil, status.Error(codes.FailedPrecondition, "no links are made here")
	}
	s.Inviter.Invited(member.Box{
		Node: i.GetNode(), Role: member.RoleAgent, Zone: i.GetZone(), Address: i.GetAddress(), Incarnation: i.GetIncarnation(),
	})
	return &peerpb.Invited{}, nil
}
