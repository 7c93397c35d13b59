package owner

import (
	"slices"

	"rackspur/gate"
	"rackspur/job"
)

// foundRun is a run that a gate told of while its job was being taken over.
type foundRun struct {
	gate  string
	state gate.RunState
}

// Adopted is a job taken over from a life that is over, with the version of its
// row under this owner.
type Adopted struct {
	Record  job.Record
	Version uint64
}

// adoption is the take-over of the jobs of some lives.
type adoption struct {
	// lives are all that were taken over so far: one of them may have taken over the
	// jobs of another, and have been lost before every gate had told of its runs.
	lives []string
	// from is when the lives were surely over.
	from Time
	jobs []*liveJob
	// asked are the gates that may have runs of these lives.
	asked map[string]bool
	// told is closed once every gate has told of its runs, or they are surely over.
	told chan struct{}
}

// StartAdoption makes the gates tell of the runs of lives that are over. Gates
// answer while the jobs are being read; Adopt then brings the jobs.
func (o *Owner) StartAdoption(lives []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.adopted = append(o.adopted, lives...)
	o.reading++
	o.allBusy = true
	for _, v := range o.gates {
		v.busy = true
		v.adopt = append(v.adopt, lives...)
		v.poke()
	}
}

// Adopt takes over jobs of lives that are over, for which StartAdoption was called. What
// it returns is closed once every gate has told of the runs of all lives that were taken
// over so far, or they are surely over: until then an owner that takes over from this one
// would have to ask for them too. Without jobs no gate is linked for that.
func (o *Owner) Adopt(lives []string, from Time, jobs []Adopted) (told <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	o.reading--
	a := o.newAdoption(from)
	if len(jobs) > 0 {
		o.takeIn(now, a, jobs)
		o.askAnew(lives)
	}
	o.checkAdoptions(now)
	return a.told
}

// newAdoption adds an adoption that waits for all gates that are known, for the runs of
// all lives that were taken over so far.
func (o *Owner) newAdoption(from Time) *adoption {
	a := &adoption{lives: slices.Clone(o.adopted), from: from, asked: map[string]bool{}, told: make(chan struct{})}
	for _, v := range o.gates {
		a.asked[v.name] = true
	}
	o.adoptions = append(o.adoptions, a)
	return a
}

// takeIn makes jobs that are taken over the owner's; they go on with the adoption. One that
// its caller has handed in here again takes the place of the one that is being inserted.
func (o *Owner) takeIn(now Time, a *adoption, jobs []Adopted) {
	for _, adopted := range jobs {
		if known := o.jobs[adopted.Record.ID]; known != nil && known.phase != jobInserting {
			continue
		}
		j := newLiveJob(adopted.Record, now)
		j.setUrgency()
		j.version = adopted.Version
		j.phase = jobAdopting
		j.begun = adopted.Record.HasEnds()
		o.jobs[adopted.Record.ID] = j
		a.jobs = append(a.jobs, j)
		o.stats.Adopted++
	}
}

// askAnew has the gates tell anew of what they know, now that the jobs are known.
func (o *Owner) askAnew(lives []string) {
	for _, v := range o.gates {
		for _, life := range lives {
			delete(v.adopted, life)
		}
		v.adopt = append(v.adopt, lives...)
		v.poke()
	}
}

// checkAdoptions goes on with adoptions for which every gate has told of its
// runs, or its runs are surely over.
func (o *Owner) checkAdoptions(now Time) {
	rest := o.adoptions[:0]
	for _, a := range o.adoptions {
		if !o.allTold(now, a) {
			rest = append(rest, a)
			continue
		}
		for _, j := range a.jobs {
			if o.jobs[j.record.ID] == j {
				o.resume(now, j)
			}
		}
		close(a.told)
	}
	o.adoptions = rest
}

func (o *Owner) allTold(now Time, a *adoption) bool {
	for name := range a.asked {
		if v := o.gates[name]; v != nil && !v.hasTold(a) && now-o.lastProof(v, a) <= o.overAfter() {
			return false
		}
	}
	return true
}

// hasTold says whether a gate has told of its runs of all lives of an adoption.
func (v *gateView) hasTold(a *adoption) bool {
	for _, life := range a.lives {
		if !v.adopted[life] {
			return false
		}
	}
	return true
}

// lastProof returns the time from which the runs of an adoption's lives at a gate count as
// over after overAfter: when the lives were lost, or when the gate was last heard of if it has
// handed runs of theirs to this owner. Those go on for as long as owner and gate are in touch.
func (o *Owner) lastProof(v *gateView, a *adoption) Time {
	if v.handedOver {
		return max(a.from, v.heard)
	}
	return a.from
}

// forgetFound drops what a gate has told of runs of jobs that are being taken over: its
// inventory replaces that.
func (o *Owner) forgetFound(v *gateView) {
	for _, a := range o.adoptions {
		for _, j := range a.jobs {
			j.found = slices.DeleteFunc(j.found, func(f foundRun) bool { return f.gate == v.name })
		}
	}
}

// resume goes on with a job that was taken over: of each task the newest run
// counts, all others are discarded.
func (o *Owner) resume(now Time, j *liveJob) {
	found := j.found
	j.found = nil
	for _, f := range found {
		t := j.find(f.state.Name.TaskName)
		if t.phase != taskDone && f.state.Name.Run > t.newest {
			t.newest = f.state.Name.Run
		}
	}
	for _, f := range found {
		t := j.find(f.state.Name.TaskName)
		v := o.gates[f.gate]
		if run, done := j.record.Done[t.index]; done && t.newest == 0 {
			o.judgeDone(v, t, f.state, run)
			continue
		}
		if f.state.Name.Run != t.newest {
			o.onSuperseded(v, t, f.state)
			continue
		}
		o.takeFound(now, v, t, f.state)
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

// judgeDone answers for a run of a task whose end by another or this run is in
// the record that was read.
func (o *Owner) judgeDone(v *gateView, t *task, s gate.RunState, doneBy int) {
	if s.Name.Run == doneBy && s.End != 0 {
		v.judge(s.Name, gate.VerdictNote)
		return
	}
	o.onSuperseded(v, t, s)
}

// takeFound takes over a run. Its number is below this owner's range, so that
// later runs are above it.
func (o *Owner) takeFound(now Time, v *gateView, t *task, s gate.RunState) {
	if t.phase == taskBlocked {
		t.run = s.Name.Run
		t.gate = v.name
		t.phase = taskPlaced
	}
	o.onCurrent(now, v, t, s)
}
