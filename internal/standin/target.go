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

// Paths of the stand-in target beside the targets' interface.
const (
	PathStarts = "/admin/starts"
)

// Ways in which a target answers wrongly.
const (
	AnswerHalf  = "half"
	AnswerWrong = "wrong-task"
	AnswerNone  = "none"
	AnswerError = "error"
)

const maxPayload = 8 << 20

// TargetFaults says how the stand-in target misbehaves.
type TargetFaults struct {
	// Slow multiplies every run time, in hundredths; 0 means 100.
	Slow int `json:"slow_percent"`
	// Answer is one of the wrong answers, or empty.
	Answer string `json:"answer"`
	// Stopped makes the target refuse tasks.
	Stopped bool `json:"stopped"`
	// UsageLagMS is the age of the usage report.
	UsageLagMS int64 `json:"usage_lag_ms"`
}

// Payload is what the stand-in understands of a task. Other fields are allowed
// and count in the result.
type Payload struct {
	// MS is the run time in milliseconds.
	MS int `json:"ms"`
}

// Result is derived from the whole payload, so that a wrong part shows.
type Result struct {
	Digest string `json:"digest"`
	Target string `json:"target"`
}

// Started is a line of the start log.
type Started struct {
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
	starts  []Started
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

// SetFaults sets how the target misbehaves from now on.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Starts returns the start log.
func (t *Target) Starts() []Started {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Started{}, t.starts...)
}

// Handler serves the targets' interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathTasks, t.serveTask)
	mux.HandleFunc("GET "+target.PathUsage, t.serveUsage)
	mux.HandleFunc("GET "+PathStarts, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, t.Starts(), nil)
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
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayload))
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
	lasts, cut := runTime(p, faults, r)
	time.Sleep(lasts)
	// The slot is free before the answer goes out: who has it may send the next task.
	t.end()
	if cut {
		// A task that its lease has ended has no result.
		panic(http.ErrAbortHandler)
	}
	t.reply(w, r, payload, faults.Answer)
}

// runTime is the time a task takes, and whether its lease ends it before.
func runTime(p Payload, f TargetFaults, r *http.Request) (lasts time.Duration, cut bool) {
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
	t.starts = append(t.starts, Started{
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

// setRunning changes the number in flight and keeps what the usage report needs.
func (t *Target) setRunning(n int) {
	t.running = n
	now := time.Now()
	t.usage = append(t.usage, usageSample{at: now, running: n})
	// The last sample before the lag tells what ran then; older ones tell nothing.
	seen := now.Add(-t.lag())
	for len(t.usage) > 1 && !t.usage[1].at.After(seen) {
		t.usage = t.usage[1:]
	}
}

func (t *Target) lag() time.Duration {
	return time.Duration(t.faults.UsageLagMS) * time.Millisecond
}

func (t *Target) reply(w http.ResponseWriter, r *http.Request, payload []byte, wrong string) {
	body, _ := json.Marshal(Result{Digest: Digest(payload), Target: t.name})
	w.Header().Set(target.HeaderTask, r.Header.Get(target.HeaderTask))
	switch wrong {
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
	answer(w, u, nil)
}
