package owner

import (
	"math"
	"slices"
	"time"

	"rackspur/job"
	"rackspur/share"
)

// Fair shares: a job whose class is served worse than the others counts as due earlier,
// in the order of the waiting tasks, in admission control and in the rank at the gates.
// setShare decides that at the arrival of a job. The other functions report to the accounts
// (package share) what becomes of it: countShareArrived or countShareRefused first; then, for
// an admitted job that doesn't end in time, loseShare or withdrawShare, once.
// See docs/design/fair-shares.md.

// jobShare is a job's part in the shares of the capacity. The zero value is that of a job
// that doesn't count.
type jobShare struct {
	job share.Job
	// width is the CPU that the job can use at one time, in thousandths of a core.
	width int
	// step is by how much earlier the job counts as due. It is fixed at the arrival, so
	// that the order of waiting tasks and the ranks of runs at gates stay consistent.
	step time.Duration
	// counted is set while the job is in the accounts and not known as lost.
	counted bool
	// longestWait is the longest time that a task of the job has waited for a gate.
	longestWait time.Duration
}

// Limits on logging which classes are lifted.
const (
	shareLogInterval = time.Second
	maxShareLines    = 8
)

// newShares returns the accounts of an owner, nil if it schedules without fair shares.
func newShares(d Decisions) *share.Accounts {
	if !d.FairShares {
		return nil
	}
	return share.New(priorityStep)
}

// setShare determines the class of a new job and its step. Shares bind only while tasks
// wait for capacity.
func (o *Owner) setShare(now Time, j *liveJob) {
	if o.shares == nil {
		return
	}
	queue := j.record.Queue
	j.share.width = j.width()
	j.share.job = share.Job{Class: o.shares.ClassOf(queue.Service, queue.Name, j.share.width), Work: j.work()}
	if o.waiting.len() > 0 {
		j.share.step = o.shares.Step(now, j.share.job.Class)
	}
}

// work returns the work of all tasks by their estimates, in core-milliseconds.
func (j *liveJob) work() float64 {
	total := 0.0
	for i := range j.record.Steps {
		total += float64(j.record.Steps[i].Count) * stepWork(&j.record.Steps[i])
	}
	return total
}

// width returns the CPU that a job can use at one time, in thousandths of a core: that of the
// steps with the same number of steps before them, where it is the largest. A long chain of
// narrow steps doesn't make a job wide.
func (j *liveJob) width() int {
	depth := make([]int, len(j.record.Steps))
	needs := make([]int, len(j.record.Steps))
	widest := 0
	for i := range j.record.Steps {
		s := &j.record.Steps[i]
		for _, a := range s.After {
			depth[i] = max(depth[i], depth[a]+1)
		}
		needs[depth[i]] += s.Count * s.Need.CPU
		widest = max(widest, needs[depth[i]])
	}
	return widest
}

// countShareArrived accounts for a job that was admitted.
func (o *Owner) countShareArrived(now Time, j *liveJob) {
	if j.share.step > 0 {
		o.stats.ShareLifted++
	}
	if !o.countsForShare(j) {
		return
	}
	j.share.counted = true
	o.shares.Arrived(now, j.share.job, j.share.width)
}

// countShareRefused accounts for a job that was refused at its arrival. A refusal by an
// operator's policy doesn't count: it doesn't follow from the order of the jobs.
func (o *Owner) countShareRefused(now Time, j *liveJob) {
	if o.stopped || o.options.Policy != nil || !o.countsForShare(j) {
		return
	}
	o.shares.Refused(now, j.share.job, j.share.width)
}

// countsForShare reports whether a job counts in the shares: it requests CPU, and it
// could be served at once if nothing else ran.
func (o *Owner) countsForShare(j *liveJob) bool {
	if o.shares == nil || j.share.job.Work <= 0 {
		return false
	}
	usable := o.usableGates()
	for i := range j.record.Steps {
		if !fitsEmpty(usable, j.record.Queue.Service, &j.record.Steps[i]) {
			return false
		}
	}
	return true
}

