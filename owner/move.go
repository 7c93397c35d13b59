package owner

import (
	"slices"

	"rackspur/job"
)

// Limits on moving runs away from targets on which they are behind.
const (
	// maxMoves is how many times a task is moved.
	maxMoves = 2
	// maxSlowGates is the number of gates on which runs of a job may be behind. With
	// more of them the job's estimate is wrong, not the targets.
	maxSlowGates = 2
)

// moveRun stops a run that makes too little progress. The task starts on another gate
// once the run has ended.
func (o *Owner) moveRun(v *gateView, t *task, name job.RunName) {
	j := t.job
	if !slices.Contains(j.slowGates, v.name) {
		j.slowGates = append(j.slowGates, v.name)
	}
	if t.moves >= maxMoves || len(j.slowGates) > maxSlowGates {
		return
	}
	t.moves++
	o.stats.Moved++
	t.avoidGate(v.name)
	v.stop(name)
	o.log.Info("Run is behind and is moved.", "job", name.Job, "task", t.index, "run", name.Run, "gate", v.name, "moves", t.moves)
}
