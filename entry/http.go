package entry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"rackspur/api"
	"rackspur/config"
	"rackspur/id"
	"rackspur/observe"
	"rackspur/wire"
)

const (
	// maxIDs bounds the ids of one request.
	maxIDs = 1000
	// maxIDsBody bounds the body of a request for ids, in bytes.
	maxIDsBody = 1 << 10
	// judgeTries bounds how often a request is judged anew because a newer
	// configuration came into force while it was handled.
	judgeTries = 4
	bearer     = "Bearer "
)

// errAuth says that the credentials are not valid.
var errAuth = eris.New("entry: unauthenticated")

// handler returns the callers' interface.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathIDs, e.serveIDs)
	mux.HandleFunc("POST "+api.PathSubmissions, e.serveRepeatable)
	mux.HandleFunc("PUT "+api.PathSubmissions+"/{id}", e.serveSubmit)
	mux.HandleFunc("GET "+api.PathSubmissions+"/{id}", e.serveState)
	mux.HandleFunc("DELETE "+api.PathSubmissions+"/{id}", e.serveCancel)
	mux.HandleFunc("GET "+observe.PathReady, e.serveReady)
	mux.HandleFunc("GET "+observe.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		observe.WriteJSON(w, http.StatusOK, struct{}{})
	})
	return mux
}

// authenticate returns the member whose credentials the request carries, as
// "Authorization: Bearer member:secret".
func (e *Entry) authenticate(r *http.Request, d *config.Document) (*config.Member, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return nil, errAuth
	}
	name, secret, ok := strings.Cut(token, ":")
	if !ok {
		return nil, errAuth
	}
	m := d.Member(name)
	if m == nil {
		config.MatchSecret(e.decoy, secret) // an unknown name takes as long as a known one
		return nil, errAuth
	}
	for _, hash := range m.Secrets {
		if config.MatchSecret(hash, secret) {
			return m, nil
		}
	}
	return nil, errAuth
}

// admit returns the configuration in force and the member, or writes a problem.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request) (*config.Accepted, *config.Member) {
	accepted := e.config.Current()
	if accepted == nil {
		p := problem(http.StatusServiceUnavailable, reasonNoConfig, "this entry box has no configuration yet")
		p.Title = "The entry box is not ready."
		p.RetryAfterMS = askAgainMS
		writeProblem(w, p)
		return nil, nil
	}
	m, err := e.authenticate(r, accepted.Document)
	if err != nil {
		writeProblem(w, problem(http.StatusUnauthorized, reasonAuth, "send 'Authorization: Bearer member:secret'"))
		return nil, nil
	}
	return accepted, m
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		observe.WriteJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	observe.WriteJSON(w, http.StatusOK, struct{}{})
}

func (e *Entry) serveIDs(w http.ResponseWriter, r *http.Request) {
	accepted, m := e.admit(w, r)
	if m == nil {
		return
	}
	req := api.IDsRequest{Count: 1}
	body, err := readBody(w, r, maxIDsBody)
	if err == nil && len(body) > 0 {
		err = decodeStrict(body, &req)
	}
	if err == nil && (req.Count < 1 || req.Count > maxIDs) {
		err = eris.Wrapf(errBody, "count is 1 to %d", maxIDs)
	}
	if err != nil {
		writeBadInput(w, err)
		return
	}
	ids := api.IDs{Version: accepted.Version}
	for range req.Count {
		v, ok := e.fleet.mint(m.Name)
		if !ok {
			writeNoHome(w)
			return
		}
		ids.IDs = append(ids.IDs, v.String())
	}
	observe.WriteJSON(w, http.StatusOK, ids)
}

func writeNoHome(w http.ResponseWriter) {
	p := problem(http.StatusServiceUnavailable, reasonNoHome, "no agent is linked that could issue ids")
	p.Title = "No ids can be issued now."
	p.RetryAfterMS = askAgainMS
	writeProblem(w, p)
}

func writeBadInput(w http.ResponseWriter, err error) {
	status, reason := http.StatusBadRequest, reasonBadInput
	if errors.Is(err, errTooBig) {
		status, reason = http.StatusRequestEntityTooLarge, reasonTooLarge
	}
	writeProblem(w, problem(status, reason, err.Error()))
}

// nextID returns a fresh id for the member's next submission, if there is one.
func (e *Entry) nextID(member string) string {
	v, ok := e.fleet.mint(member)
	if !ok {
		return ""
	}
	return v.String()
}

// pathID reads the id of the path. A text that is no id is answered like an id
// that does not exist.
func (e *Entry) pathID(w http.ResponseWriter, r *http.Request, member string) (id.ID, bool) {
	v, err := id.Parse(r.PathValue("id"))
	if err != nil {
		e.writeReply(w, r.PathValue("id"), member, &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_NO_SUCH_ID, Reason: reasonNoSuchID})
		return id.ID{}, false
	}
	return v, true
}

