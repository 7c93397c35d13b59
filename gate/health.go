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
	slowness  float64
}

// ended takes in the end of a run.
func (h *health) ended(now Time, r *run) {
	switch r.end {
	case EndDone:
		if h.suspect && r.estimate > 0 && float64(r.ran) > stillSlow*float64(r.estimate) {
			h.leaveAlone(now, firstRest)
			h.pace(r)
			return
		}
		h.failed = nil
		h.suspect = false
		h.probing = false
		h.rest = 0
		h.pace(r)
	case EndFailed:
		h.fail(now, r.Job)
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndRejected:
		if h.probing && r.progress.behind {
			h.leaveAlone(now, firstRest)
		}
		h.probing = false
	}
}

func (h *health) pace(r *run) {
	if r.estimate <= 0 {
		return
	}
	ratio := float64(r.ran) / float64(r.estimate)
	if h.slowness == 0 {
		h.slowness = ratio
	}
	h.slowness += slownessWeight * (ratio - h.slowness)
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
