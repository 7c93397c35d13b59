package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Clients whose jobs wait, with their whole requests sent and their connections open.

// Figures of the clients that wait. Their deadline is after the end of the script.
const (
	waitingConns    = 3000
	waitingDeadline = 100_000
	waitingEstimate = 600_000
)

func openWork(job.RunName) (time.Duration, gate.EndKind) { return shortWork, gate.EndDone }

// waitAt opens connections to an entry, sends one request on each and leaves them open.
func (w *world) waitAt(m *machine, conns int) (open int) {
	var mu sync.Mutex
	var all []net.Conn
	w.atEnd(func() {
		for _, c := range all {
			_ = c.Close()
		}
	})
	body := submission{Spec: "x", BestEffort: true, Steps: []step{{Count: 1, CPU: 1, MemMB: 65536, EstimateMS: waitingEstimate}}}.encode()
	var wait sync.WaitGroup
	const dialers = 8
	for range dialers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range conns / dialers {
				c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, w.ports.front), time.Second)
				if err != nil {
					continue
				}
				mu.Lock()
				all = append(all, c)
				mu.Unlock()
				_, _ = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nRackspur-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
					prefix, newID(), host, waitingDeadline, len(body), body)
			}
		}()
	}
	wait.Wait()
	return len(all)
}

func playOpen(record *os.File, trouble bool) error {
	w, err := newWorld(record, trouble, options{entries: 3, agents: 4, need: job.Resources{CPU: usualCPU, Memory: 64}, work: openWork})
	defer w.close()
	if err != nil {
		return err
	}
	ordinary := w.begin(submission{Spec: "clash check", Steps: []step{{Count: clashCheck, CPU: usualCPU, MemMB: 64, EstimateMS: 30}}}, 100*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble {
		for _, m := range w.entries {
			w.logf("%d connections to %s, each with one request", w.waitAt(m, waitingConns), m.name)
		}
	}
	time.Sleep(20 * time.Second)
	ordinary.end()
	ordinary.tell("ordinary jobs")
	w.logf("traffic has ended")
	time.Sleep(finish)
	accepted := ordinary.accepted(w.started, time.Now())
	states := w.ask(accepted)
	w.logf("%d accepted jobs asked for %v after the traffic: %v", len(accepted), finish, states)
	if n := states[noAnswer]; n > 0 {
		return fmt.Errorf("%w: LOST: %d of %d accepted jobs got no answer in time", errBroken, n, len(accepted))
	}
	return nil
}