func (e *Entry) serveSubmit(w http.ResponseWriter, r *http.Request) {
	_, m := e.admit(w, r)
	if m == nil {
		return
	}
	v, ok := e.pathID(w, r, m.Name)
	if !ok {
		return
	}
	e.submit(w, r, v)
}

// serveRepeatable takes a job without an id, if its kind may be repeated.
func (e *Entry) serveRepeatable(w http.ResponseWriter, r *http.Request) {
	_, m := e.admit(w, r)
	if m == nil {
		return
	}
	v, ok := e.fleet.mint(m.Name)
	if !ok {
		writeNoHome(w)
		return
	}
	e.submit(w, r, v)
}

// submit judges a submission under the configuration in force and brings it to
// its home. If the home knows a newer one, the request is judged anew.
func (e *Entry) submit(w http.ResponseWriter, r *http.Request, v id.ID) {
	begun := time.Now()
	var body []byte
	for range judgeTries {
		accepted, m := e.admit(w, r)
		if m == nil {
			return
		}
		if body == nil {
			var err error
			if body, err = readBody(w, r, accepted.Document.Limits.MaxBodyBytes); err != nil {
				writeBadInput(w, err)
				return
			}
		}
		req, err := decodeJob(body, accepted.Document)
		if err != nil {
			writeBadInput(w, err)
			return
		}
		if r.PathValue("id") == "" && !accepted.Document.Kind(req.Kind).Repeatable {
			writeProblem(w, problem(http.StatusBadRequest, reasonNeedsID, "a request of kind "+req.Kind+" may not be repeated; get an id from "+api.PathIDs+" and PUT the job under it"))
			return
		}
		reply := e.judged(r, v, m, accepted, req)
		if reply.GetOutcome() == wire.Outcome_OUTCOME_STALE {
			continue
		}
		e.metrics.Time(observe.MetricResponseTime, time.Since(begun).Microseconds())
		e.writeReply(w, v.String(), m.Name, reply)
		return
	}
	e.writeMoving(w, v.String())
}

// judged applies the member's quota and forwards the submission. A refusal by
// quota is the home's to give: only it knows whether the id runs already.
func (e *Entry) judged(r *http.Request, v id.ID, m *config.Member, accepted *config.Accepted, req *wire.SubmitRequest) *wire.SubmitReply {
	ctx, span := observe.Span(r.Context(), "entry.submit",
		attribute.String("rackspur.member", m.Name),
		attribute.String("rackspur.kind", req.GetKind()))
	defer span.End()
	req.Id = v.String()
	req.Entry = e.settings.Name
	req.Member = m.Name
	req.ConfigVersion = accepted.Version
	refusal := e.quotas.enter(m.Name)
	defer e.quotas.leave(m.Name)
	if refusal != "" {
		req.Refusal = refusal
		req.RefusalDetail = "the quota of member " + m.Name + " is used up"
		req.RetryAfterMs = askAgainMS
	} else {
		req.Candidates = e.fleet.candidates(len(req.GetTasks()), e.settings.Candidates)
	}
	reply := e.forward(ctx, v, req)
	span.SetAttributes(attribute.String("rackspur.outcome", reply.GetOutcome().String()))
	e.logReply(span, v, m.Name, reply)
	return reply
}

func (e *Entry) logReply(span trace.Span, v id.ID, member string, r *wire.SubmitReply) {
	e.log.V(1).Info("Submission answered.", "member", member, "id", v.String(),
		"outcome", r.GetOutcome().String(), "reason", r.GetReason(), "trace", span.SpanContext().TraceID().String())
}

func (e *Entry) serveState(w http.ResponseWriter, r *http.Request) {
	e.serveAsk(w, r, false)
}

func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.serveAsk(w, r, true)
}

// serveAsk asks the home about a submission. If the home knows a newer
// configuration, the credentials are judged anew.
func (e *Entry) serveAsk(w http.ResponseWriter, r *http.Request, cancel bool) {
	for range judgeTries {
		accepted, m := e.admit(w, r)
		if m == nil {
			return
		}
		v, ok := e.pathID(w, r, m.Name)
		if !ok {
			return
		}
		reply := e.ask(r.Context(), v, m.Name, accepted.Version, cancel)
		if reply.GetOutcome() == wire.Outcome_OUTCOME_STALE {
			continue
		}
		e.writeReply(w, v.String(), m.Name, reply)
		return
	}
	e.writeMoving(w, r.PathValue("id"))
}

// writeMoving answers a request that newer and newer configurations overtook.
func (e *Entry) writeMoving(w http.ResponseWriter, id string) {
	e.writeReply(w, id, "", &wire.SubmitReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: reasonMoving, RetryAfterMs: askAgainMS})
}
