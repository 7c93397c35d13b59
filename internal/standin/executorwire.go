package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Header names of the executor's interface.
const (
	headerTargetInstance = "Rackspur-Target-Instance"
	headerInstanceID     = "Rackspur-Instance-Id"
)

// ExecutorPort serves the current incarnation of an executor over the HTTP interface of the
// users' platform and sends its heartbeats.
type ExecutorPort struct {
	// Need is what each run uses: start calls do not carry it.
	Need    job.Resources
	Service string
	// KeepConnections makes connections and delayed calls outlive the incarnation that
	// accepted them: the next one serves them.
	KeepConnections bool

	current     atomic.Pointer[Executor]
	loseOrders  atomic.Pointer[CallFaults]
	connections connections
}

// CallFault is the fault that is applied to a call; the zero value is none.
type CallFault struct {
	// Unanswered calls get no answer.
	Unanswered bool
	// Late is the delay after which an unanswered call is carried out; 0 means never.
	Late time.Duration
}

// CallFaults returns the fault for a call of the given kind.
type CallFaults func(kind string) CallFault

// SetCallFaults sets the faults of calls from now on; nil means none.
func (p *ExecutorPort) SetCallFaults(lose CallFaults) {
	if lose == nil {
		p.loseOrders.Store(nil)
		return
	}
	p.loseOrders.Store(&lose)
}

// loss returns the fault for a call.
func (p *ExecutorPort) loss(kind string) CallFault {
	if lose := p.loseOrders.Load(); lose != nil {
		return (*lose)(kind)
	}
	return CallFault{}
}

// SetExecutor replaces the current incarnation, whose connections end.
func (p *ExecutorPort) SetExecutor(e *Executor) {
	p.current.Store(e)
	p.closeConnections()
}

// Crash crashes the current incarnation: its runs and its connections end.
func (p *ExecutorPort) Crash() {
	p.Executor().Crash()
	p.closeConnections()
}

// Leave makes the current incarnation drain and announce that its process ends after a time of its
// clock. It then crashes, and ended is closed.
func (p *ExecutorPort) Leave(after time.Duration) (ended <-chan struct{}) {
	e, done := p.Executor(), make(chan struct{})
	time.AfterFunc(e.Leave(after), func() {
		e.Crash()
		if p.Executor() == e {
			p.closeConnections()
		}
		close(done)
	})
	return done
}

func (p *ExecutorPort) closeConnections() {
	if !p.KeepConnections {
		p.connections.closeAll()
	}
}

// Server returns a server of Handler whose connections end with their incarnation.
func (p *ExecutorPort) Server() *http.Server {
	return &http.Server{
		Handler: p.Handler(), ReadHeaderTimeout: time.Second, ConnState: p.connections.track,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, acceptedByKey{}, p.Executor())
		},
	}
}

// acceptedByKey is the context key of the incarnation that accepted a request's connection.
type acceptedByKey struct{}

// receiver returns the incarnation that receives a request, or nil if it has ended.
func (p *ExecutorPort) receiver(ctx context.Context) *Executor {
	e := p.Executor()
	if accepted, ok := ctx.Value(acceptedByKey{}).(*Executor); ok && accepted != e && !p.KeepConnections {
		return nil
	}
	return e
}

// Executor returns the current incarnation.
func (p *ExecutorPort) Executor() *Executor { return p.current.Load() }

// orderOnWire is the body of a call to an executor.
type orderOnWire struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"untilMs"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	Seen       int64  `json:"lastSeen"`
	WaitMS     int    `json:"waitMs"`
}

