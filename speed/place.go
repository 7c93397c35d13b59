package speed

import "time"

// Parameters of placement.
const (
	// estimateError is how far estimates are off: run times are taken to be spread evenly over
	// this share below and above the expected one.
	estimateError = 0.4
	// lateWeight is what one task that is expected to end late costs, relative to a whole
	// target of free capacity. It makes a lateness of one in four decide before free capacity.
	lateWeight = 4
	// spareWeight is what leaving a fast target to other tasks is worth while all capacity is
	// in use, relative to a whole target of free capacity. A target of twice the slowness then
	// comes before a fast one if it has any room.
	spareWeight = 2
	// holdGain is by how many late tasks waiting must be better than starting now: less is
	// within the error of the expected wait.
	holdGain = 0.25
)

// Task is a task to place.
type Task struct {
	// Estimate is its run time by its estimate, Left the time until it has to end.
	Estimate, Left time.Duration
	// Tasks is the number of tasks of its job that have not ended: one late task makes the job
	// late.
	Tasks int
}

// End is what to expect of a task on a target.
type End struct {
	// Late is the expected loss: the probability that the task ends late times the tasks of the
	// job, and, if it is more likely late than not, by how much of its estimate.
	Late float64
	// InTime is set if the task ends in time unless it takes longer than expected.
	InTime bool
}

// Expect returns what to expect of a task that starts on a target after a wait.
func (t Task) Expect(slowness float64, wait time.Duration) End {
	run := float64(t.Estimate) * slowness
	spare := float64(t.Left-wait) - run
	spread := estimateError * run
	e := End{InTime: spare >= 0}
	if spare >= spread {
		return e
	}
	p := 1.0
	if spare > -spread {
		p = (spread - spare) / (2 * spread)
	}
	e.Late = p * float64(max(1, t.Tasks))
	if spare < 0 {
		e.Late += -spare / float64(t.Estimate)
	}
	return e
}

// Room is the capacity of a target that a task would use.
type Room struct {
	// Free is the share of the target's capacity that is free once the task runs there;
	// negative if the task is queued.
	Free float64
	// Used is the share of all targets' capacity, weighted by speed, that is in use.
	Used float64
}

// Score rates a target for a task; higher is better. A task that ends in time goes where most
// capacity is free. The more capacity is in use, the more a slow target is preferred that is
// fast enough, so that the fast ones are left for tasks that need them.
func (f Fleet) Score(slowness float64, e End, r Room) float64 {
	score := r.Free - lateWeight*e.Late
	if slowness > f.Fast && e.Late < 1 {
		score += spareWeight * r.Used * (1 - f.Fast/slowness) * (1 - e.Late)
	}
	return score
}

// QueueDelay returns how long a run waits in the queue of a target for missing, a share of its
// capacity, to become free while runs of a mean length by estimate go on there.
func QueueDelay(missing, slowness float64, mean time.Duration) time.Duration {
	return time.Duration(missing * slowness * float64(mean))
}

// WorthWaiting reports whether a task waits for a faster target: now is what to expect of the
// best target with room, then of a target without room after the expected wait. A task that is
// expected to end in time doesn't wait: the fastest targets would become a bottleneck. Nor does
// one that couldn't end in time any more after the wait.
func WorthWaiting(now, then End) bool {
	return !now.InTime && then.InTime && now.Late-then.Late > holdGain
}
