package test

import (
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// ownedLine matches the lines that an owner logs when it drops a job, or has had it for a second.
var ownedLine = regexp.MustCompile(`"ts"="([^"]*)".*"Job (given up|is slow)\." .*?"job"="([^"]*)".*?"ageMS"=(\d+)`)

// droppedText is the text in ownedLine of a drop.
const droppedText = "given up"

// loggedJob is a job that an owner has logged.
type loggedJob struct {
	entry *box
	job   string
	// taken is when the owner took the job in, at when it logged it; dropped reports that it dropped
	// the job then.
	taken, at time.Time
	dropped   bool
}

// loggedJobs returns the jobs that the entries have logged.
func (r *soakRun) loggedJobs() (logged []loggedJob) {
	for _, e := range r.entries {
		for _, found := range ownedLine.FindAllStringSubmatch(e.log.String(), -1) {
			at, err := time.Parse(time.RFC3339Nano, found[1])
			age, ageErr := strconv.Atoi(found[4])
			if err != nil || ageErr != nil {
				r.t.Errorf("%s: unreadable log line: %q", e.name, found[0])
				continue
			}
			logged = append(logged, loggedJob{entry: e, job: found[3], taken: at.Add(-milliseconds(age)), at: at, dropped: found[2] == droppedText})
		}
	}
	return logged
}

// returns counts the calls of one kind of connection, and what led or could have led to two runs of
// a task at work.
type returns struct {
	calls int
	// lost counts calls without an answer, back those after which the job was submitted again.
	lost, back int
	// dropped counts lost calls whose owner dropped the job within lateStop, droppedLate later. The
	// others' owners ended the job, stopped, or had nothing placed.
	dropped, droppedLate int
	// twoOwners counts best-effort jobs that were submitted again while the owner before lived, and had
	// neither dropped nor ended the job.
	twoOwners int
	// lateRuns counts runs of such a job at work more than lateStop after the loss.
	lateRuns int
	// overlaps are how long two runs of a task were at work at a time, by the first lost call
	// whose owner still had the job, as formerOwner tells.
	overlaps []time.Duration
}

// callReturns are the counts of all kinds.
type callReturns map[callerFaultKind]*returns

// of returns the counts of a call's kind.
func (c callReturns) of(v *callerVisit) *returns {
	if c[v.fault.kind] == nil {
		c[v.fault.kind] = &returns{}
	}
	return c[v.fault.kind]
}

// logReturns logs how often callers with faulty connections came back, and what followed.
func (r *soakRun) logReturns(byJob map[string]map[job.TaskName][]standin.Span) {
	counts := callReturns{}
	logged := r.loggedJobs()
	for _, j := range r.jobs {
		for i := range j.visits {
			counts.countVisit(j, i, byJob[j.id], logged)
		}
		for _, spans := range byJob[j.id] {
			counts.countRuns(j, spans)
			r.logOverlaps(counts, j, spans, byJob[j.id], logged)
		}
	}
	for _, kind := range slices.Compact(slices.Clone(callerFaultKinds)) {
		if c := counts[kind]; c != nil {
			r.t.Logf("calls, %s: %d, %d without an answer, dropped within %v: %d, later: %d, back: %d, at two owners: %d, runs at work %v after the loss: %d, overlaps: %d %v",
				kind, c.calls, c.lost, lateStop, c.dropped, c.droppedLate, c.back, c.twoOwners, lateStop, c.lateRuns, len(c.overlaps), c.overlaps)
		}
	}
}

// countVisit counts submission i of a job.
func (c callReturns) countVisit(j *soakJob, i int, tasks map[job.TaskName][]standin.Span, logged []loggedJob) {
	v := &j.visits[i]
	n := c.of(v)
	n.calls++
	if !v.lost() {
		return
	}
	n.lost++
	if at, ok := dropOf(logged, j, v); ok && at.Before(v.ended.Add(lateStop)) {
		n.dropped++
	} else if ok {
		n.droppedLate++
	}
	if i+1 == len(j.visits) {
		return
	}
	n.back++
	next := &j.visits[i+1]
	if j.bestEffort && next.reached && next.status != http.StatusServiceUnavailable && isOwned(j, v, next.sent, tasks, logged) {
		n.twoOwners++
	}
}

// countRuns counts the runs of one of a job's tasks.
func (c callReturns) countRuns(j *soakJob, spans []standin.Span) {
	for _, s := range spans {
		if v, next := j.visitsAt(s.Started); j.bestEffort && next != nil && v.lost() && (s.End == 0 || s.Ended.After(v.ended.Add(lateStop))) {
			c.of(v).lateRuns++
		}
	}
}

// logOverlaps counts the overlapping runs of one of a job's tasks. It logs those for which no
// earlier owner is known that still had the job.
func (r *soakRun) logOverlaps(c callReturns, j *soakJob, spans []standin.Span, tasks map[job.TaskName][]standin.Span, logged []loggedJob) {
	for i, s := range spans {
		for _, before := range spans[:i] {
			if len(j.visits) == 0 || !overlap(before, s) {
				continue
			}
			lasted := firstEnd(before, s).Sub(s.Started).Round(time.Millisecond)
			if v := j.formerOwner(s.Started, tasks, logged); v != nil {
				n := c.of(v)
				n.overlaps = append(n.overlaps, lasted)
				continue
			}
			r.t.Logf("overlap of %v, no owner of a lost call had the job still: runs %v and %v for %v", s.Name.TaskName, before.Name.Run, s.Name.Run, lasted)
		}
	}
}

// formerOwnerBound is how long runs may go on once their owner is gone: less than after that a job
// is submitted again.
const formerOwnerBound = longResend

// formerOwner returns the first lost submission whose owner still had the job lateStop after the loss and
// at most formerOwnerBound before a time; nil if there is none.
func (j *soakJob) formerOwner(at time.Time, tasks map[job.TaskName][]standin.Span, logged []loggedJob) *callerVisit {
	for i := range j.visits {
		if i+1 == len(j.visits) || !j.visits[i+1].sent.Before(at) {
			return nil
		}
		v := &j.visits[i]
		owned := v.ended.Add(lateStop)
		if bound := at.Add(-formerOwnerBound); bound.After(owned) {
			owned = bound
		}
		if v.lost() && isOwned(j, v, owned, tasks, logged) {
			return v
		}
	}
	return nil
}

// visitsAt returns the last submission before a time that reached an entry, and the next one; nil
// if there is none.
func (j *soakJob) visitsAt(at time.Time) (last, next *callerVisit) {
	for i := range j.visits {
		if v := &j.visits[i]; v.reached && v.sent.Before(at) {
			last, next = v, nil
			if i+1 < len(j.visits) {
				next = &j.visits[i+1]
			}
		}
	}
	return last, next
}

// dropOf returns when a submission's owner dropped the job, if it did.
func dropOf(logged []loggedJob, j *soakJob, v *callerVisit) (at time.Time, ok bool) {
	for _, d := range logged {
		if d.dropped && d.entry == v.entry && d.job == j.id && d.at.After(v.sent) {
			return d.at, true
		}
	}
	return time.Time{}, false
}

// isOwned reports whether the owner of a lost submission has taken the job in, lives at a time, and has
// neither dropped nor ended the job by then.
func isOwned(j *soakJob, v *callerVisit, at time.Time, tasks map[job.TaskName][]standin.Span, logged []loggedJob) bool {
	taken := false
	for _, l := range logged {
		if l.entry != v.entry || l.job != j.id || l.at.Before(v.sent) || l.taken.After(at) {
			continue
		}
		if l.dropped {
			return l.at.After(at)
		}
		taken = true
	}
	if !v.reached || v.entry.exited(v.sent, at) {
		return false
	}
	done := 0
	for _, spans := range tasks {
		for _, s := range spans {
			taken = taken || s.Started.After(v.sent) && s.Started.Before(at)
		}
		if slices.ContainsFunc(spans, func(s standin.Span) bool { return s.End == gate.EndDone && s.Noted && s.Ended.Before(at) }) {
			done++
		}
	}
	return taken && done < j.tasks
}

// firstEnd returns the earlier end of two runs; now, if neither has ended.
func firstEnd(a, b standin.Span) time.Time {
	first := time.Now()
	for _, s := range []standin.Span{a, b} {
		if s.End != 0 && s.Ended.Before(first) {
			first = s.Ended
		}
	}
	return first
}

// Guards against log lines that loggedJobs no longer recognises.
func TestLoggedJobs(t *testing.T) {
	const lasts, patience = 5 * time.Second, 1300 * time.Millisecond
	r := &soakRun{deployment: newDeployment(t, 1, 1)}
	e, id := r.entries[0], longID(1, lasts)
	client := &http.Client{Timeout: patience}
	waitFor(t, "the job is slow and dropped when its caller leaves", func() bool {
		e.askWithin(client, 2*lasts, http.MethodPost, platformPrefix+id, platformJobOf(1, true, lasts))
		kinds := map[bool]int{}
		for _, l := range r.loggedJobs() {
			if age := l.at.Sub(l.taken); l.job == id && l.entry == e && age > patience/2 && age < lasts {
				kinds[l.dropped]++
			}
		}
		return kinds[true] > 0 && kinds[false] > 0
	})
}
