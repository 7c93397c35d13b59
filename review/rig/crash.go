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
// Other jobs run beside it.
func caseCrash(r *record, trouble bool) (bool, error) {
	const others, otherTask, lasts = 4, 9 * time.Second, 40 * time.Second
	d, err := newDeployment(r, options{entries: 2, agents: 4, capacity: 16000, priority: 1, backAfter: 4 * time.Second, workOf: func(_, spec string) work {
		if spec == "other" {
			return work{lasts: otherTask, end: "done", cpu: 500}
		}
		return work{lasts: 150 * time.Millisecond, end: "done", cpu: 500, crashes: trouble}
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
	began := time.Now()
	r.say("client the job %s is accepted; its task crashes the executor: %v", id, trouble)
	var beside []string
	for range others {
		other := newID()
		if !d.submitUntilTaken(d.entries[1], other, "other", 5*time.Second, step{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": otherTask.Milliseconds()}) {
			return false, fmt.Errorf("%w: another job was not accepted", errCannotRun)
		}
		beside = append(beside, other)
	}
	r.say("client %d other jobs are accepted; each has one task of %s", others, otherTask)
	for time.Since(began) < lasts {
		time.Sleep(5 * time.Second)
		if a := d.state(d.entries[1], id); a.state() == "completed" || a.state() == "failed" {
			break
		}
	}
	time.Sleep(otherTask)
	starts := d.starts(id)
	sort.Slice(starts, func(i, j int) bool { return starts[i].at.Before(starts[j].at) })
	crashes, late := 0, 0
	lastCrash := map[string]time.Time{}
	for _, s := range starts {
		// Only starts by machines whose executor has been up for contactMs are counted.
		if crashes >= crashesBefore && s.at.Sub(lastCrash[s.executor]) > contact {
			late++
		}
		if s.end == "crash" {
			crashes++
			lastCrash[s.executor] = s.endedAt
		}
	}
	r.say("client after %s the job is shown as %q: its task was started %d times and %d executors crashed under it; machines in touch started it %d times after the first %d crashes",
		time.Since(began).Round(time.Second), d.state(d.entries[1], id).state(), len(starts), crashes, late, crashesBefore)
	completed := 0
	for _, other := range beside {
		a := d.state(d.entries[1], other)
		if a.state() == "completed" {
			completed++
		}
		r.say("client the other job %s is shown as %q after %d starts", other, a.state(), len(d.starts(other)))
	}
	if !trouble {
		return d.state(d.entries[1], id).state() == "completed" && completed == others, nil
	}
	return late < startsAfter, nil
}
