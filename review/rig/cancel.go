package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["cancel"] = caseCancel }

// caseCancel: the store carries out some writes late and does not answer them, among them the one
// that accepts a job. Its client gets 504 and cancels the job.
func caseCancel(r *record, trouble bool) (bool, error) {
	const cancelWithin, late, share = 3 * time.Second, 2500 * time.Millisecond, 0.35
	const task = 3500 * time.Millisecond
	d, err := newDeployment(r, options{entries: 2, agents: 4, capacity: 16000, priority: 1, workOf: func(_, _ string) work {
		return work{lasts: task, end: "done", cpu: 500}
	}})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return false, err
	}
	e := d.entries[0]
	one := step{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": task.Milliseconds()}
	if !d.submitUntilTaken(e, newID(), "first", 5*time.Second, one) {
		return false, fmt.Errorf("%w: the first job was not accepted", errCannotRun)
	}
	time.Sleep(6 * time.Second)
	id := newID()
	var lost, all atomic.Int64
	if trouble {
		d.store.setFate(func(t *wireTx) writeFate {
			all.Add(1)
			for _, p := range t.Puts {
				if p.Table == "jobs" && p.Key == id {
					r.add("store  a write that accepts the job %s gets no answer (%d)", id, lost.Add(1))
					return writeFate{unanswered: true, late: late}
				}
			}
			return writeFate{}
		})
		r.say("fault  the store carries out some writes %s late and does not answer them", late)
	}
	var steps []step
	for i := range 4 {
		s := step{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": task.Milliseconds()}
		if i > 0 {
			s["afterRev"] = []int{i - 1}
		}
		steps = append(steps, s)
	}
	r.say("client the submission of %s is answered: %s", id, d.submit(e, id, "cancelled", steps...))
	c := d.request(e, http.MethodDelete, id, nil, 2*time.Second)
	for try := 0; c.status/100 != 2 && c.status != http.StatusGone; try++ {
		if try == 30 {
			return false, fmt.Errorf("%w: the cancelling is not acknowledged", errCannotRun)
		}
		time.Sleep(200 * time.Millisecond)
		c = d.request(e, http.MethodDelete, id, nil, 2*time.Second)
	}
	r.say("client the cancelling of %s is acknowledged: %s", id, c)
	time.Sleep(300 * time.Millisecond)
	d.store.setFate(nil)
	// The last late write is carried out by then.
	healed := time.Now().Add(late)
	r.say("fault  the store answers all writes again; %d of %d got no answer", lost.Load(), all.Load())
	if n := all.Load(); float64(lost.Load()) > share*float64(n) {
		return false, fmt.Errorf("%w: more than %v of the writes were lost", errCannotRun, share)
	}
	time.Sleep(4 * task)
	broken := 0
	for _, s := range d.starts(id) {
		if s.at.Sub(c.got) > cancelWithin && s.at.Sub(healed) > contact {
			broken++
			r.say("run    executor %s was told to start %s %.1f s after the job's cancelling was acknowledged", s.executor, s.task, s.at.Sub(c.got).Seconds())
		}
	}
	r.say("client the cancelled job is shown as: %s", d.state(e, id))
	return broken == 0, nil
}
