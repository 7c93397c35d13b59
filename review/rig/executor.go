package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of an executor, as the settings files of the case state them.
const (
	heartbeatTime = 1500 * time.Millisecond
	maxHold       = time.Second
	executorStep  = 2 * time.Millisecond
)

// work is what an executor does with a run.
type work struct {
	lasts time.Duration
	// end is how the run ends if nothing ends it sooner.
	end string
	// crashes makes the executor crash once the run has lasted that long.
	crashes bool
	cpu     int
}

// execRun is a run of an executor.
type execRun struct {
	task    string
	run     int
	began   time.Time
	work    work
	stopped bool
}

// startSeen is a start that an executor has carried out, kept over its lives.
type startSeen struct {
	at       time.Time
	executor string
	life     string
	task     string
	run      int
	end      string
	endedAt  time.Time
}

// executor stands in for the executor of one machine and its next lives.
type executor struct {
	record   *record
	name     string
	service  string
	control  string
	address  string
	capacity int
	labels   []string
	// workOf tells what the executor does with a task.
	workOf func(task, spec string) work
	// backAfter is how long a crashed executor is away.
	backAfter time.Duration

	mu       sync.Mutex
	life     string
	lives    int
	up       bool
	began    time.Time
	seq      int
	fence    uint64
	until    int64
	running  map[string]*execRun
	highest  map[string]int
	finished [][]any
	count    int
	starts   []*startSeen
	crashes  []time.Time
	conns    map[net.Conn]bool
	changed  chan struct{}
}

func (e *executor) begin() {
	e.lives++
	e.life = fmt.Sprintf("i-%s-%d", e.name, e.lives)
	e.up, e.began, e.seq, e.fence, e.until, e.count = true, time.Now(), 0, 0, 0, 0
	e.running, e.highest, e.finished = map[string]*execRun{}, map[string]int{}, nil
}

// serve starts the executor and serves it until the context ends.
func (e *executor) serve(ctx context.Context) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.conns, e.changed = map[net.Conn]bool{}, make(chan struct{})
	e.mu.Lock()
	e.begin()
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.call(e.start))
	mux.HandleFunc("POST /v1/run-stop", e.call(e.stop))
	mux.HandleFunc("POST /v1/hold", e.call(e.hold))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, ConnState: e.track}
	go func() { _ = srv.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	go e.beat(ctx)
	go e.step(ctx)
	return nil
}

func (e *executor) track(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		if !e.up {
			_ = c.Close()
			return
		}
		e.conns[c] = true
	case http.StateClosed:
		delete(e.conns, c)
	}
}

// beat sends the heartbeats.
func (e *executor) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		e.mu.Lock()
		up, life := e.up, e.life
		e.seq++
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": map[string]int{"cpu": e.capacity, "memMb": 131072, "gpu": 0},
			"labels": e.labels, "clockMs": e.clock(), "seq": e.seq,
		})
		e.mu.Unlock()
		pause := heartbeatTime
		if up {
			res, err := client.Post("http://"+e.control+"/v1/executors/"+life+"/heartbeat", "application/json", bytes.NewReader(body))
			if err == nil {
				_ = res.Body.Close()
			}
			if err != nil || res.StatusCode != http.StatusOK {
				pause = 200 * time.Millisecond
			}
		} else {
			pause = 50 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// clock is the executor's steady clock in milliseconds.
func (e *executor) clock() int64 { return 1000 + time.Since(e.began).Milliseconds() }

// step ends the runs that are due.
func (e *executor) step(ctx context.Context) {
	t := time.NewTicker(executorStep)
	defer t.Stop()
	for ctx.Err() == nil {
		<-t.C
		e.mu.Lock()
		if e.up {
			e.advance()
		}
		e.mu.Unlock()
	}
}

func (e *executor) advance() {
	now := time.Now()
	lapsed := e.clock() > e.until
	for _, r := range e.running {
		due := now.Sub(r.began) >= r.work.lasts
		switch {
		case due && r.work.crashes:
			e.crash()
			return
		case due:
			e.end(r, r.work.end)
		case lapsed:
			e.end(r, "lapsed")
		case r.stopped:
			e.end(r, "stopped")
		}
	}
}

func (e *executor) end(r *execRun, how string) {
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.count++
	e.finished = append(e.finished, []any{e.count, r.task, r.run, how, ""})
	e.note(r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) note(r *execRun, how string) {
	for _, s := range e.starts {
		if s.life == e.life && s.task == r.task && s.run == r.run && s.end == "" {
			s.end, s.endedAt = how, time.Now()
		}
	}
	e.record.add("run    %s %s run %d ends: %s", e.life, r.task, r.run, how)
}

// crash ends the life with all that runs; the next one comes after backAfter under another id.
func (e *executor) crash() {
	for _, r := range e.running {
		e.note(r, "crash")
	}
	e.record.say("crash  executor %s crashes", e.life)
	e.up = false
	e.crashes = append(e.crashes, time.Now())
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(e.conns)
	time.AfterFunc(e.backAfter, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.begin()
		e.record.add("crash  executor %s begins", e.life)
	})
}

type wireOrder struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"untilMs"`
	Fence    uint64 `json:"fence"`
	LastSeen int    `json:"lastSeen"`
	WaitMS   int    `json:"waitMs"`
}

type execAnswer struct {
	ClockMS  int64   `json:"clockMs"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// call checks the life and the fencing token of a call and answers it.
func (e *executor) call(do func(req *http.Request, o wireOrder) (int, execAnswer)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var o wireOrder
		if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		if !e.up {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		e.advance()
		var status int
		var a execAnswer
		switch id := req.Header.Get("Rackspur-Target-Instance"); {
		case !e.up:
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		case id != "" && id != e.life:
			w.Header().Set("Rackspur-Instance-Id", e.life)
			status = http.StatusMisdirectedRequest
		case o.Fence < e.fence:
			status, a = http.StatusConflict, execAnswer{Reason: "fence"}
		default:
			e.fence = o.Fence
			status, a = do(req, o)
		}
		a.ClockMS = e.clock()
		e.mu.Unlock()
		writeJSON(w, status, a)
	}
}

func (e *executor) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+maxHold.Milliseconds()))
}

