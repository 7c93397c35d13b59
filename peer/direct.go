package peer

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// directPause is how long after a failure the direct way is not tried first.
const directPause = time.Second

// directWay remembers how this process's own way to the store has done.
type directWay struct {
	log logr.Logger

	mu sync.Mutex
	// failed is the time of the newest failure; zero if a call was answered since.
	failed time.Time
	// lost is the time of the first of the failures since the last answer.
	lost time.Time
}

// first says whether a call is made directly before peers are asked.
func (w *directWay) first() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.failed) > directPause
}

// works notes a call that was answered.
func (w *directWay) works() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = time.Time{}
	if w.lost.IsZero() {
		return
	}
	w.log.Info("Direct way to the store works again.", "lostMS", time.Since(w.lost).Milliseconds())
	w.lost = time.Time{}
}

// fails notes a call, sent at a time, that was turned away or not answered.
func (w *directWay) fails(kind string, sent time.Time, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = time.Now()
	if !w.lost.IsZero() {
		return
	}
	w.lost = w.failed
	w.log.Info("Direct way to the store lost.", "call", kind, "tookMS", time.Since(sent).Milliseconds(), "error", err.Error())
}
