package test

import (
	"fmt"
	"net/http"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// checkInForce checks that every entry serves the newest configuration, while more of
// them come.
func (r *soakRun) checkInForce() {
	limit := time.Now().Add(soakInForce)
	for _, e := range r.entries {
		if !holdsWithin(time.Until(limit), func() bool { return r.inForce(e) }) {
			r.t.Errorf("%s hears of no changes %v after the faults have ended", e.name, soakInForce)
		}
	}
}

// inForce says whether an entry serves the route of the newest version, and none of
// the version before.
func (r *soakRun) inForce(e *machine) bool {
	r.versionMu.Lock()
	defer r.versionMu.Unlock()
	newest, _ := e.askPath(http.MethodGet, versionPrefix(r.version), nil)
	before, _ := e.askPath(http.MethodGet, versionPrefix(r.version-1), nil)
	return newest == http.StatusOK && before == http.StatusNotFound
}

// checkWork checks that every target gets work soon after the time at which the faults have
// ended, unless it leaves or its domain may be evacuated.
func (r *soakRun) checkWork(calm time.Time) {
	if r.domains > 0 {
		return
	}
	limit := calm.Add(soakWork)
	for number := 0; ; number++ {
		idle := r.idleSince(calm)
		if len(idle) == 0 {
			return
		}
		if time.Now().After(limit) {
			for _, m := range idle {
				r.t.Errorf("the target of %s has got no work %v after the faults have ended", m.name, soakWork)
			}
			return
		}
		id := fmt.Sprintf("%s%02x%013x", workMark, r.rounds, number)
		e := r.entries[number%len(r.entries)]
		e.ask(http.MethodPost, id, platformJob(workTasks, true))
	}
}

// workMark begins the id of a job of checkWork, workTasks is how many tasks it has: more
// than one target takes at once.
const (
	workMark  = "e"
	workTasks = 16
)

// idleSince returns the agents whose targets have started nothing since a time, and don't
// leave.
func (r *soakRun) idleSince(since time.Time) (idle []*machine) {
	for _, m := range r.agents {
		e := m.port.Executor()
		worked := e.Draining()
		for _, s := range e.Journal() {
			worked = worked || s.Started.After(since)
		}
		if !worked {
			idle = append(idle, m)
		}
	}
	return idle
}

// checkAlive tells of processes that have ended by themselves, and starts them
// again as the platform does.
func (r *soakRun) checkAlive() {
	for _, m := range append(append([]*machine(nil), r.entries...), r.agents...) {
		select {
		case <-m.done:
			r.t.Errorf("%s has ended by itself: %v", m.name, m.cmd.ProcessState)
			m.restart()
		default:
		}
	}
}

// settle waits until every kept job that was accepted has ended.
func (r *soakRun) settle() {
	limit := time.Now().Add(2 * patience)
	for _, j := range r.jobs {
		if !j.accepted || j.bestEffort {
			continue
		}
		ended := holdsWithin(time.Until(limit), func() bool {
			status, state := r.entries[0].ask(http.MethodGet, j.id, nil)
			if status == http.StatusGone {
				r.t.Errorf("job %s was accepted and is unknown", j.id)
				return true
			}
			j.state = state
			return status == http.StatusOK && job.State(state).Final()
		})
		if !ended {
			r.t.Errorf("job %s never ended; state %q", j.id, j.state)
		}
	}
}

// check checks the promises by what clients and executors have seen.
func (r *soakRun) check() {
	byJob := map[string]map[job.TaskName][]standin.Span{}
	for task, spans := range r.spans() {
		id := string(task.Job)
		if byJob[id] == nil {
			byJob[id] = map[job.TaskName][]standin.Span{}
		}
		byJob[id][task] = spans
	}
	accepted, refused, runs, resent, long, highest := 0, 0, 0, 0, 0, 0
	var longest time.Duration
	for _, j := range r.jobs {
		if j.accepted {
			accepted++
		}
		if j.refused {
			refused++
		}
		longest = max(longest, j.longest)
		if j.tries > 1 {
			resent++
		}
		for task, spans := range byJob[j.id] {
			runs += len(spans)
			highest = max(highest, highestRun(spans))
			if j.long {
				long += len(spans)
			}
			r.checkTask(j, task, spans)
		}
		r.checkJob(j, byJob[j.id])
	}
	r.t.Logf("%d jobs, %d accepted, %d refused, %d handed in again, %d runs, %d of them long, highest number of a run %d, %d notes of faults, longest call %v",
		len(r.jobs), accepted, refused, resent, runs, long, highest, len(r.log), longest)
	if accepted == 0 {
		r.t.Error("no job was accepted")
	}
}

// highestRun returns the highest number of a run among those of one owner of its job.
func highestRun(spans []standin.Span) int {
	highest, each := 0, job.FirstRun(1)-job.FirstRun(0)
	for _, s := range spans {
		highest = max(highest, (s.Name.Run-job.FirstRun(0))%each+job.FirstRun(0))
	}
	return highest
}

// checkTask checks the runs of one task.
func (r *soakRun) checkTask(j *soakJob, task job.TaskName, spans []standin.Span) {
	for i, s := range spans {
		if !j.cancelled.IsZero() && s.Started.After(j.cancelled.Add(soakCancel)) {
			r.t.Errorf("%v started long after its job was cancelled", task)
		}
		if i == 0 {
			continue
		}
		r.checkAlone(j, spans[:i], s)
		before := spans[i-1]
		if !j.bestEffort && before.End == gate.EndDone && before.Noted {
			r.t.Errorf("%v started after a noted end: %+v and %+v", task, before, s)
			r.trace(j, before, s)
		}
	}
}

// checkAlone checks that no run that began before another is at work beside it, whatever
// the job's kind.
func (r *soakRun) checkAlone(j *soakJob, earlier []standin.Span, s standin.Span) {
	for _, before := range earlier {
		if !together(before, s) {
			continue
		}
		r.t.Errorf("two runs of %v at one time: %+v and %+v", s.Name.TaskName, before, s)
		r.trace(j, before, s)
	}
}

// together says whether a run was still at work when a later one began.
func together(before, later standin.Span) bool {
	return before.End == 0 || later.Started.Before(before.Ended)
}

// checkJob checks what a client was told of a job.
func (r *soakRun) checkJob(j *soakJob, tasks map[job.TaskName][]standin.Span) {
	if j.refused && len(tasks) > 0 {
		r.t.Errorf("job %s was refused and ran: %v", j.id, tasks)
	}
	done, exhausted := 0, false
	for _, spans := range tasks {
		failed, ended := 0, false
		for _, s := range spans {
			ended = ended || s.End == gate.EndDone
			if s.End == gate.EndFailed {
				failed++
			}
		}
		if ended {
			done++
		}
		exhausted = exhausted || failed >= platformAttempts
	}
	switch job.State(j.state) {
	case job.StateCompleted:
		if done != j.tasks {
			r.t.Errorf("job %s is completed with %d of %d tasks done", j.id, done, j.tasks)
		}
	case job.StateFailed:
		if !exhausted {
			r.t.Errorf("job %s is failed and no task of it has failed %d times", j.id, platformAttempts)
		}
	case job.StateCancelled:
		if j.cancelled.IsZero() {
			r.t.Logf("job %s is cancelled; no cancel was answered with success", j.id)
		}
	}
}
