package standin

import (
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// executorRun is a run that an executor carries out.
type executorRun struct {
	name job.RunName
	need job.Resources
	// work is the run time at speed 1. done is the part of it that was completed at since, from
	// when on the run proceeds at speed.
	work, done   time.Duration
	since        time.Time
	speed        float64
	end          gate.EndKind
	journalIndex int
}

// doneAt returns the work that is completed at a time.
func (r *executorRun) doneAt(now time.Time) time.Duration {
	return r.done + time.Duration(float64(now.Sub(r.since))*r.speed)
}

// due returns the time at which the work is completed.
func (r *executorRun) due() time.Time {
	return r.since.Add(time.Duration(float64(r.work-r.done) / r.speed))
}

// endTime returns the time at which a run ends if the lease expires at lapse.
func (r *executorRun) endTime(lapse time.Time) time.Time {
	if end := r.due(); end.Before(lapse) {
		return end
	}
	return lapse
}

// percent returns the progress of a run.
func (r *executorRun) percent(now time.Time) int {
	return min(99, int(100*r.doneAt(now)/max(r.work, 1)))
}

// stop ends a run after StopTime, unless it ends sooner.
func (e *Executor) stop(now time.Time, r *executorRun) {
	if e.StopTime == 0 {
		e.finish(now, r, gate.EndStopped)
		return
	}
	if r.due().Sub(now) <= e.StopTime {
		return
	}
	r.work, r.done, r.since, r.speed, r.end = e.StopTime, 0, now, 1, gate.EndStopped
	e.notifyChange()
}

// finish lists the end of a run.
func (e *Executor) finish(now time.Time, r *executorRun, kind gate.EndKind) {
	delete(e.running, r.name)
	e.highestRun[r.name.TaskName] = max(e.highestRun[r.name.TaskName], r.name.Run)
	number := e.newestEnd() + 1
	e.ends = append(e.ends, gate.Ended{Number: number, Name: r.name, Kind: kind})
	e.journal[r.journalIndex].End = kind
	e.journal[r.journalIndex].Ended = now
	e.journal[r.journalIndex].Number = number
	e.reportRun(r.journalIndex)
	e.notifyChange()
}

// reportRun reports a run that has started or changed. The lock must be held.
func (e *Executor) reportRun(journalIndex int) {
	if e.OnRun != nil {
		e.OnRun(e.journal[journalIndex])
	}
}
