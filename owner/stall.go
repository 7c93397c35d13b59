package owner

import (
	"fmt"
	"time"
)

// stallAfter is how long a task may stay in a phase before a line tells why.
const stallAfter = 4 * time.Second

// tellStalled writes a line for each job that is kept and one of whose tasks has
// neither run nor ended for long, once. Of other jobs gates tell ends only.
func (o *Owner) tellStalled(now Time) {
	for _, j := range o.jobs {
		if j.stallTold || j.record.BestEffort || j.phase == jobInserting || now-j.arrived < stallAfter {
			continue
		}
		for _, t := range j.tasks {
			if t.phase == taskRunning || t.phase == taskDone || now-t.since < stallAfter {
				continue
			}
			j.stallTold = true
			o.stats.Stalled++
			o.log.Info("Task stands still.", "job", j.record.ID, "task", t.index, "phase", t.phase.String(), "run", t.run,
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
