package main

import (
	"fmt"
	"time"
)

func init() { cases["shrink"] = caseShrink }

// caseShrink: an executor's capacity shrinks while a run waits at its gate that no longer fits.
func caseShrink(r *record, trouble bool) (bool, error) {
	const executors, capacity, shrunk, cpu, task = 3, 16000, 4000, 4700, 3600 * time.Millisecond
	// Three tasks fill an executor; one more waits at its gate.
	const perExecutor = capacity / cpu
	d, err := newDeployment(r, options{entries: 2, agents: executors, capacity: capacity, workOf: func(_, _ string) work {
		return work{lasts: task, end: "done", cpu: cpu}
	}})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	e := d.entries[0]
	var ids []string
	for i := range executors * (perExecutor + 1) {
		id := newID()
		if a := d.submit(e, id, "task", step{"count": 1, "cpu": cpu, "memMb": 64, "estimateMs": task.Milliseconds()}); a.status/100 != 2 {
			return false, fmt.Errorf("%w: job %d was not accepted: %s", errCannotRun, i, a)
		}
		ids = append(ids, id)
	}
	r.say("client %d jobs with one task of %d thousandths of a core each are accepted; no more jobs are sent", len(ids), cpu)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		d.agents[0].executor.resize(shrunk)
		r.say("fault  executor 1 shrinks from %d to %d thousandths of a core", capacity, shrunk)
	}
	time.Sleep(finish)
	first := d.notBegun(ids)
	time.Sleep(held)
	stuck := d.notBegun(ids)
	for _, id := range stuck {
		r.say("client %s after the last job was sent, job %s is shown as %s; its task was never started", finish+held, id, d.state(e, id))
	}
	inUse := 0
	for _, id := range ids {
		for _, s := range d.starts(id) {
			if s.end == "" {
				inUse += cpu
			}
		}
	}
	r.say("client %d of %d jobs had not begun %s after the last job was sent, %d had not %s after; %d of %d thousandths of a core are in use",
		len(first), len(ids), finish, len(stuck), finish+held, inUse, (executors-1)*capacity+shrunk)
	return len(stuck) == 0, nil
}

// notBegun returns the jobs of which no task was started.
func (d *deployment) notBegun(ids []string) []string {
	var rest []string
	for _, id := range ids {
		if len(d.starts(id)) == 0 {
			rest = append(rest, id)
		}
	}
	return rest
}
