package owner

import (
	"rackspur/gate"
	"rackspur/job"
)

// UnknownJobs returns the jobs that this owner does not know but gates have reported
// ends of. Their final records decide on these ends; see AnswerUnknown.
func (o *Owner) UnknownJobs() []job.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]job.ID, 0, len(o.foreign))
	for id := range o.foreign {
		if o.jobs[id] == nil {
			ids = append(ids, id)
			continue
		}
		delete(o.foreign, id)
	}
	return ids
}

// AnswerUnknown sends the verdicts on the ends of a job that this owner does not know.
// If the job has not ended, its ends are left to its owner. A job without a final
// record was a best-effort job: its ends do not matter.
func (o *Owner) AnswerUnknown(id job.ID, over bool, f *job.Final) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ends := o.foreign[id]
	delete(o.foreign, id)
	if !over {
		return
	}
	for _, e := range ends {
		v := o.gates[e.gate]
		if v == nil {
			continue
		}
		if f == nil || f.State != job.StateCompleted || f.Done[taskNumber(f.Steps, e.name.TaskName)] == e.name.Run {
			v.addVerdict(e.name, gate.VerdictAcknowledge)
			continue
		}
		v.addVerdict(e.name, gate.VerdictDiscard)
	}
}

// taskNumber returns the number of a task counted over all steps.
func taskNumber(counts []int, name job.TaskName) int {
	n := name.Index
	for s := 0; s < name.Step && s < len(counts); s++ {
		n += counts[s]
	}
	return n
}
