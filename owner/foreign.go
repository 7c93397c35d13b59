package owner

import (
	"rackspur/gate"
	"rackspur/job"
)

// foreignRuns are runs of a job that this owner does not know: those that have ended, and those
// that are active.
type foreignRuns struct {
	// since is when the first of them was reported.
	since        Time
	ends, active []endRef
}

// noteForeign records a run of a job that this owner does not know. Active runs matter only to
// an owner of durable jobs: the job may have ended under an owner that was lost before it stopped
// them.
func (o *Owner) noteForeign(v *gateView, s gate.RunState) {
	now := o.options.Now()
	if s.End == 0 && !o.active(now) {
		return
	}
	f := o.foreign[s.Name.Job]
	if f == nil {
		f = &foreignRuns{since: now}
		o.foreign[s.Name.Job] = f
	}
	if s.End == 0 {
		f.active = append(f.active, endRef{gate: v.name, name: s.Name})
		return
	}
	f.ends = append(f.ends, endRef{gate: v.name, name: s.Name})
}

// UnknownJobs returns the jobs that this owner does not know but gates have reported
// runs of. Their final records decide on these; see AnswerUnknown. A best-effort job
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

// AnswerUnknown sends the verdicts on the ends of a job that this owner does not know, and
// stops its active runs. If the job has not ended, its runs are left to its owner. A job
// without a final record was a best-effort job: its ends do not matter, and its gates stop
// its runs without their owner.
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
	if f != nil {
		o.stopForeign(foreign.active)
	}
}

// stopForeign stops active runs of a job that has ended.
func (o *Owner) stopForeign(active []endRef) {
	for _, r := range active {
		if v := o.gates[r.gate]; v != nil {
			o.log.Info("Stopping a run of an ended job.", "job", r.name.Job, "step", r.name.Step, "index", r.name.Index, "run", r.name.Run, "gate", r.gate)
			v.stop(r.name)
		}
	}
}
