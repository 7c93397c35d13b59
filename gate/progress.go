package gate

import (
	"time"

	"rackspur/job"
)

// Parameters for detecting stalled and slow runs.
const (
	// minWatch is the minimum time over which progress is measured, and watchShare the minimum
	// as a fraction of the estimate.
	minWatch   = 40 * time.Millisecond
	watchShare = 0.15
	// nearlyDone is the progress in percent from which nearlyDoneShare is used instead, since
	// little progress remains to be observed.
	nearlyDone      = 90
	nearlyDoneShare = 0.5
	// behindFactor is the fraction of the expected progress below which a run is behind. One
	// run in a thousand is below it only because of its estimate.
	behindFactor = 0.3
	// watchWait is how long a hold may wait while progress is measured.
	watchWait = 50 * time.Millisecond
	// slowRuns and slowJobs are how many runs, of how many jobs, must be behind at once for the
	// target to count as slow; the estimate of a single job may be wrong.
	slowRuns = 3
	slowJobs = 2
)

// ReasonBehind is reported with a run that is stalled, or that is behind on a slow target.
const ReasonBehind = "behind"

// progress is the observed progress of a run. It is measured from the first list that contains
// the run, since a start may be carried out late.
type progress struct {
	// since is the target's clock at the beginning of the measurement, percent the progress
	// then.
	since   Time
	percent int
	// measured is set after the first complete measurement; behind is the newest result.
	measured bool
	behind   bool
	// reported is set once the owner was told that the run should move to another target.
	reported bool
	// recorded is set once the progress was recorded as a sample of the target's speed.
	recorded bool
	listing  listing
}

// updateProgress records the progress of a run from the target's newest list. It uses the
// target's clock, since the list may have been delayed.
func (g *Gate) updateProgress(at Time, r *run, percent int) {
	if percent == PercentUnknown {
		return
	}
	now := time.Duration(g.listedMS) * time.Millisecond
	p := &r.progress
	if p.since == 0 {
		p.since, p.percent = now, percent
		return
	}
	watched := now - p.since
	if r.estimate <= 0 || r.mustStop || watched < p.watchTime(r.estimate) {
		return
	}
	expected := min(100*float64(watched)/float64(r.estimate), float64(100-p.percent))
	stalled := percent <= p.percent
	p.measured = true
	g.recordProgress(at, r, watched, percent-p.percent)
	p.behind = float64(percent-p.percent) < behindFactor*expected
	p.since, p.percent = now, percent
	if stalled {
		g.reportBehind(r)
	}
}

// reportBehind tells a run's owner, once, that the run should move to another target.
func (g *Gate) reportBehind(r *run) {
	if r.progress.reported {
		return
	}
	r.progress.reported = true
	g.sendState(r)
}

// watchTime returns the minimum time over which a run's progress is measured.
func (p *progress) watchTime(estimate time.Duration) time.Duration {
	share := watchShare
	if p.percent >= nearlyDone {
		share = nearlyDoneShare
	}
	return max(minWatch, time.Duration(share*float64(estimate)))
}

// detectSlowTarget makes the target suspect if most of its runs are behind, and reports these
// runs as behind.
func (g *Gate) detectSlowTarget(now Time) {
	var behind []*run
	measured := 0
	jobs := map[job.ID]bool{}
	for _, r := range g.runs {
		if r.phase != phaseRunning || !r.progress.measured {
			continue
		}
		measured++
		if r.progress.behind {
			behind = append(behind, r)
			jobs[r.Job] = true
		}
	}
	if len(behind) < slowRuns || len(jobs) < slowJobs || 2*len(behind) < measured {
		return
	}
	for _, r := range behind {
		g.reportBehind(r)
	}
	if g.health.suspect {
		return
	}
	g.health.suspend(now, minBackoff)
	g.rejectQueue("suspect")
	g.reportChanged()
}

// watching reports whether there are runs whose progress is measured.
func (g *Gate) watching() bool {
	leaving := g.watchesLeaving()
	for _, r := range g.runs {
		if r.phase == phaseRunning && (r.estimate > 0 || leaving) {
			return true
		}
	}
	return false
}
