package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rackspur/target"
)

// Paths of the stand-in target in addition to the target interface.
const (
	PathStarts = "/admin/starts"
)

// Values of TargetFaults.Answer.
const (
	AnswerHalf  = "half"
	AnswerWrong = "wrong-task"
	AnswerNone  = "none"
	AnswerError = "error"
)

const maxPayloadBytes = 8 << 20

// TargetFaults holds the faults that are injected into a Target.
type TargetFaults struct {
	// Slow scales every run time, in percent; 0 means 100.
	Slow int `json:"slow_percent"`
	// Answer is the kind of wrong answer to give, or empty.
	Answer string `json:"answer"`
	// Stopped makes the target refuse tasks.
	Stopped bool `json:"stopped"`
	// UsageLagMS is the age of the usage report.
	UsageLagMS int64 `json:"usage_lag_ms"`
}

// Payload is the part of a task's payload that the stand-in interprets. Other fields are
// allowed and affect the result.
type Payload struct {
	// MS is the run time in milliseconds.
	MS int `json:"ms"`
}

// Result is the result of a task. Its digest covers the whole payload, to detect corruption.
type Result struct {
	Digest string `json:"digest"`
	Target string `json:"target"`
}

// StartEntry is an entry of the start log.
type StartEntry struct {
	Task   string    `json:"task"`
	Member string    `json:"member"`
	Kind   string    `json:"kind"`
	Digest string    `json:"digest"`
	At     time.Time `json:"at"`
}

// Target is a stand-in target with a number of slots.
type Target struct {
	name  string
	slots int

	mu      sync.Mutex
	running int
	faults  TargetFaults
	starts  []StartEntry
	usage   []usageSample
}

type usageSample struct {
	at      time.Time
	running int
}

// NewTarget returns a target that refuses tasks beyond its slots.
func NewTarget(name string, slots int) *Target {
	return &Target{name: name, slots: slots}
}

// Digest returns the digest that the result for a payload carries.
func Digest(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Starts returns the start log.
func (t *Target) Starts() []StartEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]StartEntry{}, t.starts...)
}

// Handler returns the HTTP interface of a target.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathTasks, t.serveTask)
	mux.HandleFunc("GET "+target.PathUsage, t.serveUsage)
	mux.HandleFunc("GET "+PathStarts, func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, t.Starts(), nil)
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f TargetFaults
		if readJSON(w, r, &f) {
			t.SetFaults(f)
		}
	})
	return mux
}

func (t *Target) serveTask(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var p Payload
	if err := json.Unmarshal(payload, &p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults, ok := t.start(r, payload)
	if !ok {
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	duration, expired := runTime(p, faults, r)
	time.Sleep(duration)
	// Free the slot before answering: the caller may then send the next task at once.
	t.end()
	if expired {
		// A task whose lease expired has no result.
		panic(http.ErrAbortHandler)
	}
	t.reply(w, r, payload, faults.Answer)
}

// runTime returns how long a task runs and whether its lease ends it early.
func runTime(p Payload, f TargetFaults, r *http.Request) (duration time.Duration, expired bool) {
	d := time.Duration(p.MS) * time.Millisecond
	if f.Slow > 0 {
		d = d * time.Duration(f.Slow) / 100
	}
	lease, err := strconv.Atoi(r.Header.Get(target.HeaderLease))
	if longest := time.Duration(lease) * time.Millisecond; err == nil && d > longest {
		return longest, true
	}
	return d, false
}

func (t *Target) start(r *http.Request, payload []byte) (TargetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Stopped || t.running >= t.slots {
		return t.faults, false
	}
	t.setRunning(t.running + 1)
	t.starts = append(t.starts, StartEntry{
		Task:   r.Header.Get(target.HeaderTask),
		Member: r.Header.Get(target.HeaderMember),
		Kind:   r.Header.Get(target.HeaderKind),
		Digest: Digest(payload),
		At:     time.Now(),
	})
	return t.faults, true
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setRunning(t.running - 1)
}

// setRunning sets the number of running tasks and updates the samples for the usage report.
func (t *Target) setRunning(n int) {
	t.running = n
	now := time.Now()
	t.usage = append(t.usage, usageSample{at: now, running: n})
	// Keep the newest sample that is at least as old as the lag and all later ones.
	seen := now.Add(-t.lag())
	for len(t.usage) > 1 && !t.usage[1].at.After(seen) {
		t.usage = t.usage[1:]
	}
}

func (t *Target) lag() time.Duration {
	return time.Duration(t.faults.UsageLagMS) * time.Millisecond
}

func (t *Target) reply(w http.ResponseWriter, r *http.Request, payload []byte, fault string) {
	body, _ := json.Marshal(Result{Digest: Digest(payload), Target: t.name})
	w.Header().Set(target.HeaderTask, r.Header.Get(target.HeaderTask))
	switch fault {
	case AnswerWrong:
		w.Header().Set(target.HeaderTask, "another")
	case AnswerNone:
		panic(http.ErrAbortHandler)
	case AnswerError:
		http.Error(w, "task error", http.StatusInternalServerError)
		return
	case AnswerHalf:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		return
	}
	_, _ = w.Write(body)
}

func (t *Target) serveUsage(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := time.Now().Add(-t.lag())
	u := target.Usage{Slots: t.slots, AgeMS: t.faults.UsageLagMS}
	if len(t.usage) > 0 {
		u.Running = t.usage[0].running
	}
	for _, s := range t.usage {
		if s.at.After(seen) {
			break
		}
		u.Running = s.running
	}
	writeResponse(w, u, nil)
}
