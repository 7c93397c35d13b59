package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["rates"] = caseRates }

// caseRates: the settings files state another rate of the store, and one entry is killed and started
// again with the settings of that moment.
func caseRates(r *record, trouble bool) (bool, error) {
	const jobs, hupShare = 6, 0.6
	d, err := newDeployment(r, options{entries: 3, agents: 4, capacity: 16000, priority: 1, workOf: func(_, spec string) work {
		return work{lasts: taskTimes[spec], end: "done", cpu: 500}
	}})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ids := map[string]string{}
	for i := range 2 * jobs {
		id := newID()
		ids[id] = []string{"short", "long"}[i/jobs]
		if !d.submitUntilTaken(d.entries[0], id, ids[id], 5*time.Second, stepsOf(ids[id])...) {
			return false, fmt.Errorf("%w: a job was not accepted", errCannotRun)
		}
	}
	r.say("client %d jobs are accepted by %s", len(ids), d.entries[0].name)
	time.Sleep(4 * time.Second)
	if trouble {
		d.writesPerS = 1500
		told := 0
		for i, b := range d.boxes() {
			if err := d.writeSettings(b); err != nil {
				return false, err
			}
			if float64(i+1) <= hupShare*float64(len(d.boxes())) {
				b.signal(syscall.SIGHUP)
				told++
			}
		}
		r.say("plan   the settings files state %v writes a second; %d of %d processes get SIGHUP", d.writesPerS, told, len(d.boxes()))
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
	// It is in touch again contactMs after its start.
	time.Sleep(contact + time.Second)
	unknown := 0
	for id, spec := range ids {
		if a := d.state(killed, id); a.status == http.StatusGone {
			unknown++
			r.say("client %s answers 410 for the accepted job %s (%s)", killed.name, id, spec)
		}
	}
	// A client sends a job again, occasionally also seconds after its 2xx.
	for id, spec := range ids {
		d.submit(killed, id, spec, stepsOf(spec)...)
	}
	time.Sleep(5 * time.Second)
	twice := 0
	for id := range ids {
		if startedTwice(d.starts(id)) {
			twice++
			r.say("client a task of the job %s was started beside a run of it, or after one had ended done", id)
		}
	}
	r.say("client of %d accepted jobs, %d were answered 410 and %d ran twice", len(ids), unknown, twice)
	return unknown == 0 && twice == 0, nil
}

// taskTimes has how long the tasks of a kind of job run.
var taskTimes = map[string]time.Duration{"short": 200 * time.Millisecond, "long": 3600 * time.Millisecond}

// stepsOf returns the steps of a kind of job: short ones have one task, long ones a chain of them.
func stepsOf(spec string) []step {
	one := func() step {
		return step{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": taskTimes[spec].Milliseconds()}
	}
	steps := []step{one()}
	for i := 1; spec == "long" && i < 8; i++ {
		s := one()
		s["afterRev"] = []int{i - 1}
		steps = append(steps, s)
	}
	return steps
}

// startedTwice reports whether a task was started while another run of it was active, or after one
// had ended done.
func startedTwice(starts []startSeen) bool {
	for _, a := range starts {
		for _, b := range starts {
			if a.task == b.task && a.at.Before(b.at) && (a.end == "" || a.end == "done" || b.at.Before(a.endedAt)) {
				return true
			}
		}
	}
	return false
}
