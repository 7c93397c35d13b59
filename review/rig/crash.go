package main

import (
	"fmt"
	"sort"
	"time"
)

func init() { cases["crash"] = caseCrash }

// Figures of the letters' term on tasks that crash executors.
const (
	crashesBefore = 3
	startsAfter   = 3
)

// caseCrash: a task crashes each executor that starts it; the executor is back after some seconds.
func caseCrash(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, options{entries: 2, agents: 6, capacity: 16000, backAfter: 4 * time.Second, workOf: func(_, spec string) work {
		return work{lasts: 150 * time.Millisecond, end: "done", cpu: 500, crashes: trouble && spec == "crash"}
	}})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	id := newID()
	if !d.submitUntilTaken(d.entries[0], id, "crash", 5*time.Second, step{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 150}) {
		return false, fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	r.say("client job %s is accepted", id)
	time.Sleep(40 * time.Second)
	a := d.state(d.entries[1], id)
	starts := d.starts(id)
	sort.Slice(starts, func(i, j int) bool { return starts[i].at.Before(starts[j].at) })
	crashed, after := 0, 0
	for _, s := range starts {
		if crashed >= crashesBefore {
			after++
		}
		if s.end == "crash" {
			crashed++
		}
	}
	r.say("client after 40 s the job is shown as %q; its task was started %d times, %d executors have crashed under it, %d starts came after the first %d of them",
		a.state(), len(starts), crashed, after, crashesBefore)
	if !trouble {
		return a.state() == "completed", nil
	}
	return after < startsAfter, nil
}
