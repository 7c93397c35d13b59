package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Times of the case unasked.
const (
	unaskedWork = 30 * time.Second
	// ownerDown is how long the platform takes to start the owner again.
	ownerDown = 300 * time.Millisecond
)

// unasked: a client cancels a job, and the owner is killed as the store carries out its write. The
// client cancels again and is answered. Rule UNASKED: cancel_ms and stopMs later no task of the job
// is at work.
func unasked(log *record, trouble bool) (string, error) {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return unaskedWork, gate.EndDone }
	w, err := siteWorld(log, work)
	defer w.close()
	if err != nil {
		return "", err
	}
	owner, other := w.entries[0], w.entries[1]
	id, rest := newID(3), newID(5)
	// Another job of the same owner goes on, as in any deployment with traffic.
	for _, each := range []string{rest, id} {
		if err := owner.submit(each, spreadJob(len(w.agents), unaskedWork)); err != nil {
			return "", err
		}
		if !within(3*time.Second, func() bool { return len(w.runsOf(each)) == len(w.agents) }) {
			return "", fmt.Errorf("the tasks did not start")
		}
	}
	time.Sleep(time.Second)
	calm := time.Now()
	if trouble {
		w.killAtFinal(owner, id)
	}
	status, _ := owner.ask("DELETE", id, nil)
	if trouble {
		calm = time.Now()
		time.Sleep(ownerDown)
		if err := owner.restart(); err != nil {
			return "", err
		}
	}
	for try := 0; status/100 != 2 && status != 410; try++ {
		if try == 10 {
			return "", fmt.Errorf("the cancelling was not acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
		status, _ = other.ask("DELETE", id, nil)
	}
	acknowledged := time.Now()
	// A task may be at work cancel_ms and stopMs after the acknowledgement, and contactMs after
	// the disruption.
	bound := acknowledged.Add(cancelTime + stopTime)
	if later := calm.Add(ownerDown + contactTime + cancelTime + stopTime); later.After(bound) {
		bound = later
	}
	time.Sleep(time.Until(bound) + time.Second)
	other.ask("GET", id, nil)
	return unaskedBroken(log, w, id, acknowledged, bound), nil
}

// killAtFinal kills the owner once the store has carried out the write that ends the job.
func (w *world) killAtFinal(owner *machine, id string) {
	var once sync.Once
	w.setApplied(func(body []byte) {
		if !endsJob(body, id) {
			return
		}
		once.Do(func() {
			w.log.add("store", "the end of job %s is written", id)
			owner.kill()
		})
	})
}

// endsJob reports whether a transaction writes the final row of a job.
func endsJob(body []byte, id string) bool {
	var t struct {
		Put []struct {
			Key   string `json:"tlsKey"`
			Value string `json:"value"`
		} `json:"put"`
	}
	if json.Unmarshal(body, &t) != nil {
		return false
	}
	for _, p := range t.Put {
		value, err := base64.StdEncoding.DecodeString(p.Value)
		if err == nil && p.Key == id && bytes.Contains(value, []byte(job.StateCancelled)) {
			return true
		}
	}
	return false
}

// unaskedBroken checks rule UNASKED.
func unaskedBroken(log *record, w *world, id string, acknowledged, bound time.Time) (broken string) {
	for _, r := range w.runsOf(id) {
		log.add("check", "task %s run %d on %s: started %s, ended %s %s", taskText(r.Name), r.Name.Run, r.node, clock(log, r.Started), clock(log, r.Ended), endText(r.End))
		switch {
		case r.Started.After(acknowledged.Add(cancelTime)):
			broken = fmt.Sprintf("UNASKED: task %s started %.1f s after the cancelling was acknowledged", taskText(r.Name), r.Started.Sub(acknowledged).Seconds())
		case r.End == 0 || r.Ended.After(bound):
			broken = fmt.Sprintf("UNASKED: task %s is still at work %.1f s after the cancelling was acknowledged", taskText(r.Name), time.Since(acknowledged).Seconds())
		}
	}
	return broken
}
