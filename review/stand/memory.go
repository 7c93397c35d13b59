package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Jobs with a long label that no executor has: each is kept in the memory of its owner, whole, and
// nothing bounds how much they take together.

// Figures of the jobs that wait.
const (
	waitingJobs  = 9600
	labelBytes   = 60000
	floodClients = 24
	// floodTime bounds the time in which the jobs are handed in; no more are once enoughEnds processes
	// have ended.
	floodTime  = 30 * time.Second
	enoughEnds = 5
)

func plainWork(job.RunName) (time.Duration, gate.EndKind) { return 30 * time.Millisecond, gate.EndDone }

// platformKills counts, by machine, the ends of processes that took more memory than their machine has,
// and the most that they took, in MB. The platform ends such a process and starts it again.
type platformKills struct {
	mu   sync.Mutex
	ends map[string]int
	most map[string]int
}

// total returns the number of all ends.
func (k *platformKills) total() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, ends := range k.ends {
		n += ends
	}
	return n
}

// anonymousMB returns the anonymous memory of a machine's process.
func (m *machine) anonymousMB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// watchMemory watches a machine until the script ends.
func (w *world) watchMemory(m *machine, role string, limitMB int, k *platformKills) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	w.watches = append(w.watches, func() {
		close(stop)
		<-stopped
	})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			used := m.anonymousMB()
			k.mu.Lock()
			k.most[m.name] = max(k.most[m.name], used)
			k.mu.Unlock()
			if used <= limitMB && !m.hasExited() {
				continue
			}
			w.logf("platform: %s takes %d MB of %d MB and is killed", m.name, used, limitMB)
			_ = m.cmd.Process.Kill()
			<-m.exited
			k.mu.Lock()
			k.ends[m.name]++
			k.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			if err := w.start(m, role); err != nil {
				w.logf("%s is not started again: %v", m.name, err)
				return
			}
		}
	}()
}

func playMemory(record *os.File, trouble bool) error {
	w, err := newWorld(record, trouble, options{entries: 3, agents: 4, need: job.Resources{CPU: usualCPU, Memory: 64}, work: plainWork})
	defer w.close()
	if err != nil {
		return err
	}
	kills := &platformKills{ends: map[string]int{}, most: map[string]int{}}
	for _, m := range w.entries {
		w.watchMemory(m, "entry", entryMemoryMB, kills)
	}
	ordinary := w.begin(submission{Spec: "clash check", Steps: []step{{Count: clashCheck, CPU: usualCPU, MemMB: 64, EstimateMS: 30}}}, 100*time.Millisecond)
	time.Sleep(5 * time.Second)
	label := 100
	if trouble {
		label = labelBytes
	}
	body := submission{Spec: "x", Steps: []step{{Count: 1, CPU: 1, MemMB: 1, EstimateMS: 1, Requires: strings.Repeat("k", label)}}}.encode()
	codes := map[int]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	until := time.Now().Add(floodTime)
	for i := range floodClients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range waitingJobs / floodClients {
				if kills.total() >= enoughEnds || time.Now().After(until) {
					return
				}
				status, _ := w.call(w.entries[i%len(w.entries)], "POST", newID(), body, deadline)
				mu.Lock()
				codes[status]++
				mu.Unlock()
				if status != 200 {
					time.Sleep(retryAfter)
				}
			}
		}()
	}
	wait.Wait()
	w.logf("jobs of %d bytes with a label that no executor has: %v", len(body), codes)
	time.Sleep(15 * time.Second)
	ordinary.end()
	ordinary.tell("ordinary jobs")
	w.logf("traffic has ended")
	time.Sleep(finish)
	idle := w.judgeLost(ordinary, clashCheck)
	accepted := ordinary.accepted(w.started, time.Now())
	unanswered := 0
	for _, j := range accepted {
		if j.state == noAnswer {
			unanswered++
		}
	}
	kills.mu.Lock()
	defer kills.mu.Unlock()
	w.logf("ends of processes above their memory: %v; most memory in MB: %v", kills.ends, kills.most)
	if unanswered > 0 {
		return fmt.Errorf("%w: LOST: %d of %d accepted jobs got no answer in time", errBroken, unanswered, len(accepted))
	}
	return idle
}
