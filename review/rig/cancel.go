package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["cancel"] = caseCancel }

// caseCancel: the store carries out some writes late and without an answer, among them the one that
// accepts a job; its client gets 504, gives up and cancels the job.
func caseCancel(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, options{entries: 2, agents: 4, capacity: 16000, workOf: func(_, _ string) work {
		return work{lasts: 3500 * time.Millisecond, end: "done", cpu: 500}
	}})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return false, err
	}
	e := d.entries[0]
	if !d.submitUntilTaken(e, newID(), "first", 5*time.Second, step{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 3500}) {
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
					n := lost.Add(1)
					r.add("store  the write that accepts job %s gets no answer (%d)", id, n)
					return writeFate{unanswered: true, late: 2500 * time.Millisecond}
				}
			}
			return writeFate{}
		})
		r.say("fault  the store carries out some writes late and does not answer them")
	}
	steps := []step{
		{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 3500},
		{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 3500, "afterRev": []int{0}},
		{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 3500, "afterRev": []int{1}},
		{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 3500, "afterRev": []int{2}},
	}
	a := d.submit(e, id, "cancelled", steps...)
	r.say("client the submission of %s is answered: %s", id, a)
	c := d.request(e, "DELETE", id, nil, 2*time.Second)
	for c.status/100 != 2 && c.status != 410 {
		time.Sleep(200 * time.Millisecond)
		c = d.request(e, "DELETE", id, nil, 2*time.Second)
	}
	r.say("client the cancelling of %s is acknowledged: %s", id, c)
	time.Sleep(500 * time.Millisecond)
	d.store.setFate(nil)
	healed := time.Now()
	r.say("fault  the store answers all writes again; %d of %d got no answer", lost.Load(), all.Load())
	time.Sleep(14 * time.Second)
	late := 0
	for _, s := range d.starts(id) {
		// By a machine in touch, later than cancel_ms after the acknowledgement.
		if s.at.Sub(c.got) > 3*time.Second && s.at.Sub(healed) > 3*time.Second {
			late++
			r.say("run    executor %s was told to start %s %.1f s after the job's cancelling was acknowledged", s.executor, s.task, s.at.Sub(c.got).Seconds())
		}
	}
	r.say("client the cancelled job is shown as: %s", d.state(e, id))
	return late == 0, nil
}
