package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Times of the case crasher.
const (
	crasherWork = 300 * time.Millisecond
	// crashesAfter is when a run crashes its executor, crashDown how long that is down.
	crashesAfter = 100 * time.Millisecond
	crashDown    = 3 * time.Second
	crasherPlay  = 30 * time.Second
	// crashesAllowed is the number of executors after whose crash further starts count, and
	// startsAllowed the number of such starts that break the rule.
	crashesAllowed = 3
	startsAllowed  = 3
)

// crasher: a task crashes each executor that starts it. Rule BUDGET, as the letters add: such a task is
// not started three times more after three executors have crashed under it.
func crasher(log *record, trouble bool) (string, error) {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return crasherWork, gate.EndDone }
	w, err := siteWorld(log, work)
	defer w.close()
	if err != nil {
		return "", err
	}
	id := newID(8)
	if trouble {
		for _, m := range w.agents {
			m.target.setWork(func(n job.RunName) (time.Duration, gate.EndKind) {
				if string(n.Job) == id {
					time.AfterFunc(crashesAfter, func() { m.target.crashAndReturn(crashDown) })
				}
				return work(n)
			})
		}
	}
	if err := w.entries[0].submit(id, jobOf(1, crasherWork, "")); err != nil {
		return "", err
	}
	time.Sleep(crasherPlay)
	w.entries[1].ask("GET", id, nil)
	crashed, more := 0, 0
	for _, r := range w.runsOf(id) {
		log.add("check", "task %s run %d on %s: started %s, ended %s", taskText(r.Name), r.Name.Run, r.node, clock(log, r.Started), endText(r.End))
		if crashed >= crashesAllowed {
			more++
		}
		if r.End == gate.EndLost {
			crashed++
		}
	}
	if more >= startsAllowed {
		return fmt.Sprintf("BUDGET: the task was started %d times more after %d executors had crashed under it", more, crashesAllowed), nil
	}
	return "", nil
}

// crashAndReturn ends the incarnation and starts another one under a new id.
func (t *target) crashAndReturn(down time.Duration) {
	t.crash()
	time.Sleep(down)
	if t.world.ctx.Err() == nil {
		t.restart(t.current().labels)
	}
}

// Times of the case returns.
const (
	returnsWork     = 6 * time.Second
	returnsDeadline = 9 * time.Second
	// leavesAfter is when the caller's connection breaks.
	leavesAfter = 300 * time.Millisecond
	// restartBefore is how long before the caller's return the entry is killed, and
	// restartDown how long that is down.
	restartBefore = 120 * time.Millisecond
	restartDown   = 20 * time.Millisecond
)

// returns: the connection of a best-effort job's caller breaks on the caller's side only. It submits the
// job again at the entry that had it, which has just been restarted. Rule TWICE: no two runs of a
// task at the same time. This is what issue 60 has left open.
func returns(log *record, trouble bool) (string, error) {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return returnsWork, gate.EndDone }
	w, err := siteWorld(log, work)
	defer w.close()
	if err != nil {
		return "", err
	}
	balancer, err := newProxy(w, address(w.entries[0].ip, proxyPort), address(w.entries[0].ip, frontPort))
	if err != nil {
		return "", err
	}
	id := newID(10)
	body := append([]byte(`{"bestEffort":true,`), jobOf(1, returnsWork, "")[1:]...)
	var callers sync.WaitGroup
	callers.Go(func() { w.entries[0].askAt(balancer.listens, returnsDeadline, http.MethodPost, id, body) })
	time.Sleep(leavesAfter)
	if trouble {
		log.add("fault", "the caller's connection is reset on its side; the entry's side stays open")
		balancer.resetClients()
		time.Sleep(retransmit - restartBefore)
		w.entries[0].kill()
		time.Sleep(restartDown)
		if err := w.entries[0].restart(); err != nil {
			return "", err
		}
		time.Sleep(restartBefore - restartDown)
		for range 5 {
			if status := w.entries[0].askAt(address(w.entries[0].ip, frontPort), returnsDeadline, http.MethodPost, id, body); status/100 == 2 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	callers.Wait()
	return twiceBroken(log, w.runsOf(id)), nil
}

// askAt sends a request with a deadline to an address of the entry and returns the status.
func (m *machine) askAt(at string, patience time.Duration, method, path string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+at+prefix+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Rackspur-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	m.world.log.add("sent", "%s %s to %s", method, path, m.node)
	c := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		m.world.log.add("answer", "%s %s by %s: none", method, path, m.node)
		return 0
	}
	_ = res.Body.Close()
	m.world.log.add("answer", "%s %s by %s: %d", method, path, m.node, res.StatusCode)
	return res.StatusCode
}
