package peer

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rackspur/job"
	"rackspur/owner"
	"rackspur/peer/peerpb"
)

// Resumer serves other owners that have got a job from its caller which this one has had before.
type Resumer interface {
	Incarnation() string
	// Announced records jobs of another owner.
	Announced(incarnation string, jobs []owner.AnnouncedJob)
	// Resume runs a best-effort job until it ends or the context does. Unless known is false, the
	// result is delivered once.
	Resume(ctx context.Context, s job.Submission, patience time.Duration) (result <-chan owner.BestEffortResult, known bool)
}

// ToAnnouncement returns the message that announces jobs of an incarnation.
func ToAnnouncement(incarnation string, jobs []owner.AnnouncedJob) *peerpb.Announcement {
	a := &peerpb.Announcement{Incarnation: incarnation}
	for _, j := range jobs {
		a.Jobs = append(a.Jobs, &peerpb.AnnouncedJob{Job: string(j.ID), LeftMs: uint32(j.Left.Milliseconds()), Live: j.Live})
	}
	return a
}

// Announce implements peerpb.PeerServer.Announce.
func (s *Server) Announce(_ context.Context, a *peerpb.Announcement) (*peerpb.Announced, error) {
	if s.Resumer == nil {
		return nil, status.Error(codes.FailedPrecondition, "no owner here")
	}
	jobs := make([]owner.AnnouncedJob, 0, len(a.GetJobs()))
	for _, j := range a.GetJobs() {
		jobs = append(jobs, owner.AnnouncedJob{ID: job.ID(j.GetJob()), Left: time.Duration(j.GetLeftMs()) * time.Millisecond, Live: j.GetLive()})
	}
	s.Resumer.Announced(a.GetIncarnation(), jobs)
	return &peerpb.Announced{Incarnation: s.Resumer.Incarnation()}, nil
}

// Resume implements peerpb.PeerServer.Resume.
func (s *Server) Resume(r *peerpb.Resumption, stream grpc.ServerStreamingServer[peerpb.ResumeAnswer]) error {
	if s.Resumer == nil || s.Resumer.Incarnation() != r.GetIncarnation() {
		// Runs of an incarnation that has just ended may be active.
		return status.Error(codes.FailedPrecondition, "incarnation has ended")
	}
	var submission job.Submission
	if err := json.Unmarshal(r.GetSubmission(), &submission); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	ctx := stream.Context()
	result, known := s.Resumer.Resume(ctx, submission, time.Duration(r.GetPatienceMs())*time.Millisecond)
	if err := stream.Send(&peerpb.ResumeAnswer{Known: known}); err != nil || !known {
		return err
	}
	select {
	case end := <-result:
		return stream.Send(&peerpb.ResumeAnswer{Known: true, State: string(end.State), Refused: end.Refused, RetryAfterMs: uint32(end.RetryAfter.Milliseconds())})
	case <-ctx.Done():
		return ctx.Err()
	}
}
