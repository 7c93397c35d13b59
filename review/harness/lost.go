package main

import (
	"fmt"
	"slices"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// idleLimit is how long a job may have nothing running although a task's turn has come and there
// is room.
const idleLimit = 3 * time.Second

// Times of the case grey.
const (
	greyWork = 200 * time.Millisecond
	// greyTime is how long the workers fail all that they start.
	greyTime = 6500 * time.Millisecond
)

// greyRack: the two workers of a rack fail all that they start for some seconds, while a job comes that
// requires this rack. Rule LOST: a job must not have nothing running for 3 s although a task's turn
// has come and there is room.
func greyRack(log *record, trouble bool) (string, error) {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return greyWork, gate.EndDone }
	grey := func(job.RunName) (time.Duration, gate.EndKind) { return greyWork, gate.EndFailed }
	w, err := siteWorld(log, work)
	defer w.close()
	if err != nil {
		return "", err
	}
	if trouble {
		for _, m := range w.inLastRack() {
			log.add("fault", "%s fails all that it starts", m.node)
			m.target.setWork(grey)
		}
	}
	id := newID(2)
	if err := w.entries[0].submit(id, jobOf(1, greyWork, lastRack)); err != nil {
		return "", err
	}
	time.Sleep(greyTime)
	if trouble {
		for _, m := range w.inLastRack() {
			log.add("fault", "%s is sound again", m.node)
			m.target.setWork(work)
		}
	}
	return w.lostAfter(id, lastRack, time.Now())
}

// Times and sizes of the case goneRack.
const (
	goneTasks = 12
	goneWork  = 300 * time.Millisecond
	// rackDown is how long the executors of the other rack are down.
	rackDown = 2 * time.Second
)

// goneRack: the two executors of a rack are lost for good, and a job comes that requires this rack
// and so has to wait. Then the executors of another rack crash, a job comes that requires that rack,
// and they are back. Rule LOST: the second job must not have nothing running for 3 s although a
// task's turn has come and there is room.
func goneRack(log *record, trouble bool) (string, error) {
	work := func(job.RunName) (time.Duration, gate.EndKind) { return goneWork, gate.EndDone }
	w, err := siteWorld(log, work)
	defer w.close()
	if err != nil {
		return "", err
	}
	if trouble {
		crash(w.inLastRack())
		time.Sleep(contactTime)
	}
	if err := w.entries[0].submit(newID(6), jobOf(goneTasks, goneWork, lastRack)); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if trouble {
		crash(w.inThirdRack())
		time.Sleep(rackDown / 4)
	}
	id := newID(7)
	if err := w.entries[0].submit(id, jobOf(1, goneWork, thirdRack)); err != nil {
		return "", err
	}
	if trouble {
		time.Sleep(rackDown)
		for _, m := range w.inThirdRack() {
			m.target.restart(m.target.current().labels)
		}
	}
	return w.lostAfter(id, thirdRack, time.Now())
}

// crash ends the executors of machines.
func crash(machines []*machine) {
	for _, m := range machines {
		m.target.crash()
	}
}

// lostAfter checks rule LOST for a job until finish_s after the traffic and the disruptions have ended,
// at the time calm. The job requires a label.
func (w *world) lostAfter(id, requires string, calm time.Time) (string, error) {
	state := ""
	for end := time.Now().Add(finishTime); time.Now().Before(end); time.Sleep(time.Second) {
		if _, state = w.entries[1].ask("GET", id, nil); job.State(state).Final() {
			return "", nil
		}
	}
	newest := calm
	for _, r := range w.runsOf(id) {
		w.log.add("check", "task %s run %d on %s %v: started %s, ended %s %s", taskText(r.Name), r.Name.Run, r.node, r.labels, clock(w.log, r.Started), clock(w.log, r.Ended), endText(r.End))
		if r.End == 0 {
			return "", nil
		}
		if r.Ended.After(newest) {
			newest = r.Ended
		}
	}
	idle, room, used := time.Since(newest), w.room(requires), w.used()
	w.log.add("check", "job %s is %q; idle for %.1f s; room for %d of its tasks; %d of %d thousandths of a core in use", id, state, idle.Seconds(),
		room, used, capacity.CPU*len(w.agents))
	if idle <= idleLimit || room < 2 || 2*used >= capacity.CPU*len(w.agents) {
		return "", nil
	}
	return fmt.Sprintf("LOST: %v after the traffic and the disruptions have ended, accepted job %s is %q and has had nothing running for %.1f s, with room for %d of its tasks",
		finishTime, id, state, idle.Seconds(), room), nil
}

// room returns how many tasks fit on the executors that are up and have a label.
func (w *world) room(requires string) int {
	n := 0
	for _, m := range w.agents {
		l := m.target.current()
		if l.Down() || !slices.Contains(l.labels, requires) {
			continue
		}
		n += (capacity.CPU - l.usedCPU()) / need.CPU
	}
	return n
}

// used returns the CPU in use on all executors, in thousandths of a core.
func (w *world) used() int {
	n := 0
	for _, m := range w.agents {
		n += m.target.current().usedCPU()
	}
	return n
}

// usedCPU returns the CPU in use on an executor, in thousandths of a core.
func (l *life) usedCPU() int {
	n := 0
	for _, s := range l.Journal() {
		if s.End == 0 {
			n += need.CPU
		}
	}
	return n
}
