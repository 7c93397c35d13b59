package gate

import (
	"time"

	"rackspur/job"
)

// Bounds of what the gate thinks of its executor.
const (
	// suspectAfter is how many runs of different jobs must fail in a row.
	suspectAfter = 3
	// firstRest is how long a suspect executor is left alone before a probe; it
	// doubles up to mostRest.
	firstRest = 700 * time.Millisecond
	mostRest  = 4 * time.Second
	// stillSlow is how many times its estimate a probe may take for the executor
	// to be trusted again.
	stillSlow = 3
	// slownessWeight is the weight of a new ratio in the smoothed one.
	slownessWeight = 0.15
	// slownessKept is how long after the newest run the smoothed ratio counts. Owners send
	// nothing to a slow target while others have room, so that it would stay what it was:
	// a target whose connection had been silent for 0.85 s, and whose failure domain was
	// evacuated then, got nothing for the 30 s that were watched after that was taken back
	// (TestSoakEvacuations/62423445606). Slow targets are mostly so for less than 10 s.
	slownessKept = 10 * time.Second
)

// health is what the gate thinks of its executor from the ends of its runs.
type health struct {
	failed  []job.ID
	suspect bool
	rest    time.Duration
	until   Time
	// probing is set while a probe runs; probeSent is when it started.
	probing   bool
	probeSent Time
	// slowness is the smoothed ratio of run time to estimate, paced when it last changed.
	slowness float64
	paced    Time
}

// ended takes in the end of a run.
func (h *health) ended(now Time, r *run) {
	switch r.end {
	case EndDone:
		if h.suspect && r.estimate > 0 && float64(r.ran) > stillSlow*float64(r.estimate) {
			h.leaveAlone(now, firstRest)
			h.pace(now, r)
			return
		}
		h.failed = nil
		h.suspect = false
		h.probing = false
		h.rest = 0
		h.pace(now, r)
	case EndFailed:
		h.fail(now, r.Job)
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndRejected:
		if h.probing && r.progress.behind {
			h.leaveAlone(now, firstRest)
		}
		h.probing = false
	}
}

// pace takes in how long a run has taken beside its estimate.
func (h *health) pace(now Time, r *run) {
	if r.estimate <= 0 {
		return
	}
	ratio := float64(r.ran) / float64(r.estimate)
	if h.slownessAt(now) == 0 {
		h.slowness = ratio
	}
	h.paced = now
	h.slowness += slownessWeight * (ratio - h.slowness)
}

// slownessAt returns the smoothed ratio of run time to estimate; 0 if it is not known, or
// too old to count.
func (h *health) slownessAt(now Time) float64 {
	if now-h.paced > slownessKept {
		return 0
	}
	return h.slowness
}

func (h *health) fail(now Time, id job.ID) {
	if h.probing {
		h.turnedAway(now)
		return
	}
	for _, f := range h.failed {
		if f == id {
			return
		}
	}
	h.failed = append(h.failed, id)
	if len(h.failed) >= suspectAfter {
		h.turnedAway(now)
	}
}

// turnedAway makes an executor that fails what it starts suspect, each time for
// longer.
func (h *health) turnedAway(now Time) {
	h.leaveAlone(now, min(max(firstRest, 2*h.rest), mostRest))
}

// leaveAlone makes the executor suspect: it is left alone for a time, then
// probed with one run.
func (h *health) leaveAlone(now Time, rest time.Duration) {
	h.suspect = true
	h.probing = false
	h.rest = rest
	h.until = now + rest
}

// mayStart says whether a run may start: a suspect executor gets one probe
// after its rest.
func (h *health) mayStart(now Time) bool {
	if !h.suspect {
		return true
	}
	return now >= h.until && (!h.probing || now-h.probeSent > mostRest)
}

func (h *health) started(now Time) {
	if h.suspect {
		h.probing = true
		h.probeSent = now
	}
}
