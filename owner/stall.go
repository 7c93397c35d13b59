package owner

import (
	"fmt"
	"time"
)

// stallAfter is how long a task may stay in a phase before it is logged as stalled.
const stallAfter = 4 * time.Second

// logStalled counts and logs each durable job, once, if a task has neither run nor ended
// for stallAfter. For best-effort jobs gates report only the ends of runs.
func (o *Owner) logStalled(now Time) {
	for _, j := range o.jobs {
		if j.stallLogged || j.record.BestEffort || j.phase == jobInserting || now-j.arrived < stallAfter {
			continue
		}
		for _, t := range j.tasks {
			if t.phase == taskRunning || t.phase == taskDone || now-t.since < stallAfter {
				continue
			}
			j.stallLogged = true
			o.stats.Stalled++
			o.log.Info("Task is stalled.", "job", j.record.ID, "task", t.index, "phase", t.phase.String(), "run", t.run,
				"gate", t.gate, "since", (now - t.since).String(), "jobPhase", int(j.phase), "waiting", o.waiting.len(),
				"usable", len(o.usableGates()), "avoided", len(t.avoid), "queued", t.position >= 0, "late", j.late)
			break
		}
	}
}

// String implements fmt.Stringer.String.
func (p taskPhase) String() string {
	names := [...]string{"blocked", "waiting", "placed", "running", "done"}
	if int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprint(int(p))
}
