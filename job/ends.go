package job

import "slices"

// Ends says which runs of a job's tasks count. Tasks are numbered over all steps.
type Ends struct {
	// Done maps each done task to the run that completed it.
	Done map[int]int `json:"done,omitempty"`
	// Failed maps tasks to their failed runs.
	Failed map[int][]int `json:"failed,omitempty"`
	// GivenUp maps tasks to the newest run that was given up before its end was known. That run
	// and those before it may have been replaced, so their results don't count.
	GivenUp map[int]int `json:"given_up,omitempty"`
}

// Counts reports whether the result of a run counts or, if the job has ended, may count.
func (e *Ends) Counts(task, run int) bool {
	if slices.Contains(e.Failed[task], run) {
		return true
	}
	if by, done := e.Done[task]; done {
		return run == by
	}
	return run > e.GivenUp[task]
}

// HasEnds reports whether the end of any run is known.
func (e *Ends) HasEnds() bool {
	return len(e.Done) > 0 || len(e.Failed) > 0
}

// IsDone reports whether a task is done.
func (e *Ends) IsDone(task int) bool {
	_, ok := e.Done[task]
	return ok
}

// SetDone records the run that completed a task.
func (e *Ends) SetDone(task, run int) {
	if e.Done == nil {
		e.Done = map[int]int{}
	}
	e.Done[task] = run
	delete(e.GivenUp, task)
}

// AddFailure records a failed run of a task. It does nothing if the run is recorded
// already.
func (e *Ends) AddFailure(task, run int) {
	if slices.Contains(e.Failed[task], run) {
		return
	}
	if e.Failed == nil {
		e.Failed = map[int][]int{}
	}
	e.Failed[task] = append(e.Failed[task], run)
}

// GiveUp records that the runs of a task up to a number may be replaced. It returns false if
// that is recorded already.
func (e *Ends) GiveUp(task, run int) bool {
	if run <= e.GivenUp[task] {
		return false
	}
	if e.GivenUp == nil {
		e.GivenUp = map[int]int{}
	}
	e.GivenUp[task] = run
	return true
}
