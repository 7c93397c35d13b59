package speed

import (
	"math"
	"slices"
)

// Parameters of the comparison of targets.
const (
	// tolerance is how far, relative to the median, a target's slowness may be from it to count
	// as equal: two standard deviations of a measured median (see maxSamples).
	tolerance = 0.15
	// certain is the deviation from which a slowness counts as it was measured. Between the
	// two it counts partly, so that a target that has deviated by chance is hardly avoided.
	certain = 0.30
	// harmful is how many times slower than the fast targets a target is on which tasks end late:
	// objectives allow a task about 1.6 times its run time, and the measurement errs by up to the
	// tolerance.
	harmful = 1.8
	// coldFactor is how many times slower than the median a cold target counts whose slowness
	// is unknown.
	coldFactor = 2
	// fastShare is the share of the targets, by slowness, whose slowest counts as fast where most
	// targets are slow. The fastest target alone may only seem fast by chance.
	fastShare = 0.2
	// asEstimated is the slowness of a target that runs tasks in their estimated time.
	// Objectives are derived from estimates, so such a target is fast enough.
	asEstimated = 1
)

// Target is what an owner knows of the speed of a target.
type Target struct {
	// Measured is the reported median slowness, 0 if it is unknown.
	Measured float64
	// Cold says that the target has just started and runs slowly.
	Cold bool
}

// Fleet compares the targets of an owner.
type Fleet struct {
	// Reference is the median slowness, 0 if none is known.
	Reference float64
	// Differ is set if a target is so slow that tasks end late there. Faster targets, and those
	// that are somewhat slower, call for nothing.
	Differ bool
	// Fast is the slowness up to which targets are fast: the median, or less if most targets
	// are slow.
	Fast float64
}

// Compare returns the comparison of targets with these slownesses, of which those that are not
// positive are unknown, and says whether any target is cold and unknown. It sorts the slice.
func Compare(measured []float64, cold bool) Fleet {
	slices.Sort(measured)
	first, _ := slices.BinarySearch(measured, 0)
	for first < len(measured) && measured[first] <= 0 {
		first++
	}
	known := measured[first:]
	if len(known) == 0 {
		if cold {
			// Only the ratio to the other targets is known.
			return Fleet{Reference: 1, Fast: 1, Differ: true}
		}
		return Fleet{}
	}
	f := Fleet{Reference: known[len(known)/2]}
	fastest := f.adjust(known[int(fastShare*float64(len(known)))])
	f.Fast = f.Reference
	if f.Reference > asEstimated*(1+certain) && f.Reference > fastest*(1+certain) {
		// Most targets are slow.
		f.Fast = max(fastest, asEstimated)
	}
	f.Differ = cold || f.Harmful(known[len(known)-1])
	return f
}

// adjust returns the slowness that a measured one counts as: the median within the tolerance.
func (f Fleet) adjust(slowness float64) float64 {
	deviation := slowness/f.Reference - 1
	size := math.Abs(deviation)
	if size >= certain {
		return slowness
	}
	partly := max(0, size-tolerance) * certain / (certain - tolerance)
	return f.Reference * (1 + math.Copysign(partly, deviation))
}

// Slowness returns the slowness to expect of a target, and whether it is based on the target
// itself. An unknown target counts as the median one, so that new targets get work.
func (f Fleet) Slowness(t Target) (slowness float64, known bool) {
	switch {
	case t.Measured > 0:
		return f.adjust(t.Measured), true
	case t.Cold:
		return coldFactor * f.Reference, true
	}
	return f.Reference, false
}

// Harmful reports whether tasks end late on a target of this slowness that would be in time on a
// fast one.
func (f Fleet) Harmful(slowness float64) bool { return slowness > f.Fast*harmful }

// IsSlow reports whether a slowness is worse than the median's by more than the tolerance.
func (f Fleet) IsSlow(slowness float64) bool { return slowness > f.Reference*(1+tolerance) }

// IsFast reports whether a target is one of the fast ones.
func (f Fleet) IsFast(slowness float64) bool { return slowness <= f.Fast*(1+tolerance) }

// Cautious returns the slowness by which a task's end is expected. A target that is slower than
// the fast ones counts as slow as it may be within the error of the measurement: otherwise tasks
// go just to those that seem less slow by chance.
func (f Fleet) Cautious(slowness float64) float64 {
	if f.IsFast(slowness) {
		return slowness
	}
	return slowness * (1 + tolerance)
}

// Weight returns how much of its capacity a target counts, relative to a target that runs tasks
// in their estimated time, or to the fast ones if all are slower. It is 1 for the median target
// unless most targets are slow.
func (f Fleet) Weight(slowness float64) float64 {
	if !f.Differ || slowness <= 0 {
		return 1
	}
	return min(f.Reference, max(f.Fast, 1)) / slowness
}
