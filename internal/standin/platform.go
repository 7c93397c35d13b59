package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"rackspur/store"
)

// Paths with which tests control the stand-ins.
const (
	PathFaults     = "/admin/faults"
	PathAdminBoxes = "/admin/boxes"
	PathCounts     = "/admin/counts"
)

// maxObjectBytes limits the body of an object write.
const maxObjectBytes = 64 << 20

// PlatformHandler returns the platform's HTTP interface to a store.
func PlatformHandler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.PathTable, func(w http.ResponseWriter, r *http.Request) {
		rows, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
		writeResponse(w, rows, err)
	})
	mux.HandleFunc("GET "+store.PathTable+"/{key}", func(w http.ResponseWriter, r *http.Request) {
		row, err := s.Get(r.Context(), r.PathValue("key"))
		writeResponse(w, row, err)
	})
	mux.HandleFunc("POST "+store.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var c store.Commit
		if !readJSON(w, r, &c) {
			return
		}
		writeResponse(w, struct{}{}, s.Commit(r.Context(), c))
	})
	mux.HandleFunc("GET "+store.PathObjects+"/{key}", func(w http.ResponseWriter, r *http.Request) {
		value, err := s.GetObject(r.Context(), r.PathValue("key"))
		if err != nil {
			writeResponse(w, nil, err)
			return
		}
		_, _ = w.Write(value)
	})
	mux.HandleFunc("PUT "+store.PathObjects+"/{key}", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeResponse(w, struct{}{}, s.PutObject(r.Context(), r.PathValue("key"), value))
	})
	mux.HandleFunc("GET "+store.PathBoxes, func(w http.ResponseWriter, r *http.Request) {
		boxes, err := s.ListBoxes(r.Context())
		writeResponse(w, boxes, err)
	})
	adminHandlers(mux, s)
	return mux
}

func adminHandlers(mux *http.ServeMux, s *Store) {
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if readJSON(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("PUT "+PathAdminBoxes, func(w http.ResponseWriter, r *http.Request) {
		var b store.Box
		if readJSON(w, r, &b) {
			s.SetBox(b)
		}
	})
	mux.HandleFunc("DELETE "+PathAdminBoxes+"/{name}", func(_ http.ResponseWriter, r *http.Request) {
		s.RemoveBox(r.PathValue("name"))
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, s.Counts(), nil)
	})
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResponse writes v, or the status for an error. For store.ErrUncertain it aborts the
// connection without a response.
func writeResponse(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, "not found", http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, "conflict", http.StatusConflict)
	case errors.Is(err, store.ErrUncertain):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	}
}
