package main

import (
	"fmt"
	"time"
)

func init() { cases["spread"] = caseSpread }

// Bounds of the settings: finish_s, how long a job may have nothing running although its turn has come,
// and contactMs.
const (
	finish  = 14 * time.Second
	held    = 3 * time.Second
	contact = 3 * time.Second
)

// caseSpread: a large job whose tasks may not share an executor keeps all later jobs of its entry
// from starting, while nearly all capacity is free.
func caseSpread(r *record, trouble bool) (bool, error) {
	const executors, count, cpu, capacity, longTask = 3, 32, 500, 16000, 3600 * time.Millisecond
	d, err := newDeployment(r, options{entries: 2, agents: executors, capacity: capacity, priority: 1, workOf: func(_, spec string) work {
		w := work{lasts: 200 * time.Millisecond, end: "done", cpu: cpu}
		if spec == "long" {
			w.lasts = longTask
		}
		return w
	}})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	e := d.entries[0]
	large := step{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": longTask.Milliseconds()}
	if trouble {
		large["antiAffinity"] = 1
	}
	largeID, smallID := newID(), newID()
	if !d.submitUntilTaken(e, largeID, "long", 5*time.Second, large) {
		return false, fmt.Errorf("%w: the large job was not accepted", errCannotRun)
	}
	r.say("client the large job %s is accepted: %v", largeID, large)
	time.Sleep(time.Second)
	if !d.submitUntilTaken(e, smallID, "short", 5*time.Second, step{"count": 2, "cpu": cpu, "memMb": 64, "estimateMs": 200}) {
		return false, fmt.Errorf("%w: the small job was not accepted", errCannotRun)
	}
	r.say("client the small job %s is accepted; no more jobs are sent", smallID)
	time.Sleep(finish)
	first := d.state(e, smallID)
	time.Sleep(held)
	last := d.state(e, smallID)
	inUse := 0
	for _, s := range d.starts(largeID) {
		if s.end == "" {
			inUse += cpu
		}
	}
	started := len(d.starts(smallID))
	r.say("client the small job is shown as %q %s and as %q %s after the last job was sent; %d of its tasks were started; %d of %d thousandths of a core are in use",
		first.state(), finish, last.state(), finish+held, started, inUse, executors*capacity)
	if 2*inUse >= executors*capacity {
		return false, fmt.Errorf("%w: half of the capacity is in use", errCannotRun)
	}
	return started > 0, nil
}
