package peer

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// directRetryDelay is how long after a failure peers are preferred to direct calls.
const directRetryDelay = time.Second

// directPath tracks whether direct calls to the store are answered.
type directPath struct {
	log logr.Logger

	mu sync.Mutex
	// lastFailure is the time of the newest failure; zero if a call was answered since.
	lastFailure time.Time
	// lostSince is the time of the first failure since the last answer.
	lostSince time.Time
}

// preferred reports whether a call is made directly before peers are tried.
func (w *directPath) preferred() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastFailure) > directRetryDelay
}

// noteSuccess records that a call was answered.
func (w *directPath) noteSuccess() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFailure = time.Time{}
	if w.lostSince.IsZero() {
		return
	}
	w.log.Info("The store can be reached directly again.", "lostMS", time.Since(w.lostSince).Milliseconds())
	w.lostSince = time.Time{}
}

// noteFailure records that a call was refused or not answered.
func (w *directPath) noteFailure(kind string, sent time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFailure = time.Now()
	if !w.lostSince.IsZero() {
		return
	}
	w.lostSince = w.lastFailure
	w.log.Info("The store can't be reached directly.", "call", kind, "tookMS", time.Since(sent).Milliseconds(), "error", err.Error())
}
