package owner

import (
	"slices"
	"time"
)

// Busy reports whether runs of the owner are at a gate, which requires contact with it,
// or verdicts or stops wait to be sent to it.
func (o *Owner) Busy(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.gates[name]
	return v != nil && (v.busy || len(v.verdicts) > 0 || len(v.stops) > 0)
}

// HasRuns reports whether a gate has runs of the owner, according to the newest frames
// in both directions.
func (o *Owner) HasRuns(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.jobs {
		for _, t := range j.tasks {
			if t.gate == name && t.hasOpenRun() {
				return true
			}
		}
	}
	return false
}

// hasOpenRun reports whether a run of the task was sent to a gate and is not known to
// be over.
func (t *task) hasOpenRun() bool { return t.phase == taskPlaced || t.phase == taskRunning }

// updateBusy determines which gates have runs. During an adoption any gate may have
// some.
func (o *Owner) updateBusy(now Time) {
	if now-o.busyUpdated < busyInterval {
		return
	}
	o.busyUpdated = now
	adopting := o.pendingReads > 0 || o.adoptsJobs()
	if adopting || o.allBusy {
		o.allBusy = adopting
		for _, v := range o.gates {
			v.busy = adopting
		}
	}
	for _, v := range o.activeGates {
		v.busy = adopting
	}
	for _, j := range o.jobs {
		for _, t := range j.tasks {
			if v := o.gates[t.gate]; v != nil && t.hasOpenRun() {
				v.busy = true
			}
		}
	}
	o.pruneActive()
}

// busyInterval is the minimum time between two updates of the busy flags.
const busyInterval = 100 * time.Millisecond

// Adopting reports whether runs of jobs being adopted may be at any gate.
func (o *Owner) Adopting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.adoptsJobs()
}

// adoptsJobs reports whether jobs being adopted wait for reports of gates.
func (o *Owner) adoptsJobs() bool {
	return slices.ContainsFunc(o.adoptions, func(a *adoption) bool { return len(a.jobs) > 0 })
}
