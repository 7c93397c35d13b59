package gate

import "time"

// Bounds of what counts as a run that stands still or is far too slow.
const (
	// judgeAfter is how long a run must have been watched at least, and judgeShare
	// the part of its estimate.
	judgeAfter = 40 * time.Millisecond
	judgeShare = 0.15
	// behindFactor is the part of the expected progress below which a run is
	// behind. Estimates that are off by 40% and data on another rack together
	// leave more than that.
	behindFactor = 0.3
	// watchWait is how long a hold may wait while runs are watched.
	watchWait = 50 * time.Millisecond
	// slowRuns is how many runs must be behind at once for the executor to be
	// left alone.
	slowRuns = 3
)

// ReasonBehind is told with a run that makes far less progress than expected.
const ReasonBehind = "behind"

// progress is what the gate has seen of a run's progress since it was first
// listed: a start may have been carried out late.
type progress struct {
	// since is the executor's time of the first list with the run.
	since   Time
	percent int
	// judged is set once the run was seen to make progress or not.
	judged bool
	behind bool
}

// judgeProgress takes in the progress that the executor's newest list gives for
// a run. Times are the executor's: the list may have come late.
func (g *Gate) judgeProgress(r *run, percent int) {
	now := time.Duration(g.listedMS) * time.Millisecond
	p := &r.progress
	switch {
	case p.since == 0:
		p.since = now
		p.percent = percent
		return
	case p.judged || r.estimate <= 0 || r.stop:
		return
	}
	watched := now - p.since
	if watched < max(judgeAfter, time.Duration(judgeShare*float64(r.estimate))) {
		return
	}
	expected := 100 * float64(watched) / float64(r.estimate)
	p.judged = true
	p.behind = float64(percent-p.percent) < behindFactor*min(expected, float64(100-p.percent))
	if p.behind {
		g.tell(r)
	}
}

// judgePace makes the executor suspect if most of what runs there is behind.
func (g *Gate) judgePace(now Time) {
	behind, judged := 0, 0
	for _, r := range g.runs {
		if r.phase != phaseRunning || !r.progress.judged {
			continue
		}
		judged++
		if r.progress.behind {
			behind++
		}
	}
	if behind < slowRuns || 2*behind < judged || g.health.suspect {
		return
	}
	g.health.turnedAway(now)
	g.rejectQueue("suspect")
	g.tellAll()
}

// watching says whether runs are there whose progress is to be judged.
func (g *Gate) watching() bool {
	for _, r := range g.runs {
		if r.phase == phaseRunning && !r.progress.judged && r.estimate > 0 {
			return true
		}
	}
	return false
}