// fitsEmpty reports whether all tasks of a step could run at once if nothing else ran.
func fitsEmpty(usable []*gateView, service string, s *job.Step) bool {
	tasks := 0
	for _, v := range usable {
		if v.report.Service != service || (s.Label != "" && !slices.Contains(v.report.Labels, s.Label)) {
			continue
		}
		n := tasksIn(v.report.Capacity, s.Need)
		if s.Spread > 0 {
			n = min(n, s.Spread)
		}
		if tasks += n; tasks >= s.Count {
			return true
		}
	}
	return false
}

// settleShare accounts for a job that has not ended by its objective, or by the time its
// caller leaves. It is lost if its tasks waited for more than half of its slack.
// Otherwise its run time is the cause, which an earlier start would not have changed, and
// the job doesn't count: a queue whose jobs can't end in time at all would be lifted for
// as long as it has jobs.
func (o *Owner) settleShare(now Time, j *liveJob) {
	if !j.share.counted {
		return
	}
	wait := j.share.longestWait
	for _, t := range j.tasks {
		if t.phase == taskWaiting {
			wait = max(wait, now-t.since)
		}
	}
	// A job without slack is late without any wait.
	if wait > 0 && 2*wait >= j.startBy-j.arrived {
		o.loseShare(now, j)
		return
	}
	o.withdrawShare(now, j)
}

// endShare accounts for the end of a job. One that fails by itself in time has had its
// capacity and stays served.
func (o *Owner) endShare(now Time, j *liveJob, state job.State) {
	switch {
	case state == job.StateCancelled:
		o.withdrawShare(now, j)
	case now > j.objective:
		o.settleShare(now, j)
	}
}

// loseShare accounts for a job that was not served in time for want of capacity. It doesn't
// count if the gates that are open by now could not run it at once: an earlier place in the
// order would not have helped.
func (o *Owner) loseShare(now Time, j *liveJob) {
	switch {
	case !j.share.counted:
	case !o.countsForShare(j):
		o.withdrawShare(now, j)
	default:
		j.share.counted = false
		o.shares.Lost(now, j.share.job)
	}
}

// withdrawShare removes a job from the accounts unless it is known as lost: its caller
// has left, it is not this owner's any more, or its lateness has another cause than the order.
func (o *Owner) withdrawShare(now Time, j *liveJob) {
	if j.share.counted {
		j.share.counted = false
		o.shares.Withdrawn(now, j.share.job, now-j.arrived)
	}
}

// updateShares accounts for the jobs whose objective has passed and logs which classes
// begin or cease to be lifted.
func (o *Owner) updateShares(now Time) {
	if o.shares == nil {
		return
	}
	for _, j := range o.jobs {
		if j.share.counted && j.final == "" && now > j.objective {
			o.settleShare(now, j)
		}
	}
	if now-o.sharesLogged < shareLogInterval {
		return
	}
	o.sharesLogged = now
	for _, c := range o.shares.Changes(now, maxShareLines) {
		text := "Class of jobs is no longer below its share."
		if c.Lifted {
			text = "Class of jobs is below its share."
		}
		o.log.Info(text, "service", c.Class.Service, "queue", c.Class.Queue, "wide", c.Class.Wide,
			"servedRatio", thousandths(c.Served), "allServedRatio", thousandths(c.All), "stepMS", c.Step.Milliseconds())
	}
}

// shareFields returns the fields of a log line on a job that tell about its share.
func (o *Owner) shareFields(now Time, j *liveJob) []any {
	if o.shares == nil {
		return nil
	}
	c := j.share.job.Class
	return []any{"wide", c.Wide, "servedRatio", thousandths(o.shares.Served(now, c).Ratio), "shareStepMS", j.share.step.Milliseconds()}
}

// ShareStats is the served ratio of all classes together and that of the class that is served
// worst, in thousandths.
type ShareStats struct{ Served, Worst int64 }

// ShareStats returns the served ratios; zero without fair shares.
func (o *Owner) ShareStats() ShareStats {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shares == nil {
		return ShareStats{}
	}
	all, worst := o.shares.Summary(o.options.Now())
	return ShareStats{Served: int64(math.Round(all * 1000)), Worst: int64(math.Round(worst * 1000))}
}

// thousandths rounds a ratio for a log line.
func thousandths(ratio float64) float64 { return math.Round(ratio*1000) / 1000 }
