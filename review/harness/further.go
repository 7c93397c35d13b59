package main

import (
	"fmt"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Times of the case crasher.
const (
	crasherWork = 300 * time.Millisecond
	// crashesAfter is when a run crashes its executor, crashDown how long that is down.
	crashesAfter = 100 * time.Millisecond
	crashDown    = 3 * time.Second
	crasherPlay  = 30 * time.Second
	// crashesAllowed is the number of executors after whose crash further starts count, and
	// startsAllowed the number of such starts that break the rule.
	crashesAllowed = 3
	startsAllowed  = 3
)

// crasher: a task crashes each executor that starts it. Rule BUDGET, as the letters add: such a task is
// not started three times more after three executors have crashed under it.
func crasher(log *record, trouble bool) (string, error) {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return crasherWork, gate.EndDone }
	w, err := siteWorld(log, work)
	defer w.close()
	if err != nil {
		return "", err
	}
	id := newID(8)
	if trouble {
		for _, m := range w.agents {
			m.target.setWork(func(n job.RunName) (time.Duration, gate.EndKind) {
				if string(n.Job) == id {
					time.AfterFunc(crashesAfter, func() { m.target.crashAndReturn(crashDown) })
				}
				return work(n)
			})
		}
	}
	if err := w.entries[0].submit(id, jobOf(1, crasherWork, "")); err != nil {
		return "", err
	}
	time.Sleep(crasherPlay)
	w.entries[1].ask("GET", id, nil)
	crashed, more := 0, 0
	for _, r := range w.runsOf(id) {
		log.add("check", "task %s run %d on %s: started %s, ended %s", taskText(r.Name), r.Name.Run, r.node, clock(log, r.Started), endText(r.End))
		if crashed >= crashesAllowed {
			more++
		}
		if r.End == gate.EndLost {
			crashed++
		}
	}
	if more >= startsAllowed {
		return fmt.Sprintf("BUDGET: the task was started %d times more after %d executors had crashed under it", more, crashesAllowed), nil
	}
	return "", nil
}

// crashAndReturn ends the incarnation and starts another one under a new id.
func (t *target) crashAndReturn(down time.Duration) {
	t.crash()
	time.Sleep(down)
	if t.world.ctx.Err() == nil {
		t.restart(t.current().labels)
	}
}
