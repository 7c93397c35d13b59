package main

import (
	"fmt"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Times of the case lost.
const (
	lostWork = 200 * time.Millisecond
	// greyTime is how long the worker fails all that it starts.
	greyTime = 3 * time.Second
)

// lost: the only worker with the label that a job requires fails all that it starts for some
// seconds. Rule LOST: a job must not have nothing running for 3 s although a task's turn has come
// and there is room.
func lost(log *record, trouble bool) (string, error) {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return lostWork, gate.EndDone }
	grey := func(job.RunName) (time.Duration, gate.EndKind) { return lostWork / 4, gate.EndFailed }
	w, err := newWorld(log, 2, []agentPlan{{[]string{"a", "r1-1"}, work}, {[]string{"a", "r1-1"}, work}, {[]string{"b", "r1-1"}, work}})
	defer w.close()
	if err != nil {
		return "", err
	}
	owner, other := w.entries[0], w.entries[1]
	if trouble {
		log.add("fault", "%s fails all that it starts", w.agents[2].node)
		w.agents[2].target.setWork(grey)
	}
	id := newID(2)
	if err := owner.submit(id, jobOf(1, lostWork, "b")); err != nil {
		return "", err
	}
	time.Sleep(greyTime)
	if trouble {
		log.add("fault", "%s is sound again", w.agents[2].node)
		w.agents[2].target.setWork(work)
	}
	state := ""
	for end := time.Now().Add(finishTime); time.Now().Before(end); time.Sleep(time.Second) {
		if _, state = other.ask("GET", id, nil); job.State(state).Final() {
			return "", nil
		}
	}
	return lostBroken(log, w, id, state), nil
}

// lostBroken checks rule LOST for a job that has not ended. Nothing else runs, so there is room
// for it many times over.
func lostBroken(log *record, w *world, id, state string) string {
	now := time.Now()
	newest := time.Time{}
	for _, r := range w.runsOf(id) {
		log.add("check", "task %s run %d on %s %v: started %s, ended %s %s", taskText(r.Name), r.Name.Run, r.node, r.labels, clock(log, r.Started), clock(log, r.Ended), endText(r.End))
		if r.End == 0 {
			return ""
		}
		if r.Ended.After(newest) {
			newest = r.Ended
		}
	}
	idle := now.Sub(newest)
	if idle <= 3*time.Second {
		return ""
	}
	return fmt.Sprintf("LOST: %v after the traffic and the disruption have ended, job %s is %q and has had nothing running for %.1f s, with all workers sound and empty",
		finishTime, id, state, idle.Seconds())
}
