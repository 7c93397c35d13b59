package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["spread"] = caseSpread }

// caseSpread: a large job whose tasks may not share an executor keeps all later jobs from starting.
func caseSpread(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, options{entries: 2, agents: 4, capacity: 16000, workOf: func(_, spec string) work {
		w := work{lasts: 200 * time.Millisecond, end: "done", cpu: 500}
		if strings.HasPrefix(spec, "long") {
			w.lasts = 40 * time.Second
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
	large := step{"count": 24, "cpu": 500, "memMb": 64, "estimateMs": 40000}
	if trouble {
		large["antiAffinity"] = 1
	}
	if !d.submitUntilTaken(e, newID(), "long", 5*time.Second, large) {
		return false, fmt.Errorf("%w: the large job was not accepted", errCannotRun)
	}
	time.Sleep(time.Second)
	small := newID()
	if !d.submitUntilTaken(e, small, "short", 5*time.Second, step{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 200}) {
		return false, fmt.Errorf("%w: the small job was not accepted", errCannotRun)
	}
	r.say("client the small job %s is accepted", small)
	accepted := time.Now()
	time.Sleep(18 * time.Second)
	a := d.state(e, small)
	r.say("client %s after the small job was accepted: %s, %d starts", time.Since(accepted).Round(time.Second), a, len(d.starts(small)))
	return a.state() == "completed" || len(d.starts(small)) > 0, nil
}
