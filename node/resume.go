package node

import (
	"context"
	"encoding/json"
	"time"

	"rackspur/job"
	"rackspur/member"
	"rackspur/owner"
	"rackspur/peer/peerpb"
)

// Counters of jobs that were submitted again.
const (
	metricResumedElsewhere = "jobs.resumed_elsewhere"
	metricResumeFailed     = "jobs.resume_failed"
)

// Announced implements peer.Resumer.Announced.
func (e *Entry) Announced(incarnation string, jobs []owner.AnnouncedJob) {
	e.elsewhere.add(time.Now(), incarnation, jobs)
}

// Resume implements peer.Resumer.Resume.
func (e *Entry) Resume(ctx context.Context, s job.Submission, patience time.Duration) (<-chan owner.BestEffortResult, bool) {
	t := e.current.Load()
	if t == nil {
		return nil, false
	}
	result := make(chan owner.BestEffortResult, 1)
	ticket, known := t.owner.ResumeBestEffort(s, patience, func(r owner.BestEffortResult) { result <- r })
	if known {
		context.AfterFunc(ctx, func() { t.owner.RemoveCaller(s.ID, ticket) })
	}
	return result, known
}

// runElsewhere lets the owner that has announced a job run it. ok is false if there is none, or if
// it has no runs of the job any more or can't be reached: the job may then be run here.
func (e *Entry) runElsewhere(ctx context.Context, s job.Submission, patience time.Duration) (r owner.BestEffortResult, ok bool) {
	incarnation, ok := e.elsewhere.find(time.Now(), s.ID)
	if !ok || incarnation == e.Incarnation() {
		return owner.BestEffortResult{}, false
	}
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, first, err := e.resumeAt(ctx, cancel, incarnation, s, patience)
	if err != nil {
		e.options.Metrics.Count(metricResumeFailed, 1)
		e.log.Info("Job is run here: its earlier owner was not reached.", "job", s.ID, "owner", incarnation, "tookMS", time.Since(began).Milliseconds(), "error", err.Error())
		return owner.BestEffortResult{}, false
	}
	e.log.Info("Job was submitted again; its earlier owner was asked.", "job", s.ID, "owner", incarnation, "known", first.GetKnown(), "tookMS", time.Since(began).Milliseconds())
	if !first.GetKnown() {
		e.elsewhere.forget(s.ID, incarnation)
		return owner.BestEffortResult{}, false
	}
	e.options.Metrics.Count(metricResumedElsewhere, 1)
	last, err := stream.Recv()
	if err != nil {
		// The earlier owner may have been lost. What it has started ends in time if the caller
		// returns once more.
		return owner.BestEffortResult{}, true
	}
	return owner.BestEffortResult{
		State: job.State(last.GetState()), Refused: last.GetRefused(), RetryAfter: time.Duration(last.GetRetryAfterMs()) * time.Millisecond,
	}, true
}

// resumeAt asks an owner to resume a job and returns its first answer, which it waits askTimeout for.
func (e *Entry) resumeAt(ctx context.Context, cancel context.CancelFunc, incarnation string, s job.Submission, patience time.Duration) (peerpb.Peer_ResumeClient, *peerpb.ResumeAnswer, error) {
	b, err := e.box(ctx, member.NodeOf(incarnation))
	if err != nil {
		return nil, nil, err
	}
	client, err := e.askClient(b.Address)
	if err != nil {
		return nil, nil, err
	}
	submission, err := json.Marshal(s)
	if err != nil {
		return nil, nil, err
	}
	unanswered := time.AfterFunc(askTimeout, cancel)
	defer unanswered.Stop()
	stream, err := client.Resume(ctx, &peerpb.Resumption{Incarnation: incarnation, Submission: submission, PatienceMs: uint32(patience.Milliseconds())})
	if err != nil {
		return nil, nil, err
	}
	first, err := stream.Recv()
	if err != nil {
		e.closeAskClient(b.Address)
		return nil, nil, err
	}
	return stream, first, nil
}
