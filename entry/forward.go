package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rackspur/id"
	"rackspur/internal/wait"
	"rackspur/wire"
)

const (
	// homeMargin is how long after the deadline an entry box waits for the home.
	homeMargin = time.Second
	// retryPause is the time between two tries to reach a home.
	retryPause = 30 * time.Millisecond
	// askAgainMS is the advice to a caller whose home can't be reached.
	askAgainMS = 500
)

// Errors of the way to a home.
var (
	// errUnreachable says that the home gave no answer and may live.
	errUnreachable = eris.New("entry: home not reachable")
	// errGone says that no process answers at the home's address.
	errGone = eris.New("entry: no process at the home's address")
	// errTooLarge says that a message is over the bound.
	errTooLarge = eris.New("entry: message too large")
)

// call is one exchange with a home.
type call func(ctx context.Context, c wire.HomeClient) (*wire.SubmitReply, error)

// reach makes a call to the home of an id, again and again for the grace if
// the home can't be reached: the home tells repeated submissions apart by id.
func (e *Entry) reach(ctx context.Context, v id.ID, f call) (*wire.SubmitReply, error) {
	address := v.Home.String()
	if !e.fleet.known(v.Home) {
		return nil, errUnreachable
	}
	conn, err := e.links.conn(address)
	if err != nil {
		return nil, errUnreachable
	}
	client := wire.NewHomeClient(conn)
	var failing time.Time
	for {
		reply, err := f(ctx, client)
		if err == nil {
			e.fleet.answered(address, reply)
			return reply, e.config.Offer(reply.GetConfig())
		}
		if final := e.finalError(address, err); final != nil {
			return nil, final
		}
		if failing.IsZero() {
			failing = time.Now()
		}
		if time.Since(failing) > e.settings.Grace || ctx.Err() != nil {
			return nil, unreachable(err)
		}
		conn.ResetConnectBackoff()
		wait.For(ctx, retryPause)
	}
}

// finalError returns the error if another try can't help.
func (e *Entry) finalError(address string, err error) error {
	switch status.Code(err) {
	case codes.FailedPrecondition:
		e.fleet.forgetVersion(address)
		return nil
	case codes.Unavailable, codes.Aborted:
		return nil
	case codes.ResourceExhausted:
		return errTooLarge
	default:
		return errUnreachable
	}
}

// unreachable tells a port on which nobody listens from a home that may live.
func unreachable(err error) error {
	if strings.Contains(status.Convert(err).Message(), "connection refused") {
		return errGone
	}
	return errUnreachable
}

// forward brings a submission to its home and returns what callers are told.
func (e *Entry) forward(ctx context.Context, v id.ID, r *wire.SubmitRequest) *wire.SubmitReply {
	wait := time.Duration(r.GetDeadlineMs())*time.Millisecond + homeMargin
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply, err := e.reach(ctx, v, func(ctx context.Context, c wire.HomeClient) (*wire.SubmitReply, error) {
		r.Config = e.config.UpdateFor(e.fleet.version(v.Home.String()))
		return c.Submit(ctx, r)
	})
	return e.settle(ctx, v, r.GetMember(), reply, err)
}

// ask asks the home about a submission, or cancels it. The version is that of the
// configuration under which the caller was let in.
func (e *Entry) ask(ctx context.Context, v id.ID, member string, version uint64, cancelIt bool) *wire.SubmitReply {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Grace+homeMargin)
	defer cancel()
	r := &wire.AskRequest{Id: v.String(), Member: member, Cancel: cancelIt, ConfigVersion: version}
	reply, err := e.reach(ctx, v, func(ctx context.Context, c wire.HomeClient) (*wire.SubmitReply, error) {
		return c.Ask(ctx, r)
	})
	return e.settle(ctx, v, member, reply, err)
}

// settle turns the lack of an answer from the home into what callers are told.
// A home that is gone is spoken for by its final ledger: nobody listens at its
// address, another incarnation does, or it can't be reached and the platform
// lists its box no more.
func (e *Entry) settle(ctx context.Context, v id.ID, member string, reply *wire.SubmitReply, err error) *wire.SubmitReply {
	gone := errors.Is(err, errGone) || (errors.Is(err, errUnreachable) && e.fleet.unlisted(v.Home.String()))
	if err == nil {
		gone = reply.GetOutcome() == wire.Outcome_OUTCOME_WRONG_HOME
		if !gone {
			return reply
		}
	}
	if errors.Is(err, errTooLarge) {
		return &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "too-large", Detail: "the message to the home is over its bound"}
	}
	if !gone {
		return &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "home-unreachable", Detail: "the home of this id can't be reached now; ask again with the same id", RetryAfterMs: askAgainMS}
	}
	return e.speakFor(ctx, v, member)
}

// speakFor answers for a home whose process is gone.
func (e *Entry) speakFor(ctx context.Context, v id.ID, member string) *wire.SubmitReply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.settings.Grace)
	defer cancel()
	final, err := e.ledgers.find(ctx, v.Incarnation)
	if err != nil {
		return &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "store-unavailable", Detail: "the home of this id is gone and its ledger can't be read now; ask again with the same id", RetryAfterMs: askAgainMS}
	}
	if final == nil {
		return &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_FAILED, Reason: "home-lost", Detail: "the home of this id died; the outcome is unknown"}
	}
	return final.Answer(v, member)
}
