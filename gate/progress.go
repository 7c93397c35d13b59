package gate

import (
	"time"

	"rackspur/job"
)

// Bounds of what counts as a run that stands still or is far too slow.
const (
	// judgeAfter is how long a run must have been watched at least, and judgeShare
	// the part of its estimate.
	judgeAfter = 40 * time.Millisecond
	judgeShare = 0.15
	// nearlyDone is the progress in percent from which the part is nearlyShare:
	// little is left to be seen.
	nearlyDone  = 90
	nearlyShare = 0.5
	// behindFactor is the part of the expected progress below which a run is
	// behind. One in a thousand is by its estimate alone.
	behindFactor = 0.3
	// watchWait is how long a hold may wait while runs are watched.
	watchWait = 50 * time.Millisecond
	// slowRuns is how many runs, and slowJobs of how many jobs, must be behind at
	// once for the executor to count as slow: the estimate of one may be wrong.
	slowRuns = 3
	slowJobs = 2
)

// ReasonBehind is told with a run that stands still, or is behind on an executor
// that is slow.
const ReasonBehind = "behind"

// progress is what the gate has seen of a run's progress. It is watched from the
// first list with the run, since a start may be carried out late.
type progress struct {
	// since is the executor's time of the list that the watch began with, and
	// percent the progress then.
	since   Time
	percent int
	// judged is set once the run was watched for long enough, behind is the
	// newest judgement.
	judged bool
	behind bool
	// told is set once the owner was told that the run should go elsewhere.
	told bool
}

// judgeProgress takes in the progress that the executor's newest list gives for
// a run. Times are the executor's: the list may have come late.
func (g *Gate) judgeProgress(r *run, percent int) {
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
	if r.estimate <= 0 || r.stop || watched < p.watchTime(r.estimate) {
		return
	}
	expected := min(100*float64(watched)/float64(r.estimate), float64(100-p.percent))
	standsStill := percent <= p.percent
	p.judged = true
	p.behind = float64(percent-p.percent) < behindFactor*expected
	p.since, p.percent = now, percent
	if standsStill {
		g.tellBehind(r)
	}
}

// tellBehind tells a run's owner, once, that it should go elsewhere.
func (g *Gate) tellBehind(r *run) {
	if r.progress.told {
		return
	}
	r.progress.told = true
	g.tell(r)
}

// watchTime returns how long a run must be watched to be judged.
func (p *progress) watchTime(estimate time.Duration) time.Duration {
	share := judgeShare
	if p.percent >= nearlyDone {
		share = nearlyShare
	}
	return max(judgeAfter, time.Duration(share*float64(estimate)))
}

// judgePace makes the executor suspect if most of what runs there is behind; what
// is should go elsewhere then.
func (g *Gate) judgePace(now Time) {
	var behind []*run
	judged := 0
	jobs := map[job.ID]bool{}
	for _, r := range g.runs {
		if r.phase != phaseRunning || !r.progress.judged {
			continue
		}
		judged++
		if r.progress.behind {
			behind = append(behind, r)
			jobs[r.Job] = true
		}
	}
	if len(behind) < slowRuns || len(jobs) < slowJobs || 2*len(behind) < judged {
		return
	}
	for _, r := range behind {
		g.tellBehind(r)
	}
	if g.health.suspect {
		return
	}
	g.health.leaveAlone(now, firstRest)
	g.rejectQueue("suspect")
	g.tellAll()
}

// watching says whether runs are there whose progress is judged.
func (g *Gate) watching() bool {
	for _, r := range g.runs {
		if r.phase == phaseRunning && r.estimate > 0 {
			return true
		}
	}
	return false
}
