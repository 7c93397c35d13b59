package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"rackspur/api"
	"rackspur/dispatch"
	"rackspur/observe"
	"rackspur/wire"
)

// outcomes maps the wire's outcomes to the callers' words.
var outcomes = map[wire.Outcome]api.Outcome{
	wire.Outcome_OUTCOME_COMPLETE:  api.Complete,
	wire.Outcome_OUTCOME_FAILED:    api.Failed,
	wire.Outcome_OUTCOME_NOT_RUN:   api.NotRun,
	wire.Outcome_OUTCOME_UNKNOWN:   api.Unknown,
	wire.Outcome_OUTCOME_RUNNING:   api.Running,
	wire.Outcome_OUTCOME_UNSEEN:    api.Unseen,
	wire.Outcome_OUTCOME_FORGOTTEN: api.Forgotten,
}

var taskStates = map[wire.TaskStatus]api.TaskStatus{
	wire.TaskStatus_TASK_STATUS_DONE:        api.TaskDone,
	wire.TaskStatus_TASK_STATUS_NOT_STARTED: api.TaskNotStarted,
	wire.TaskStatus_TASK_STATUS_FAILED:      api.TaskFailed,
	wire.TaskStatus_TASK_STATUS_STARTED:     api.TaskStarted,
}

// Reasons of problems that an entry box finds by itself.
const (
	reasonNoSuchID = "no-such-id"
	reasonBadInput = "bad-input"
	reasonTooLarge = "too-large"
	reasonAuth     = "unauthenticated"
	reasonNoConfig = "no-configuration"
	reasonNoHome   = "no-home"
	reasonNeedsID  = "id-needed"
	reasonMoving   = "configuration-moving"
)

// tooMany are the reasons of refusals that are answered 429: the same request
// may be taken a little later. All others are answered 503.
var tooMany = map[string]bool{
	reasonRate:                true,
	reasonConcurrency:         true,
	dispatch.ReasonOverloaded: true,
}

// titles are the short texts of problems by status.
var titles = map[int]string{
	http.StatusBadRequest:            "The request is wrong.",
	http.StatusUnauthorized:          "The credentials are not valid.",
	http.StatusNotFound:              "There is no such submission id.",
	http.StatusConflict:              "Another job was sent under this id.",
	http.StatusGone:                  "The outcome is no longer known.",
	http.StatusRequestEntityTooLarge: "The body is too large.",
	http.StatusTooManyRequests:       "The submission was refused; it did not run.",
	http.StatusBadGateway:            "The submission failed.",
	http.StatusServiceUnavailable:    "The submission was refused; it did not run.",
	http.StatusGatewayTimeout:        "The outcome is not known yet; ask again.",
}

// statusOf returns the HTTP status that goes with a reply.
func statusOf(r *wire.SubmitReply) int {
	switch r.GetOutcome() {
	case wire.Outcome_OUTCOME_COMPLETE, wire.Outcome_OUTCOME_UNSEEN:
		return http.StatusOK
	case wire.Outcome_OUTCOME_RUNNING:
		return http.StatusAccepted
	case wire.Outcome_OUTCOME_FAILED:
		return http.StatusBadGateway
	case wire.Outcome_OUTCOME_NOT_RUN:
		if tooMany[r.GetReason()] {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	case wire.Outcome_OUTCOME_NO_SUCH_ID:
		return http.StatusNotFound
	case wire.Outcome_OUTCOME_FORGOTTEN:
		return http.StatusGone
	case wire.Outcome_OUTCOME_UNSPECIFIED:
		return http.StatusConflict
	default:
		return http.StatusGatewayTimeout
	}
}

// writeReply writes what became of a submission.
func (e *Entry) writeReply(w http.ResponseWriter, text, member string, r *wire.SubmitReply) {
	status := statusOf(r)
	outcome := outcomes[r.GetOutcome()]
	e.metrics.Count(observe.MetricOutcomePrefix+string(outcome), 1)
	if outcome == api.NotRun {
		e.metrics.Count(observe.MetricRefusalPrefix+r.GetReason(), 1)
	}
	version := r.GetHandledVersion()
	if version == 0 {
		version = e.config.Version()
	}
	if status < http.StatusBadRequest {
		observe.WriteJSON(w, status, api.Answer{ID: text, Outcome: outcome, Results: results(r), Version: version, NextID: e.nextID(member)})
		return
	}
	p := problem(status, r.GetReason(), r.GetDetail())
	p.Instance = api.PathSubmissions + "/" + text
	p.Outcome = outcome
	p.RetryAfterMS = int(r.GetRetryAfterMs())
	p.Results = results(r)
	p.Version = version
	p.NextID = e.nextID(member)
	writeProblem(w, p)
}

func results(r *wire.SubmitReply) []api.TaskResult {
	list := make([]api.TaskResult, len(r.GetResults()))
	for i, t := range r.GetResults() {
		list[i] = api.TaskResult{
			Index:  int(t.GetIndex()),
			Status: taskStates[t.GetStatus()],
			Result: t.GetResult(),
			Error:  t.GetError(),
			Target: t.GetTarget(),
		}
	}
	return list
}

func problem(status int, reason, detail string) api.Problem {
	return api.Problem{Type: api.ProblemPrefix + reason, Title: titles[status], Status: status, Reason: reason, Detail: detail}
}

const msPerSecond = 1000

func writeProblem(w http.ResponseWriter, p api.Problem) {
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + msPerSecond - 1) / msPerSecond
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", api.TypeProblem)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