// listsOnWire is the body of an executor's response.
type listsOnWire struct {
	ClockMS int64 `json:"clockMs"`
	// Born is set only in responses with lists.
	Born     int64   `json:"born,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// Handler serves the executor's interface.
func (p *ExecutorPort) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", p.serve(OrderStart, func(ctx context.Context, e *Executor, life gate.Incarnation, o orderOnWire, n job.RunName) (gate.Answer, gate.HoldAnswer, error) {
		a, err := e.Start(ctx, life, gate.StartCall{Name: n, Spec: o.Spec, Need: p.Need, Checkpoint: o.Checkpoint, UntilMS: o.UntilMS, Fence: o.Fence})
		return a, gate.HoldAnswer{}, err
	}))
	mux.HandleFunc("POST /v1/run-stop", p.serve(OrderStop, func(ctx context.Context, e *Executor, life gate.Incarnation, o orderOnWire, n job.RunName) (gate.Answer, gate.HoldAnswer, error) {
		a, err := e.Stop(ctx, life, gate.StopCall{Name: n, Fence: o.Fence})
		return a, gate.HoldAnswer{}, err
	}))
	mux.HandleFunc("POST /v1/hold", p.serve(OrderHold, func(ctx context.Context, e *Executor, life gate.Incarnation, o orderOnWire, _ job.RunName) (gate.Answer, gate.HoldAnswer, error) {
		return e.Hold(ctx, life, gate.HoldCall{Fence: o.Fence, UntilMS: o.UntilMS, Seen: o.Seen, WaitMS: o.WaitMS})
	}))
	return mux
}

type executorCall func(ctx context.Context, e *Executor, life gate.Incarnation, o orderOnWire, n job.RunName) (gate.Answer, gate.HoldAnswer, error)

func (p *ExecutorPort) serve(kind string, do executorCall) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var o orderOnWire
		if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxRequestBytes)).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		name := job.RunName{Run: o.Run}
		if o.Task != "" {
			task, err := parseTask(o.Task)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			name.TaskName = task
		}
		life := gate.Incarnation{ID: req.Header.Get(headerTargetInstance)}
		e := p.receiver(req.Context())
		if e == nil {
			abortConnection()
		}
		if loss := p.loss(kind); loss.Unanswered {
			runAfter(loss.Late, func() { p.carryOutLate(e, func(e *Executor) { _, _, _ = do(context.Background(), e, life, o, name) }) })
			<-req.Context().Done()
			abortConnection()
		}
		a, lists, err := do(req.Context(), e, life, o, name)
		if errors.Is(err, gate.ErrUnanswered) {
			abortConnection()
		}
		if errors.Is(err, gate.ErrOtherIncarnation) {
			w.Header().Set(headerInstanceID, a.Incarnation.ID)
		}
		status, reason := statusOnWire(err)
		answer := listsOnWire{ClockMS: a.ClockMS, Reason: reason, Running: runningOnWire(lists.Running), Finished: finishedOnWire(lists.Finished)}
		if kind == OrderHold && err == nil {
			answer.Born = a.Incarnation.Born
		}
		writeWire(w, status, answer)
	}
}

// carryOutLate carries out a delayed call that an incarnation has received. A call that the
// incarnation holds ends with it, unless KeepConnections is set.
func (p *ExecutorPort) carryOutLate(received *Executor, do func(*Executor)) {
	if p.KeepConnections {
		received = p.Executor()
	}
	do(received)
}

// runAfter calls do after a delay; 0 means never.
func runAfter(after time.Duration, do func()) {
	if after > 0 {
		time.AfterFunc(after, do)
	}
}

// parseTask parses a task's name, JOB.TIME.STEP.INDEX.
func parseTask(text string) (job.TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return job.TaskName{}, fmt.Errorf("task %q: want four parts", text)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return job.TaskName{}, fmt.Errorf("task %q: %w", text, err)
		}
		numbers[i] = n
	}
	return job.TaskName{Job: job.ID(parts[0]), JobRun: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

func formatTask(n job.TaskName) string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.JobRun, n.Step, n.Index)
}

func statusOnWire(err error) (status int, reason string) {
	switch {
	case err == nil:
		return http.StatusOK, ""
	case errors.Is(err, gate.ErrNoRoom):
		return http.StatusConflict, "room"
	case errors.Is(err, gate.ErrOldRun):
		return http.StatusConflict, "old"
	case errors.Is(err, gate.ErrLate):
		return http.StatusConflict, "late"
	case errors.Is(err, gate.ErrFenced):
		return http.StatusConflict, "fence"
	case errors.Is(err, gate.ErrOtherIncarnation):
		return http.StatusMisdirectedRequest, ""
	}
	return http.StatusServiceUnavailable, ""
}

func runningOnWire(runs []gate.Running) [][]any {
	var rows [][]any
	for _, r := range runs {
		rows = append(rows, []any{formatTask(r.Name.TaskName), r.Name.Run, r.Checkpoint, r.Percent})
	}
	return rows
}

// endKinds holds the wire names of kinds of ends.
var endKinds = map[gate.EndKind]string{
	gate.EndDone: "done", gate.EndFailed: "failed", gate.EndStopped: "stopped",
	gate.EndLapsed: "lapsed", gate.EndBroken: "broken", gate.EndAlone: "alone",
}

func finishedOnWire(ends []gate.Ended) [][]any {
	var rows [][]any
	for _, e := range ends {
		rows = append(rows, []any{e.Number, formatTask(e.Name.TaskName), e.Name.Run, endKinds[e.Kind], e.Checkpoint})
	}
	return rows
}

// heartbeatOnWire is the body of a heartbeat.
type heartbeatOnWire struct {
	Service  string         `json:"service"`
	State    string         `json:"state"`
	Capacity capacityOnWire `json:"capacity"`
	Labels   []string       `json:"labels"`
	ClockMS  int64          `json:"clockMs"`
	Born     int64          `json:"born"`
	Sequence int64          `json:"seq"`
	// RemainingMS is omitted unless the executor has announced its end.
	RemainingMS int64 `json:"remainingMs,omitempty"`
}

type capacityOnWire struct {
	CPU    int `json:"cpu"`
	Memory int `json:"memMb"`
	GPU    int `json:"gpu"`
}

// SendHeartbeats periodically sends heartbeats of the current incarnation to a control
// address until the context ends.
func (p *ExecutorPort) SendHeartbeats(ctx context.Context, control string, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if b, ok := p.Executor().NextHeartbeat(); ok {
			// A failed heartbeat is not retried; the next one follows.
			_ = p.SendHeartbeat(ctx, control, b)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// heartbeatTimeout is how long an executor waits for the response to a heartbeat.
const heartbeatTimeout = time.Second

// errNotAcknowledged is returned for a heartbeat that got a status other than 200.
var errNotAcknowledged = errors.New("standin: heartbeat not acknowledged")

// SendHeartbeat sends a heartbeat to a control address. It returns nil if it was acknowledged.
func (p *ExecutorPort) SendHeartbeat(ctx context.Context, control string, b Heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	body, err := json.Marshal(p.heartbeatBody(b))
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+"/v1/executors/"+b.Life+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errNotAcknowledged
	}
	return nil
}

func (p *ExecutorPort) heartbeatBody(b Heartbeat) heartbeatOnWire {
	state := "ready"
	if b.Draining {
		state = "draining"
	}
	return heartbeatOnWire{
		Service: p.Service, State: state, Sequence: b.Sequence, ClockMS: b.ClockMS, Born: b.Born,
		Capacity:    capacityOnWire{CPU: b.Capacity.CPU, Memory: b.Capacity.Memory, GPU: b.Capacity.GPU},
		RemainingMS: b.RemainingMS,
	}
}