func (e *executor) start(_ *http.Request, o wireOrder) (int, execAnswer) {
	e.extend(o.UntilMS)
	known := e.running[o.Task]
	w := e.workOf(o.Task, o.Spec)
	used := 0
	for _, r := range e.running {
		used += r.work.cpu
	}
	switch {
	case known != nil && known.run == o.Run:
		return http.StatusOK, execAnswer{}
	case e.clock() > o.UntilMS:
		return http.StatusConflict, execAnswer{Reason: "late"}
	case known != nil || o.Run <= e.highest[o.Task]:
		return http.StatusConflict, execAnswer{Reason: "old"}
	case used+w.cpu > e.capacity:
		return http.StatusConflict, execAnswer{Reason: "room"}
	}
	e.running[o.Task] = &execRun{task: o.Task, run: o.Run, began: time.Now(), work: w}
	e.starts = append(e.starts, &startSeen{at: time.Now(), executor: e.name, life: e.life, task: o.Task, run: o.Run})
	e.record.add("run    %s starts %s run %d", e.life, o.Task, o.Run)
	return http.StatusOK, execAnswer{}
}

func (e *executor) stop(_ *http.Request, o wireOrder) (int, execAnswer) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.running[o.Task]; r != nil && r.run <= o.Run {
		r.stopped = true
		e.advance()
	}
	return http.StatusOK, execAnswer{}
}

// hold may wait for an end. It is called with the lock held.
func (e *executor) hold(req *http.Request, o wireOrder) (int, execAnswer) {
	e.extend(o.UntilMS)
	for len(e.finished) > 0 && e.finished[0][0].(int) <= o.LastSeen {
		e.finished = e.finished[1:]
	}
	life := e.life
	timer := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := o.WaitMS > 0; waiting && len(e.finished) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		e.mu.Lock()
		if !e.up || e.life != life {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	a := execAnswer{Running: [][]any{}, Finished: [][]any{}}
	for _, r := range e.running {
		percent := int(100 * time.Since(r.began) / max(r.work.lasts, 1))
		a.Running = append(a.Running, []any{r.task, r.run, "", min(99, percent)})
	}
	a.Finished = append(a.Finished, e.finished[:min(len(e.finished), storePage)]...)
	return http.StatusOK, a
}

// resize changes the executor's capacity; what runs goes on.
func (e *executor) resize(capacity int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.capacity = capacity
}

// seen returns copies of the starts that the executor has carried out.
func (e *executor) seen() []startSeen {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []startSeen
	for _, s := range e.starts {
		all = append(all, *s)
	}
	return all
}
