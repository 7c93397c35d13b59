package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"rackspur/rowstore"
)

// maxRequestBytes limits the body of a call to a stand-in.
const maxRequestBytes = 4 << 20

// rowOnWire is a row, a condition, a put or a delete in the users' platform's JSON.
type rowOnWire struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Name    string `json:"tlsKey"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

func (w *rowOnWire) key() rowstore.Key {
	return rowstore.Key{Table: w.Table, Part: w.Part, Name: w.Name}
}

// transactionOnWire is the body of a transaction.
type transactionOnWire struct {
	Conditions []rowOnWire `json:"expectedRev"`
	Puts       []rowOnWire `json:"put"`
	Deletes    []rowOnWire `json:"delete"`
}

func (w *transactionOnWire) transaction() rowstore.Transaction {
	var t rowstore.Transaction
	for _, c := range w.Conditions {
		t.Conditions = append(t.Conditions, rowstore.Condition{Key: c.key(), Version: c.Version})
	}
	for _, p := range w.Puts {
		t.Puts = append(t.Puts, rowstore.Put{Key: p.key(), Value: p.Value})
	}
	for _, d := range w.Deletes {
		t.Deletes = append(t.Deletes, d.key())
	}
	return t
}

// rowsAnswer is the body of a response.
type rowsAnswer struct {
	Rows    []rowOnWire `json:"rows,omitempty"`
	More    bool        `json:"more"`
	Version uint64      `json:"ver"`
	NowMS   int64       `json:"now_ms"`
}

// RowsHandler returns the users' platform's HTTP interface to an in-memory store. Refused
// calls get 503; if the store loses a call or its answer, the connection is aborted.
func RowsHandler(m *rowstore.Memory) http.Handler {
	h := &rowsHandler{store: m, started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", h.transact)
	mux.HandleFunc("GET /v1/rows-get", h.read)
	mux.HandleFunc("GET /v1/rows-feed", h.changes)
	return mux
}

type rowsHandler struct {
	store   *rowstore.Memory
	started time.Time
}

func (h *rowsHandler) transact(w http.ResponseWriter, req *http.Request) {
	var in transactionOnWire
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxRequestBytes)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := h.store.Transact(req.Context(), in.transaction())
	if errors.Is(err, rowstore.ErrConflict) {
		h.writePage(w, http.StatusPreconditionFailed, rowstore.Page{Rows: out.Current, Version: out.Version})
		return
	}
	h.writePageOrError(w, rowstore.Page{Version: out.Version}, err)
}

func (h *rowsHandler) read(w http.ResponseWriter, req *http.Request) {
	v := req.URL.Query()
	limit, _ := strconv.Atoi(v.Get("limit"))
	page, err := h.store.Read(req.Context(), rowstore.Query{
		Table: v.Get("table"), Part: v.Get("part"), From: v.Get("from"), Until: v.Get("targetVersion"), Limit: limit,
	})
	h.writePageOrError(w, page, err)
}

func (h *rowsHandler) changes(w http.ResponseWriter, req *http.Request) {
	v := req.URL.Query()
	after, afterErr := strconv.ParseUint(v.Get("afterRev"), 10, 64)
	wait, waitErr := strconv.Atoi(v.Get("waitMs"))
	if afterErr != nil || waitErr != nil {
		http.Error(w, "afterRev or waitMs is no number", http.StatusBadRequest)
		return
	}
	page, err := h.store.Changes(req.Context(), v.Get("table"), after, time.Duration(wait)*time.Millisecond)
	h.writePageOrError(w, page, err)
}

func (h *rowsHandler) writePageOrError(w http.ResponseWriter, page rowstore.Page, err error) {
	switch {
	case err == nil:
		h.writePage(w, http.StatusOK, page)
	case errors.Is(err, rowstore.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, rowstore.ErrUncertain):
		abortConnection()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// abortConnection closes the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }

func (h *rowsHandler) writePage(w http.ResponseWriter, status int, page rowstore.Page) {
	a := rowsAnswer{More: page.More, Version: page.Version, NowMS: time.Since(h.started).Milliseconds()}
	for _, r := range page.Rows {
		a.Rows = append(a.Rows, rowOnWire{Table: r.Table, Part: r.Part, Name: r.Name, Value: r.Value, Version: r.Version, Gone: r.Gone})
	}
	writeWire(w, status, a)
}

func writeWire(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
