// Package leaving decides which runs can't end before the process of their target ends, so that
// their owners start them elsewhere. It is pure: times are passed in.
package leaving

import "time"

// Times that a move takes.
const (
	// StopTime is how long a target takes at most to carry out a stop.
	StopTime = 50 * time.Millisecond
	// ListInterval is the time between two lists of a target with watched runs, and so between
	// two decisions.
	ListInterval = 50 * time.Millisecond
	// LastChance is the time left at which a stop can be ordered for the last time: the next
	// decision comes a ListInterval later, the report, the order and the answers need up to
	// another one, and then the stop must be carried out. A run that dies with its target is
	// known to be over only after the target's lease.
	LastChance = StopTime + 2*ListInterval
)

// PercentUnknown is the progress of a run that reports none.
const PercentUnknown = -1

// minPercent is the progress from which the remaining time is computed from it; below, the
// rounding to whole percents and the time that a run takes to begin weigh too much.
const minPercent = 10

// Run is a run on a target that leaves.
type Run struct {
	// Elapsed is how long the run has taken; 0 if unknown.
	Elapsed time.Duration
	// Percent is the progress, or PercentUnknown.
	Percent int
	// Estimate is the caller's estimate of the run time; 0 if unknown.
	Estimate time.Duration
	// Slowness is the target's ratio of run time to estimate; 0 if unknown, which counts as 1.
	Slowness float64
	// Checkpointed says that the target holds a checkpoint that the run has taken there, so that
	// a stop loses no work.
	Checkpointed bool
	// Moved says that the run was already reported or is being stopped.
	Moved bool
}

// Remaining returns how much longer a run is expected to take; ok is false if that is unknown.
// Once a run without usable progress has exceeded its expected time, nothing tells when it ends:
// some tasks take several times their estimate.
func (r Run) Remaining() (remaining time.Duration, ok bool) {
	if r.Percent >= minPercent && r.Elapsed > 0 {
		percent := min(r.Percent, 100)
		return time.Duration(float64(r.Elapsed) * float64(100-percent) / float64(percent)), true
	}
	if r.Estimate <= 0 {
		return 0, false
	}
	slowness := r.Slowness
	if slowness <= 0 {
		slowness = 1
	}
	remaining = time.Duration(float64(r.Estimate)*slowness) - r.Elapsed
	return remaining, remaining > 0
}

// CannotEnd returns the indexes of the runs that are to be moved when their target's process ends
// after left, at the earliest.
//
// A run whose expected end leaves no time for a stop can't end there. Without a checkpoint it is
// moved at once, since whatever it does until then is lost. With one it goes on until the last
// chance, since its work counts elsewhere and the capacity is used by nothing else. A run whose
// remaining time is unknown may still end and is also left alone until then.
func CannotEnd(left time.Duration, runs []Run) []int {
	var indexes []int
	for i, r := range runs {
		if r.Moved {
			continue
		}
		remaining, known := r.Remaining()
		if known && remaining <= left-StopTime {
			continue
		}
		if (known && !r.Checkpointed) || left <= LastChance {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
