package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["rates"] = caseRates }

// caseRates: the settings file states other rates of the store, and one entry is killed and started
// again with the settings of that moment.
func caseRates(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, options{entries: 3, agents: 4, capacity: 16000, workOf: func(_, spec string) work {
		w := work{lasts: 200 * time.Millisecond, end: "done", cpu: 500}
		if spec == "long" {
			w.lasts = 25 * time.Second
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
	const jobs = 6
	ids, specs := map[string]string{}, []string{"short", "long"}
	for i := range 2 * jobs {
		id := newID()
		ids[id] = specs[i/jobs]
		if !d.submitUntilTaken(d.entries[0], id, ids[id], 5*time.Second, taskOf(ids[id])) {
			return false, fmt.Errorf("%w: a job was not accepted", errCannotRun)
		}
	}
	r.say("client %d jobs are accepted by %s", len(ids), d.entries[0].name)
	time.Sleep(4 * time.Second)
	if trouble {
		d.writesPerS = 1500
		for _, b := range d.boxes() {
			if err := d.writeSettings(b); err != nil {
				return false, err
			}
			b.signal(syscall.SIGHUP)
		}
		r.say("plan   the settings files state %v writes a second of the store; SIGHUP", d.writesPerS)
	}
	time.Sleep(time.Second)
	killed := d.entries[2]
	killed.signal(syscall.SIGKILL)
	<-killed.done
	r.say("fault  %s is killed", killed.name)
	time.Sleep(500 * time.Millisecond)
	if err := d.start(killed); err != nil {
		return false, err
	}
	if !d.awaitReady(killed) {
		return false, fmt.Errorf("%w: %s is not ready again", errCannotRun, killed.name)
	}
	r.say("fault  %s is back", killed.name)
	// The entry is in touch again contactMs after its start.
	time.Sleep(4 * time.Second)
	unknown := 0
	for id, spec := range ids {
		if a := d.state(killed, id); a.status == http.StatusGone {
			unknown++
			r.say("client %s answers 410 for the accepted job %s (%s)", killed.name, id, spec)
		}
	}
	// A client sends a job again, occasionally also seconds after its 2xx.
	for id, spec := range ids {
		d.submit(killed, id, spec, taskOf(spec))
	}
	time.Sleep(5 * time.Second)
	twice := 0
	for id := range ids {
		if n := startedTwice(d.starts(id)); n > 0 {
			twice++
			r.say("client a task of job %s was started again while a run of it was active, or after one had ended done", id)
		}
	}
	r.say("client %d of %d accepted jobs were answered 410, %d jobs ran twice", unknown, len(ids), twice)
	return unknown == 0 && twice == 0, nil
}

func taskOf(spec string) step {
	estimate := 200
	if spec == "long" {
		estimate = 25000
	}
	return step{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": estimate}
}

// startedTwice counts the starts of a task while another run of it is active, or after one has ended
// done.
func startedTwice(starts []startSeen) int {
	n := 0
	for _, a := range starts {
		for _, b := range starts {
			if a.task == b.task && a.at.Before(b.at) && (a.end == "" || a.end == "done" || b.at.Before(a.endedAt)) {
				n++
			}
		}
	}
	return n
}
