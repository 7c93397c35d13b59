package owner

import (
	"slices"

	"rackspur/gate"
	"rackspur/job"
)

// reportedRun is a run that a gate reported while the run's job was being adopted.
type reportedRun struct {
	gate  string
	state gate.RunState
}

// Adopted is a job of a lost incarnation, with the version of its row under the new
// owner.
type Adopted struct {
	Record  job.Record
	Version uint64
}

// adoption tracks jobs of lost incarnations until the gates have reported their runs.
type adoption struct {
	// incarnations are all whose jobs were adopted so far, not only in this adoption:
	// one of them may have adopted another's jobs and been lost before every gate had
	// reported.
	incarnations []string
	// endedAt is when the incarnations had certainly ended.
	endedAt Time
	jobs    []*liveJob
	// asked are the gates that may have runs of these incarnations.
	asked map[string]bool
	// settled is closed once every gate has reported its runs, or they are certainly
	// over.
	settled chan struct{}
}

// StartAdoption asks the gates to report the runs of lost incarnations. It is called
// before the jobs are read from the store; Adopt follows with the jobs.
func (o *Owner) StartAdoption(incarnations []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.adopted = append(o.adopted, incarnations...)
	o.pendingReads++
	o.allBusy = true
	for _, v := range o.gates {
		v.busy = true
		v.adopt = append(v.adopt, incarnations...)
		v.notify()
	}
}

// Adopt makes this owner responsible for jobs of lost incarnations for which
// StartAdoption was called. The returned channel is closed once every gate has reported
// the runs of all incarnations in Owner.adopted, or the runs are certainly over. Until
// then an owner that adopts the jobs of this one has to ask for these runs too. If there
// are no jobs, no gate is linked for that.
func (o *Owner) Adopt(incarnations []string, endedAt Time, jobs []Adopted) (settled <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	o.pendingReads--
	a := o.newAdoption(endedAt)
	o.addJobs(now, a, jobs)
	o.requestAgain(incarnations)
	o.checkAdoptions(now)
	return a.settled
}

// newAdoption adds an adoption that waits until all known gates have reported the runs
// of all incarnations in Owner.adopted.
func (o *Owner) newAdoption(endedAt Time) *adoption {
	a := &adoption{incarnations: slices.Clone(o.adopted), endedAt: endedAt, asked: map[string]bool{}, settled: make(chan struct{})}
	for _, v := range o.gates {
		a.asked[v.name] = true
	}
	o.adoptions = append(o.adoptions, a)
	return a
}

// addJobs adds the jobs of an adoption. A job that its caller has meanwhile submitted
// here again replaces the one that is being inserted.
func (o *Owner) addJobs(now Time, a *adoption, jobs []Adopted) {
	for _, adopted := range jobs {
		if known := o.jobs[adopted.Record.ID]; known != nil && known.phase != jobInserting {
			continue
		}
		j := newLiveJob(adopted.Record, now)
		j.setUrgency()
		j.version = adopted.Version
		j.phase = jobAdopting
		j.started = adopted.Record.HasEnds()
		o.addJob(j)
		a.jobs = append(a.jobs, j)
		o.stats.Adopted++
	}
}

// requestAgain asks the gates to report their runs again, now that it is known which jobs have
// not ended.
func (o *Owner) requestAgain(incarnations []string) {
	for _, v := range o.gates {
		for _, incarnation := range incarnations {
			delete(v.adopted, incarnation)
		}
		v.adopt = append(v.adopt, incarnations...)
		v.notify()
	}
}

// checkAdoptions completes the adoptions for which every gate has reported its runs or
// the runs are certainly over.
func (o *Owner) checkAdoptions(now Time) {
	rest := o.adoptions[:0]
	for _, a := range o.adoptions {
		if !o.allReported(now, a) {
			rest = append(rest, a)
			continue
		}
		for _, j := range a.jobs {
			if o.jobs[j.record.ID] == j {
				o.resume(now, j)
			}
		}
		close(a.settled)
	}
	o.adoptions = rest
}

func (o *Owner) allReported(now Time, a *adoption) bool {
	for name := range a.asked {
		if v := o.gates[name]; v != nil && !v.hasReported(a) && now-o.expiryStart(v, a) <= o.overAfter() {
			return false
		}
	}
	return true
}

// hasReported reports whether a gate has reported its runs of all incarnations of an
// adoption.
func (v *gateView) hasReported(a *adoption) bool {
	for _, incarnation := range a.incarnations {
		if !v.adopted[incarnation] {
			return false
		}
	}
	return true
}

// expiryStart returns the time from which the runs of an adoption at a gate count as
// over after overAfter: when the incarnations ended, or when the gate was last heard
// from if it has handed runs over to this owner. Such runs go on while owner and gate
// are in contact.
func (o *Owner) expiryStart(v *gateView, a *adoption) Time {
	if v.handedOver {
		return max(a.endedAt, v.heard)
	}
	return a.endedAt
}

// clearReported forgets the runs of jobs being adopted that a gate has reported
// earlier: its inventory replaces them.
func (o *Owner) clearReported(v *gateView) {
	for _, a := range o.adoptions {
		for _, j := range a.jobs {
			j.reported = slices.DeleteFunc(j.reported, func(f reportedRun) bool { return f.gate == v.name })
		}
	}
}

// resume continues a job that was adopted: of each task the newest run counts unless a
// former owner has given it up. All others are discarded.
func (o *Owner) resume(now Time, j *liveJob) {
	reported := j.reported
	j.reported = nil
	for _, f := range reported {
		t := j.find(f.state.Name.TaskName)
		if t.phase != taskDone && f.state.Name.Run > max(t.newest, j.record.GivenUp[t.index]) {
			t.newest = f.state.Name.Run
		}
	}
	for _, f := range reported {
		t := j.find(f.state.Name.TaskName)
		v := o.gates[f.gate]
		switch run := f.state.Name.Run; {
		case t.phase == taskDone && run == t.run:
			o.onCurrent(now, v, t, f.state)
		case run == t.newest:
			o.adoptRun(now, v, t, f.state)
		default:
			o.onSuperseded(v, t, f.state)
		}
	}
	if j.phase == jobAdopting {
		j.phase = jobLive
	}
	if j.left == 0 {
		o.finish(now, j, job.StateCompleted)
		return
	}
	if j.final == "" {
		o.makeReady(now, j)
		o.place(now)
	}
}

// adoptRun continues a reported run. Its number is below this owner's range, so
// later runs have higher numbers.
func (o *Owner) adoptRun(now Time, v *gateView, t *task, s gate.RunState) {
	o.log.Info("Adopted a run.", "job", s.Name.Job, "task", t.index, "run", s.Name.Run, "gate", v.name, "end", s.End)
	if t.phase == taskBlocked {
		t.run = s.Name.Run
		t.gate = v.name
		t.phase = taskPlaced
	}
	o.onCurrent(now, v, t, s)
}
