package agent

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rackspur/config"
	"rackspur/dispatch"
	"rackspur/id"
	"rackspur/observe"
	"rackspur/wire"
)

// homeServer implements wire.HomeServer.
type homeServer struct {
	wire.UnimplementedHomeServer
	node   *node
	policy func() dispatch.Policy
	link   *linkServer
}

// Submit implements wire.HomeServer.Submit. It returns when the answer is final.
func (s *homeServer) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitReply, error) {
	ctx, span := observe.Span(ctx, "home.submit", attribute.String("rackspur.member", r.GetMember()), attribute.Int("rackspur.tasks", len(r.GetTasks())))
	defer span.End()
	v, err := id.Parse(r.GetId())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, "home: malformed id")
	}
	if err := s.node.config.Offer(r.GetConfig()); err != nil {
		return nil, status.Error(codes.InvalidArgument, "home: configuration not usable")
	}
	accepted := s.node.config.Current()
	if accepted == nil || accepted.Version < r.GetConfigVersion() {
		return nil, status.Error(codes.FailedPrecondition, "home: no configuration yet")
	}
	if v.Incarnation != s.node.incarnation {
		return s.finish(r, &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_WRONG_HOME}), nil
	}
	if r.GetConfigVersion() < accepted.Version {
		return s.finish(r, &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_STALE}), nil
	}
	reply, err := s.judge(ctx, r, v, accepted)
	if err != nil {
		return nil, err
	}
	span.SetAttributes(attribute.String("rackspur.outcome", reply.GetOutcome().String()))
	s.link.answered(r.GetEntry())
	return s.finish(r, reply), nil
}

func (s *homeServer) judge(ctx context.Context, r *wire.SubmitRequest, v id.ID, accepted *config.Accepted) (*wire.SubmitReply, error) {
	sub := s.submission(ctx, r, v, accepted)
	if sub == nil {
		return &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_STALE}, nil
	}
	reply, wait := s.node.submit(sub)
	if reply != nil {
		return reply, nil
	}
	select {
	case reply = <-wait:
		return reply, nil
	case <-ctx.Done():
		s.node.forgo(v.Key(), wait)
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// submission turns a request into the core's form, or nil if the member or the
// kind is not in the configuration in force.
func (s *homeServer) submission(ctx context.Context, r *wire.SubmitRequest, v id.ID, accepted *config.Accepted) *dispatch.Submission {
	kind := accepted.Document.Kind(r.GetKind())
	member := accepted.Document.Member(r.GetMember())
	if kind == nil || member == nil {
		return nil
	}
	sub := &dispatch.Submission{
		ID:         v,
		Member:     r.GetMember(),
		Weight:     member.Weight,
		Kind:       kind.Name,
		Tasks:      r.GetTasks(),
		ExpectMS:   uint32(kind.ExpectMS),
		Lease:      time.Duration(kind.LeaseMS) * time.Millisecond,
		Deadline:   time.Duration(r.GetDeadlineMs()) * time.Millisecond,
		Candidates: r.GetCandidates(),
		Version:    accepted.Version,
		Policy:     s.policy(),
		Trace:      observe.TraceParent(ctx),
	}
	if r.GetRefusal() != "" {
		sub.Refusal = &dispatch.Refusal{Reason: r.GetRefusal(), Detail: r.GetRefusalDetail(), RetryAfterMS: r.GetRetryAfterMs()}
	}
	return sub
}

// finish adds what every reply carries. The ledger's own message is not changed.
func (s *homeServer) finish(r *wire.SubmitRequest, kept *wire.SubmitReply) *wire.SubmitReply {
	return &wire.SubmitReply{
		Outcome:        kept.GetOutcome(),
		Reason:         kept.GetReason(),
		Detail:         kept.GetDetail(),
		Results:        kept.GetResults(),
		RetryAfterMs:   kept.GetRetryAfterMs(),
		HandledVersion: kept.GetHandledVersion(),
		ConfigVersion:  s.node.config.Version(),
		Config:         s.node.config.UpdateFor(r.GetConfigVersion()),
		Home:           s.node.incarnation[:],
		Load:           s.node.load(),
	}
}

// Ask implements wire.HomeServer.Ask.
func (s *homeServer) Ask(_ context.Context, r *wire.AskRequest) (*wire.SubmitReply, error) {
	v, err := id.Parse(r.GetId())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, "home: malformed id")
	}
	request := &wire.SubmitRequest{ConfigVersion: r.GetConfigVersion()}
	if r.GetConfigVersion() < s.node.config.Version() {
		return s.finish(request, &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_STALE}), nil
	}
	var reply *wire.SubmitReply
	s.node.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		var actions []dispatch.HomeAction
		reply, actions = s.node.home.Ask(now, v, r.GetMember(), r.GetCancel())
		return actions, nil
	})
	return s.finish(request, reply), nil
}
