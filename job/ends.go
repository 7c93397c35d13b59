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
	// Crashes maps tasks to the crashes of their targets.
	Crashes map[int][]Crash `json:"crashes,omitempty"`
}

// CrashKind says what is known of a crash.
type CrashKind string

// The kinds of crashes.
const (
	// CrashPresumed: the target is silent.
	CrashPresumed CrashKind = "presumed"
	// CrashSeen: the target's process has ended.
	CrashSeen CrashKind = "seen"
	// CrashAlone is CrashSeen with no other run active on the target.
	CrashAlone CrashKind = "alone"
	// CrashPossible: nothing is known of the run's end, nor of its target's.
	CrashPossible CrashKind = "possible"
)

// Crash is the crash of a target under a run.
type Crash struct {
	Run  int       `json:"run"`
	Kind CrashKind `json:"kind"`
}

// AddCrash records the crash of a target under a run of a task. A crash that was only presumed or
// possible is replaced by one that was seen. It returns false if that is recorded already.
func (e *Ends) AddCrash(task, run int, kind CrashKind) bool {
	for i, known := range e.Crashes[task] {
		if known.Run != run {
			continue
		}
		if known.Kind != CrashPresumed && !kind.Seen() || known.Kind.Seen() || known.Kind == kind {
			return false
		}
		e.Crashes[task][i].Kind = kind
		return true
	}
	if e.Crashes == nil {
		e.Crashes = map[int][]Crash{}
	}
	e.Crashes[task] = append(e.Crashes[task], Crash{Run: run, Kind: kind})
	return true
}

// Seen reports whether the target has certainly crashed.
func (k CrashKind) Seen() bool { return k == CrashSeen || k == CrashAlone }

// RemoveCrash removes a crash that was not seen. It returns false if there is none for the run.
func (e *Ends) RemoveCrash(task, run int) bool {
	all := e.Crashes[task]
	for i, known := range all {
		if known.Run == run && !known.Kind.Seen() {
			e.Crashes[task] = slices.Delete(all, i, i+1)
			return true
		}
	}
	return false
}

// CountCrashes returns the number of crashes under a task of some kinds.
func (e *Ends) CountCrashes(task int, kinds ...CrashKind) int {
	n := 0
	for _, c := range e.Crashes[task] {
		if slices.Contains(kinds, c.Kind) {
			n++
		}
	}
	return n
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
