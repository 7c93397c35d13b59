package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// Jobs whose tasks crash the executors that start them, beside ordinary jobs.

// Figures of the script.
const (
	crashJobs  = 3
	crashTasks = 8
	crashAfter = 100 * time.Millisecond
	backAfter  = 3 * time.Second
	longWork   = 3500 * time.Millisecond
	reshuffle  = 4
)

// crashers are the jobs whose tasks crash executors.
type crashers struct {
	mu      sync.Mutex
	jobs    map[job.ID]bool
	crashes int
}

func (c *crashers) has(id job.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// arm makes the executor of a machine crash under the tasks of crashers.
func (w *world) arm(m *machine, c *crashers) {
	e := m.port.Executor()
	e.OnRun = func(s standin.Span) {
		if s.End == 0 && c.has(s.Name.Job) {
			time.AfterFunc(crashAfter, func() { w.crash(m, e, c, s.Name) })
		}
	}
}

// crash crashes the executor of a machine, unless it has crashed already, and starts another.
func (w *world) crash(m *machine, e *standin.Executor, c *crashers, name job.RunName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.port.Executor() != e || e.Down() {
		return
	}
	c.crashes++
	next := fmt.Sprintf("i-%s-%d", strings.Split(e.Life, "-")[1], c.crashes)
	m.port.Crash()
	m.hangUp()
	w.mu.Lock()
	m.former = append(m.former, e)
	m.down = append(m.down, outage{from: time.Now()})
	w.mu.Unlock()
	w.logf("executor of %s crashes under %s.0.%d.%d run %d", m.name, name.Job, name.Step, name.Index, name.Run)
	time.AfterFunc(backAfter, func() {
		x := standin.NewExecutor(next, e.Capacity, w.work)
		x.StopTime = e.StopTime
		m.port.SetExecutor(x)
		if err := m.listen(); err != nil {
			w.logf("executor of %s does not listen: %v", m.name, err)
			return
		}
		w.arm(m, c)
		w.mu.Lock()
		m.down[len(m.down)-1].until = time.Now()
		w.mu.Unlock()
		w.beat(m)
	})
}

func suspectWork(job.RunName) (time.Duration, gate.EndKind) { return longWork, gate.EndDone }

func playSuspect(record *os.File, trouble bool) error {
	c := &crashers{jobs: map[job.ID]bool{}}
	w, err := newWorld(record, trouble, options{entries: 3, agents: 11, need: job.Resources{CPU: usualCPU, Memory: 64}, work: suspectWork})
	defer w.close()
	if err != nil {
		return err
	}
	for _, m := range w.agents {
		w.arm(m, c)
	}
	ordinary := w.begin(submission{Spec: "reshuffle", Steps: []step{{Count: reshuffle, CPU: usualCPU, MemMB: 64, EstimateMS: int(longWork.Milliseconds())}}}, 450*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble {
		body := submission{Spec: "crash", Steps: []step{{Count: crashTasks, CPU: usualCPU, MemMB: 64, EstimateMS: int(longWork.Milliseconds())}}}.encode()
		for i := range crashJobs {
			id := newID()
			c.mu.Lock()
			c.jobs[job.ID(id)] = true
			c.mu.Unlock()
			status, _ := w.call(w.entries[i%len(w.entries)], "POST", id, body, deadline)
			w.logf("job %s with %d tasks that crash executors: %d", id, crashTasks, status)
		}
	}
	time.Sleep(40 * time.Second)
	ordinary.end()
	ordinary.tell("ordinary jobs")
	w.logf("traffic has ended")
	time.Sleep(finish)
	for id := range c.jobs {
		_, answer := w.call(w.entries[0], "GET", string(id), nil, deadline)
		w.logf("job %s: %s", id, answer)
	}
	return w.judgeLost(ordinary, reshuffle)
}
