package main

import (
	"fmt"
	"sort"
	"time"
)

func init() { cases["dag"] = caseDag }

// caseDag: large jobs come at once, each of whose steps names all earlier steps as those to be done
// before. Without the disruption each names only the one before it, which is the same order.
func caseDag(r *record, trouble bool) (bool, error) {
	const jobs, steps, count, executors, cpu, capacity = 4, 100, 20, 4, 100, 16000
	const task = 100 * time.Millisecond
	d, err := newDeployment(r, options{entries: 2, agents: executors, capacity: capacity, priority: 1, workOf: func(_, _ string) work {
		return work{lasts: task, end: "done", cpu: cpu}
	}})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var all []step
	for i := range steps {
		s := step{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": task.Milliseconds()}
		if i > 0 {
			after := []int{i - 1}
			for j := i - 2; trouble && j >= 0; j-- {
				after = append([]int{j}, after...)
			}
			s["afterRev"] = after
		}
		all = append(all, s)
	}
	var ids []string
	for range jobs {
		id := newID()
		if !d.submitUntilTaken(d.entries[0], id, "large", 5*time.Second, all...) {
			return false, fmt.Errorf("%w: a large job was not accepted", errCannotRun)
		}
		ids = append(ids, id)
	}
	ended := time.Now()
	r.say("client %d jobs of %d steps with %d tasks each are accepted; no more jobs are sent", jobs, steps, count)
	time.Sleep(finish)
	asked := time.Now()
	unanswered, completed := 0, 0
	for time.Since(asked) < 40*time.Second && completed < jobs {
		completed = 0
		for _, id := range ids {
			switch a := d.state(d.entries[0], id); {
			case a.status == 0:
				unanswered++
			case a.state() == "completed":
				completed++
			}
		}
		time.Sleep(time.Second)
	}
	r.say("client from %s after the last job was sent on, %d questions for the state of a job got no answer within 2 s; %d of %d jobs are completed", finish, unanswered, completed, jobs)
	longest := time.Duration(0)
	for _, id := range ids {
		gap, at := longestGap(d.starts(id), ended.Add(finish), steps*count)
		r.say("client job %s had nothing running for %s, from %s after the last job was sent on", id, gap.Round(10*time.Millisecond), at.Sub(ended).Round(10*time.Millisecond))
		longest = max(longest, gap)
	}
	return longest < held && unanswered == 0, nil
}

// longestGap returns the longest time after a moment in which no task of a job ran although not all
// were done, and when it began. All steps are alike, so a task's turn has come whenever none runs.
func longestGap(starts []startSeen, from time.Time, tasks int) (longest time.Duration, at time.Time) {
	sort.Slice(starts, func(i, j int) bool { return starts[i].at.Before(starts[j].at) })
	idle, done := from, 0
	note := func(until time.Time) {
		if gap := until.Sub(idle); gap > longest {
			longest, at = gap, idle
		}
	}
	for _, s := range starts {
		if s.at.After(idle) {
			note(s.at)
		}
		if s.end == "done" {
			done++
		}
		end := s.endedAt
		if s.end == "" {
			end = time.Now()
		}
		if end.After(idle) {
			idle = end
		}
	}
	if done < tasks {
		note(time.Now())
	}
	return longest, at
}
