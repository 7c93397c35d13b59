package node

import (
	"context"
	"encoding/json"
	"time"

	"rackspur/internal/wait"
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
	for _, j := range jobs {
		if e.closed.has(j.ID) {
			// Its cancellation came here before it was announced.
			go func() { _ = e.CancelJob(e.lifetime, j.ID) }()
		}
	}
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

// runElsewhere lets the owner that has announced a job run it. ok is false if there is none, if it
// has no runs of the job any more, or if it can't be reached for so long that its runs are over
// even if it was lost only when it was first asked: the job may then be run here.
func (e *Entry) runElsewhere(ctx context.Context, t *term, s job.Submission, patience time.Duration) (r owner.BestEffortResult, ok bool) {
	incarnation, ok := e.elsewhere.find(time.Now(), s.ID)
	if !ok || incarnation == t.box.Incarnation || t.owner.KnowsBestEffort(s.ID) {
		return owner.BestEffortResult{}, false
	}
	began := time.Now()
	lastReached := began
	for {
		r, known, err := e.resumeOnce(ctx, s, incarnation, max(0, patience-time.Since(began)), &lastReached)
		switch {
		case err == nil && known:
			return r, true
		case ctx.Err() != nil:
			return owner.BestEffortResult{}, true
		case err == nil:
			return owner.BestEffortResult{}, false
		}
		e.options.Metrics.Count(metricResumeFailed, 1)
		silent := time.Since(lastReached)
		over := silent >= e.options.bestEffortContactTimeout()+resubmitMargin
		e.log.Info("Earlier owner of a job was not reached.", "job", s.ID, "owner", incarnation, "tookMS", time.Since(began).Milliseconds(),
			"silentMS", silent.Milliseconds(), "runHere", over, "error", err.Error())
		if over {
			return owner.BestEffortResult{}, false
		}
		wait.For(ctx, announceInterval)
	}
}

// resumeOnce asks an owner to run a job and waits for the result. known is false if the owner has no
// runs of the job. It sets reached to the time of the owner's last answer.
func (e *Entry) resumeOnce(ctx context.Context, s job.Submission, incarnation string, patience time.Duration, reached *time.Time) (r owner.BestEffortResult, known bool, err error) {
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, first, err := e.resumeAt(ctx, caller, cancel, incarnation, s, patience)
	if err != nil {
		return owner.BestEffortResult{}, false, err
	}
	e.log.Info("Earlier owner of a job was asked.", "job", s.ID, "owner", incarnation, "known", first.GetKnown())
	if !first.GetKnown() {
		e.elsewhere.forget(s.ID, incarnation)
		return owner.BestEffortResult{}, false, nil
	}
	e.options.Metrics.Count(metricResumedElsewhere, 1)
	go e.watchOwner(ctx, cancel, incarnation)
	last, err := stream.Recv()
	if err != nil {
		*reached = time.Now()
		return owner.BestEffortResult{}, false, err
	}
	return owner.BestEffortResult{
		State: job.State(last.GetState()), Refused: last.GetRefused(), RetryAfter: time.Duration(last.GetRetryAfterMs()) * time.Millisecond,
	}, true, nil
}

// watchOwner cancels the wait for an owner once it does not answer any more. Without it, a caller
// would wait for a frozen owner until its own deadline.
func (e *Entry) watchOwner(ctx context.Context, cancel context.CancelFunc, incarnation string) {
	const maxFailures = 2
	for failures := 0; failures < maxFailures; {
		wait.For(ctx, announceInterval)
		if ctx.Err() != nil {
			return
		}
		if e.answers(ctx, incarnation) {
			failures = 0
		} else {
			failures++
		}
	}
	cancel()
}

// answers reports whether an owner answers within askTimeout.
func (e *Entry) answers(ctx context.Context, incarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	b, err := e.box(ctx, member.NodeOf(incarnation))
	if err != nil {
		return false
	}
	client, err := e.askClient(b.Address)
	if err != nil {
		return false
	}
	a, err := client.Announce(ctx, &peerpb.Announcement{Incarnation: e.Incarnation()})
	return err == nil && a.GetIncarnation() == incarnation
}

// resumeAt asks an owner to resume a job and returns its first answer. After askTimeout without one it
// calls cancel, which ends ctx; caller is the context that only the job's caller ends.
func (e *Entry) resumeAt(ctx, caller context.Context, cancel context.CancelFunc, incarnation string, s job.Submission, patience time.Duration) (peerpb.Peer_ResumeClient, *peerpb.ResumeAnswer, error) {
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
		e.closeIfBroken(caller, b.Address, err)
		return nil, nil, err
	}
	return stream, first, nil
}
