package owner

import (
	"slices"

	"rackspur/job"
)

// Bounds of taking runs off executors on which they are behind.
const (
	// maxMoves is how many times a task is taken off.
	maxMoves = 2
	// maxSlowGates is on how many gates runs of a job may be behind: with more of
	// them the job's estimate is wrong, and not the executors.
	maxSlowGates = 2
)

// moveOn takes a run off an executor on which it makes too little progress. The
// task starts elsewhere once the run has ended.
func (o *Owner) moveOn(v *gateView, t *task, name job.RunName) {
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
	o.log.Info("Run is behind; taken off.", "job", name.Job, "task", t.index, "run", name.Run, "gate", v.name, "moves", t.moves)
}
