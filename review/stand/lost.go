package main

import (
	"fmt"
	"sort"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/job"
)

// idleAtMost is for how long a job may have nothing running although it could (LOST).
const idleAtMost = 3 * time.Second

// idle is a span of time in which a job had nothing running.
type idle struct {
	id          string
	from, until time.Time
	// most is the largest share of the capacity that was in use meanwhile.
	most float64
	left int
}

// looksEvery is the distance of the moments that are looked at.
const looksEvery = 50 * time.Millisecond

// load is what was in use, and what there was, at a moment.
type load struct{ used, capacity int }

// loads returns the load at all moments from the script's start until a time.
func (w *world) loads(until time.Time) []load {
	n := int(until.Sub(w.started)/looksEvery) + 1
	all := make([]load, n)
	for _, m := range w.agents {
		for i := range all {
			if m.upAt(w.started.Add(time.Duration(i) * looksEvery)) {
				all[i].capacity += executorCPU
			}
		}
	}
	for _, s := range w.spans() {
		ended := s.Ended
		if s.End == 0 {
			ended = until
		}
		for i := max(0, w.look(s.Started)); i < n && !w.started.Add(time.Duration(i)*looksEvery).After(ended); i++ {
			all[i].used += w.needOf(s.Name.Job)
		}
	}
	return all
}

// look returns the number of the first moment from a time on.
func (w *world) look(at time.Time) int { return int((at.Sub(w.started) + looksEvery - 1) / looksEvery) }

// upAt reports whether the executor of a machine was up.
func (m *machine) upAt(at time.Time) bool {
	for _, o := range m.down {
		if !at.Before(o.from) && (o.until.IsZero() || at.Before(o.until)) {
			return false
		}
	}
	return true
}

// idleJobs returns the jobs, of one step, which for 3 s had nothing running although tasks were left, there
// was capacity for these twice over, and under half of the service's capacity was in use (LOST). It looks
// from each job's acceptance until the given time.
func (w *world) idleJobs(jobs []*sentJob, tasks int, until time.Time) []idle {
	runs := map[job.ID][]standin.Span{}
	for _, s := range w.spans() {
		runs[s.Name.Job] = append(runs[s.Name.Job], s)
	}
	loads := w.loads(until)
	var found []idle
	for _, j := range jobs {
		if longest := w.longestIdle(j, runs[job.ID(j.id)], tasks, loads); longest.until.Sub(longest.from) >= idleAtMost {
			found = append(found, longest)
		}
	}
	sort.Slice(found, func(a, b int) bool {
		return found[a].until.Sub(found[a].from) > found[b].until.Sub(found[b].from)
	})
	return found
}

// longestIdle returns the longest such span of a job.
func (w *world) longestIdle(j *sentJob, runs []standin.Span, tasks int, loads []load) (longest idle) {
	var current idle
	for i := w.look(j.answered); i < len(loads); i++ {
		at := w.started.Add(time.Duration(i) * looksEvery)
		running, left := 0, tasks
		done := map[job.TaskName]bool{}
		for _, s := range runs {
			switch {
			case s.Started.After(at):
			case s.End == 0 || s.Ended.After(at):
				running++
			case s.End == gate.EndDone && !done[s.Name.TaskName]:
				done[s.Name.TaskName] = true
				left--
			}
		}
		if left == 0 {
			break
		}
		need, l := left*usualCPU, loads[i]
		if running > 0 || 2*l.used >= l.capacity || l.capacity-l.used < 2*need {
			current = idle{}
			continue
		}
		share := float64(l.used) / float64(l.capacity)
		if current.from.IsZero() {
			current = idle{id: j.id, from: at}
		}
		current.until, current.left, current.most = at, left, max(current.most, share)
		if current.until.Sub(current.from) > longest.until.Sub(longest.from) {
			longest = current
		}
	}
	return longest
}

// judgeLost asks for the accepted jobs, of one step, and says whether LOST was broken.
func (w *world) judgeLost(t *traffic, tasks int) error {
	now := time.Now()
	accepted := t.accepted(w.started, now)
	w.logf("%d accepted jobs asked for %v after the traffic: %v", len(accepted), finish, w.ask(accepted))
	lost := w.idleJobs(accepted, tasks, now)
	for i, x := range lost {
		if i == 10 {
			w.logf("and %d more", len(lost)-i)
			break
		}
		w.logf("LOST: job %s had nothing running from %.1f s to %.1f s with %d tasks left; at most %.2f of the capacity was in use",
			x.id, x.from.Sub(w.started).Seconds(), x.until.Sub(w.started).Seconds(), x.left, x.most)
	}
	if len(lost) > 0 {
		return fmt.Errorf("%w: LOST: %d of %d accepted jobs had nothing running for 3 s or more although they could", errBroken, len(lost), len(accepted))
	}
	return nil
}
