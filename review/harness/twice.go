package main

import (
	"fmt"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Times of the case ended.
const (
	// endedWork is how long the task takes, laterWork how long that of the job's second step.
	endedWork = 900 * time.Millisecond
	laterWork = 20 * time.Second
	// cancelAfter is when the client cancels the job after the second step has started, and
	// endedHeal when the cut is healed after that.
	cancelAfter = 300 * time.Millisecond
	endedHeal   = 200 * time.Millisecond
)

// ended: an agent is cut off while a run of a task is at work at its executor, which ends done. The
// owner starts the task again elsewhere, where it ends done too. The client cancels the job, and the
// cut heals. Rule TWICE: no start after a run has ended done, if that end is taken note of then or
// later.
func ended(log *record, trouble bool) (string, error) {
	work := func(n job.RunName) (time.Duration, gate.EndKind) {
		if n.Step == 1 {
			return laterWork, gate.EndDone
		}
		return endedWork, gate.EndDone
	}
	w, err := siteWorld(log, work)
	defer w.close()
	if err != nil {
		return "", err
	}
	owner, other := w.entries[0], w.entries[1]
	id := newID(9)
	later := stepOf(1, laterWork, "")
	later["afterRev"] = []int{0}
	if err := owner.submit(id, jobWith(stepOf(1, endedWork, ""), later)); err != nil {
		return "", err
	}
	if !within(3*time.Second, func() bool { return len(w.runsOf(id)) == 1 }) {
		return "", fmt.Errorf("the task did not start")
	}
	first := w.machine(w.runsOf(id)[0].node)
	if trouble {
		time.Sleep(cutAfter)
		log.add("fault", "%s is cut off from the entries", first.node)
		first.proxy.setCut(true)
	}
	if !within(8*time.Second, func() bool { return w.startedStep(id, 1) }) {
		return "", fmt.Errorf("the second step did not start")
	}
	time.Sleep(cancelAfter)
	if status, _ := other.ask("DELETE", id, nil); status/100 != 2 {
		return "", fmt.Errorf("the cancelling was answered %d", status)
	}
	time.Sleep(endedHeal)
	if trouble {
		log.add("fault", "%s is not cut off any more", first.node)
		first.proxy.setCut(false)
	}
	// The ends are acknowledged.
	time.Sleep(3 * time.Second)
	return twiceBroken(log, w.runsOf(id)), nil
}

// startedStep reports whether a task of a step of a job has started.
func (w *world) startedStep(id string, step int) bool {
	for _, r := range w.runsOf(id) {
		if r.Name.Step == step {
			return true
		}
	}
	return false
}

// Times of the case twice.
const (
	twiceWork = 900 * time.Millisecond
	// cutAfter is how long the first run has been at work when its agent is cut off.
	cutAfter = 200 * time.Millisecond
	// healAfter is how long after the fault of the second run the cut is healed.
	healAfter = 200 * time.Millisecond
	// executorDown and entryDown are how long the executor and the entry are down.
	executorDown = 400 * time.Millisecond
	entryDown    = time.Second
)

// twice: an agent is cut off while a run of a task is at work at its executor, which ends done.
// The owner starts the task again elsewhere. Then the second executor crashes and the owner is
// killed, and the cut heals. Rule TWICE: no start after a run has ended done, if that end is taken
// note of then or later.
func twice(log *record, trouble bool) (string, error) {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return twiceWork, gate.EndDone }
	w, err := siteWorld(log, work)
	defer w.close()
	if err != nil {
		return "", err
	}
	owner, other := w.entries[0], w.entries[1]
	id := newID(1)
	if err := owner.submit(id, jobOf(1, twiceWork, "")); err != nil {
		return "", err
	}
	if !within(3*time.Second, func() bool { return len(w.runsOf(id)) == 1 }) {
		return "", fmt.Errorf("the task did not start")
	}
	if trouble {
		if err := w.loseSecondRun(owner, id); err != nil {
			return "", err
		}
	}
	end := time.Now().Add(finishTime)
	for time.Now().Before(end) {
		if _, state := other.ask("GET", id, nil); state == "completed" || state == "failed" {
			break
		}
		time.Sleep(time.Second)
	}
	// The ends are acknowledged.
	time.Sleep(2 * time.Second)
	return twiceBroken(log, w.runsOf(id)), nil
}

// loseSecondRun plays the disruptions of the case.
func (w *world) loseSecondRun(owner *machine, id string) error {
	first := w.machine(w.runsOf(id)[0].node)
	time.Sleep(cutAfter)
	w.log.add("fault", "%s is cut off from the entries", first.node)
	first.proxy.setCut(true)
	if !within(6*time.Second, func() bool { return len(w.runsOf(id)) == 2 }) {
		return fmt.Errorf("the task was not started again")
	}
	second := w.machine(w.runsOf(id)[1].node)
	second.target.crash()
	owner.kill()
	time.Sleep(healAfter)
	w.log.add("fault", "%s is not cut off any more", first.node)
	first.proxy.setCut(false)
	time.Sleep(executorDown - healAfter)
	second.target.restart(second.target.current().labels)
	time.Sleep(entryDown - executorDown)
	return owner.restart()
}

// machine returns the agent's machine of that name.
func (w *world) machine(node string) *machine {
	for _, m := range w.agents {
		if m.node == node {
			return m
		}
	}
	return nil
}

// twiceBroken checks rule TWICE.
func twiceBroken(log *record, runs []started) (broken string) {
	for i, a := range runs {
		log.add("check", "task %s run %d on %s: started %s, ended %s %s, taken note of: %v", taskText(a.Name), a.Name.Run, a.node,
			clock(log, a.Started), clock(log, a.Ended), endText(a.End), a.Noted)
		for _, b := range runs[i+1:] {
			switch {
			case a.Name.TaskName != b.Name.TaskName:
			case a.End == gate.EndDone && a.Noted && b.Started.After(a.Ended):
				broken = fmt.Sprintf("TWICE: task %s run %d started on %s after run %d had ended done on %s, and that end was taken note of",
					taskText(b.Name), b.Name.Run, b.node, a.Name.Run, a.node)
			case a.End == 0 || a.Ended.After(b.Started):
				broken = fmt.Sprintf("TWICE: task %s runs %d and %d at the same time on %s and %s", taskText(a.Name), a.Name.Run, b.Name.Run, a.node, b.node)
			}
		}
	}
	return broken
}

// clock returns a time as in the record.
func clock(log *record, t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3f", t.Sub(log.began).Seconds())
}
