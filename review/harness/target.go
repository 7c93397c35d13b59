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

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// workFunc returns how long a run takes and how it ends.
type workFunc func(job.RunName) (time.Duration, gate.EndKind)

// Sizes of an executor and of each task.
var (
	capacity = job.Resources{CPU: 16000, Memory: 32768}
	need     = job.Resources{CPU: 1600, Memory: 64}
)

// target is the executor beside an agent: the project's stand-in, with heartbeats of its own that
// carry labels.
type target struct {
	world   *world
	machine *machine
	port    *standin.ExecutorPort

	mu   sync.Mutex
	work workFunc
	// lives are all incarnations, the newest last.
	lives []*life
	beat  chan struct{}
}

// life is one incarnation of an executor.
type life struct {
	*standin.Executor
	labels []string
}

// newTarget serves an executor and starts its first incarnation.
func newTarget(w *world, m *machine, p agentPlan) (*target, error) {
	t := &target{world: w, machine: m, work: p.work, beat: make(chan struct{}, 1)}
	t.port = &standin.ExecutorPort{Need: need, Service: service}
	t.begin(p.labels)
	l, err := net.Listen("tcp", address(m.ip, appPort))
	if err != nil {
		return nil, err
	}
	srv := t.port.Server()
	go func() { _ = srv.Serve(l) }()
	context.AfterFunc(w.ctx, func() { _ = srv.Close() })
	return t, nil
}

// begin starts an incarnation under a new id.
func (t *target) begin(labels []string) {
	t.world.lives++
	id := fmt.Sprintf("i-%08x", 0x7f3a91c0+t.world.lives)
	e := standin.NewExecutor(id, capacity, t.runWork)
	// An executor's clock does not tell when it started.
	e.StartClockMS = int64(400_000 + 1000*t.world.lives)
	e.StopTime = 10 * time.Millisecond
	node := t.machine.node
	e.OnRun = func(s standin.Span) {
		if s.End == 0 {
			t.world.log.add("run", "%s (%s %v): task %s run %d starts", node, id, labels, taskText(s.Name), s.Name.Run)
			return
		}
		t.world.log.add("run", "%s (%s): task %s run %d ends %s, end %d, noted %v", node, id, taskText(s.Name), s.Name.Run, endText(s.End), s.Number, s.Noted)
	}
	t.mu.Lock()
	t.lives = append(t.lives, &life{Executor: e, labels: labels})
	t.mu.Unlock()
	t.port.SetExecutor(e)
	t.beatNow()
}

// beatNow sends the next heartbeat at once.
func (t *target) beatNow() {
	select {
	case t.beat <- struct{}{}:
	default:
	}
}

func (t *target) runWork(n job.RunName) (time.Duration, gate.EndKind) {
	t.mu.Lock()
	work := t.work
	t.mu.Unlock()
	return work(n)
}

// setWork changes how runs that start from now on go.
func (t *target) setWork(f workFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = f
}

// crash ends the incarnation without a word.
func (t *target) crash() {
	t.world.log.add("fault", "the executor of %s crashes", t.machine.node)
	t.port.Crash()
}

// restart starts another incarnation under a new id.
func (t *target) restart(labels []string) {
	t.world.log.add("fault", "the executor of %s is back, with labels %v", t.machine.node, labels)
	t.begin(labels)
}

func (t *target) current() *life {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lives[len(t.lives)-1]
}

// sendHeartbeats sends heartbeats to the agent beside the executor, at once for a new incarnation.
func (t *target) sendHeartbeats() {
	for t.world.ctx.Err() == nil {
		pause := heartbeatTime
		if !t.sendHeartbeat() {
			pause = 200 * time.Millisecond
		}
		select {
		case <-t.beat:
		case <-time.After(pause):
		case <-t.world.ctx.Done():
		}
	}
}

func (t *target) sendHeartbeat() (acknowledged bool) {
	l := t.current()
	b, up := l.NextHeartbeat()
	if !up {
		return true
	}
	heartbeat := map[string]any{
		"service": service, "address": address(t.machine.ip, appPort), "zone": "lhr-a", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": capacity.CPU, "memMb": capacity.Memory, "gpu": 0},
		"labels": l.labels, "clockMs": b.ClockMS, "born": b.Born, "seq": b.Sequence,
	}
	if b.Draining {
		heartbeat["state"], heartbeat["remainingMs"] = "draining", b.RemainingMS
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(t.world.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(t.machine.ip, controlPort)+"/v1/executors/"+l.Life+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}

// started is a run with the executor that ran it.
type started struct {
	standin.Span
	node   string
	labels []string
}

// runsOf returns all runs of a job on all executors, in the order of their starts.
func (w *world) runsOf(id string) []started {
	var all []started
	for _, m := range w.agents {
		m.target.mu.Lock()
		lives := append([]*life(nil), m.target.lives...)
		m.target.mu.Unlock()
		for _, l := range lives {
			for _, s := range l.Journal() {
				if string(s.Name.Job) == id {
					all = append(all, started{Span: s, node: m.node, labels: l.labels})
				}
			}
		}
	}
	sortByStart(all)
	return all
}

func taskText(n job.RunName) string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.JobRun, n.Step, n.Index)
}

func endText(k gate.EndKind) string {
	switch k {
	case gate.EndDone:
		return "done"
	case gate.EndFailed:
		return "failed"
	case gate.EndStopped:
		return "stopped"
	case gate.EndLapsed:
		return "lapsed"
	case gate.EndLost:
		return "with its executor"
	}
	return fmt.Sprintf("kind %d", k)
}
