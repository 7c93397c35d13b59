package owner

import (
	"rackspur/gate"
	"rackspur/job"
)

// foreignEnds are ends of runs of a job that this owner does not know.
type foreignEnds struct {
	// since is when the first of them was reported.
	since Time
	ends  []endRef
}

// noteForeign records an end of a run of a job that this owner does not know.
func (o *Owner) noteForeign(v *gateView, name job.RunName) {
	f := o.foreign[name.Job]
	if f == nil {
		f = &foreignEnds{since: o.options.Now()}
		o.foreign[name.Job] = f
	}
	f.ends = append(f.ends, endRef{gate: v.name, name: name})
}

// UnknownJobs returns the jobs that this owner does not know but gates have reported
// ends of. Their final records decide on these ends; see AnswerUnknown. A best-effort job
// has no record, so its owner first gets the time to link to a restarted gate again.
func (o *Owner) UnknownJobs() []job.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	ids := make([]job.ID, 0, len(o.foreign))
	for id, f := range o.foreign {
		switch {
		case o.jobs[id] != nil:
			delete(o.foreign, id)
		case now-f.since >= o.options.BestEffortContactTimeout:
			ids = append(ids, id)
		}
	}
	return ids
}

// AnswerUnknown sends the verdicts on the ends of a job that this owner does not know.
// If the job has not ended, its ends are left to its owner. A job without a final
// record was a best-effort job: its ends do not matter.
func (o *Owner) AnswerUnknown(id job.ID, over bool, f *job.Final) {
	o.mu.Lock()
	defer o.mu.Unlock()
	foreign := o.foreign[id]
	delete(o.foreign, id)
	if !over || foreign == nil {
		return
	}
	for _, e := range foreign.ends {
		v := o.gates[e.gate]
		if v == nil {
			continue
		}
		if f == nil {
			v.addVerdict(e.name, gate.VerdictAcknowledge)
			continue
		}
		o.answerEnded(v, e.name, f)
	}
}
