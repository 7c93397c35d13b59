package gate

import (
	"time"

	"rackspur/job"
)

// Parameters of the health check.
const (
	// suspectAfter is how many consecutive runs of different jobs must fail.
	suspectAfter = 3
	// minBackoff is how long a suspect target gets no runs before it is probed; it doubles up
	// to maxBackoff.
	minBackoff = 700 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxProbeRatio is the ratio of run time to estimate above which a probe counts as too slow
	// for the target to be trusted again.
	maxProbeRatio = 3
	// slownessWeight is the weight of a new sample in the smoothed ratio.
	slownessWeight = 0.15
	// slownessMaxAge is how long the smoothed ratio counts after the newest sample. Owners
	// avoid slow targets, so without new runs an outdated ratio would never change: a target
	// that had been silent for 0.85 s got no runs for 30 s. Most slow targets are slow for less
	// than 10 s.
	slownessMaxAge = 10 * time.Second
)

// health rates the target by how its runs end.
type health struct {
	failed  []job.ID
	suspect bool
	backoff time.Duration
	probeAt Time
	// probing is set while a probe runs, which began at probeStarted.
	probing      bool
	probeStarted Time
	// slowness is the smoothed ratio of run time to estimate, slownessUpdated when it last
	// changed.
	slowness        float64
	slownessUpdated Time
}

// ended records the end of a run.
func (h *health) ended(now Time, r *run) {
	switch r.end {
	case EndDone:
		if h.suspect && r.estimate > 0 && float64(r.ran) > maxProbeRatio*float64(r.estimate) {
			h.suspend(now, minBackoff)
			h.updateSlowness(now, r)
			return
		}
		h.failed = nil
		h.suspect = false
		h.probing = false
		h.backoff = 0
		h.updateSlowness(now, r)
	case EndFailed:
		h.recordFailure(now, r.Job)
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndRejected:
		if h.probing && r.progress.behind {
			h.suspend(now, minBackoff)
		}
		h.probing = false
	}
}

// updateSlowness records the ratio of a run's time to its estimate, if both are known.
func (h *health) updateSlowness(now Time, r *run) {
	if r.estimate <= 0 || r.ran <= 0 {
		return
	}
	ratio := float64(r.ran) / float64(r.estimate)
	if h.slownessAt(now) == 0 {
		h.slowness = ratio
	}
	h.slownessUpdated = now
	h.slowness += slownessWeight * (ratio - h.slowness)
}

// slownessAt returns the smoothed ratio of run time to estimate; 0 if it is unknown or too old.
func (h *health) slownessAt(now Time) float64 {
	if now-h.slownessUpdated > slownessMaxAge {
		return 0
	}
	return h.slowness
}

func (h *health) recordFailure(now Time, id job.ID) {
	if h.probing {
		h.extendBackoff(now)
		return
	}
	for _, f := range h.failed {
		if f == id {
			return
		}
	}
	h.failed = append(h.failed, id)
	if len(h.failed) >= suspectAfter {
		h.extendBackoff(now)
	}
}

// extendBackoff makes the target suspect, each time for longer.
func (h *health) extendBackoff(now Time) {
	h.suspend(now, min(max(minBackoff, 2*h.backoff), maxBackoff))
}

// suspend makes the target suspect: it gets no runs for a while, then a single probe.
func (h *health) suspend(now Time, backoff time.Duration) {
	h.suspect = true
	h.probing = false
	h.backoff = backoff
	h.probeAt = now + backoff
}

// mayStart reports whether a run may start: a suspect target gets one probe after its backoff.
func (h *health) mayStart(now Time) bool {
	if !h.suspect {
		return true
	}
	return now >= h.probeAt && (!h.probing || now-h.probeStarted > maxBackoff)
}

func (h *health) started(now Time) {
	if h.suspect {
		h.probing = true
		h.probeStarted = now
	}
}
