package owner

import (
	"hash/fnv"
	"maps"
	"strconv"
	"time"

	"rackspur/job"
	"rackspur/rowstore"
)

type taskPhase int

const (
	// taskBlocked: steps that the task depends on are not done.
	taskBlocked taskPhase = iota
	taskWaiting
	// taskPlaced: sent to a gate.
	taskPlaced
	taskRunning
	taskDone
)

// task is a task of a live job.
type task struct {
	job   *liveJob
	index int
	name  job.TaskName
	step  *job.Step

	phase taskPhase
	// run is the number of the newest run, FirstRun-1 before the first.
	run  int
	gate string
	// since is when the phase began.
	since      Time
	checkpoint string
	// avoid are the gates on which a run has failed or made too little progress.
	avoid map[string]bool
	// Until fullUntil the task is not sent to gates with a full queue; fullPause is the
	// length of the last such pause.
	fullUntil Time
	fullPause time.Duration
	// moves counts how often the task was moved to another gate.
	moves int
	// leavingRun is the run that was stopped because its target leaves; 0 for none.
	leavingRun int

	// held is set while the task waits for a faster target.
	held bool
	// position is the index in the queue of waiting tasks, -1 if the task is not in it.
	position int
	order    uint64
	// newest is the highest run number that gates reported while the job was adopted.
	newest int
	// silentSince is when the newest presumed crash was reported to this owner.
	silentSince Time
	// unresolved is set while the ends of earlier runs of a durable job's task may be unknown: one
	// was given up, or a former owner may have started some.
	unresolved bool
}

type jobPhase int

const (
	// jobInserting: the row is not known to be stored yet.
	jobInserting jobPhase = iota
	jobLive
	// jobAdopting: the job is being adopted; gates are asked for its runs.
	jobAdopting
	// jobEnding: the final write is in progress.
	jobEnding
)

// endRef is an end of a run that is to be confirmed to its gate.
type endRef struct {
	gate string
	name job.RunName
}

// liveJob is a job of this owner that has not ended.
type liveJob struct {
	record  job.Record
	version uint64
	phase   jobPhase
	tasks   []*task
	left    int
	// started is set once a run of the job is known to have started.
	started bool
	arrived Time
	// objective is when the job should have ended; veryLateAt is when its result has
	// lost its value.
	objective  Time
	veryLateAt Time
	// deadline is when the last caller of a best-effort job leaves.
	deadline Time
	// startBy is when the last tasks should start for the job to end in time.
	startBy Time
	// late is set while the job can't end in time and others go first; see isLate.
	late bool
	// urgency orders the tasks of jobs; lower comes first.
	urgency Time
	// share is the job's part in the shares of the capacity.
	share      jobShare
	insert     *rowstore.Write
	submitters []func(SubmitResult)
	// cancelRequested is set if the job is to be cancelled once it is inserted.
	cancelRequested bool
	// callers wait for the end of a best-effort job.
	callers []caller
	// placed is set once a task was sent to a gate, so that it may have started.
	placed bool
	// mayHaveRun is set once a run of the job has started, or may have.
	mayHaveRun bool

	// dirtySince is the time of the first change to the record since its last write.
	dirtySince Time
	dirty      bool
	writing    bool
	// unwritten are ends in the record that are in no write yet, inWrite those in the
	// current write.
	unwritten []endRef
	inWrite   []endRef
	// givenUpWritten is job.Ends.GivenUp of the stored record, givenUpInWrite that of the current
	// write.
	givenUpWritten map[int]int
	givenUpInWrite map[int]int
	// final is the state in which the job is to end.
	final   job.State
	waiters []chan struct{}
	// reported are the runs that gates have reported while the job is being adopted.
	reported []reportedRun
	// slowGates are the gates on which runs of the job were behind.
	slowGates []string
	// stallLogged is set once a stalled task of the job was logged.
	stallLogged bool
	// closed is set if a best-effort job may not start any more tasks, because its
	// callers may have submitted it elsewhere.
	closed bool
	// expectedLate is set once a task was placed where it is expected to end after the
	// objective, so that the job's other tasks need not be fast.
	expectedLate bool
	// paths are the lengths of the longest chains from each step on; nil until needed.
	paths []time.Duration
	// slowLogged is set once the job was logged as slow.
	slowLogged bool
	// firstOrder is the position of the job's first attempt in the order of arrival; returned
	// is set if that attempt was refused.
	firstOrder uint64
	returned   bool
	// refusal is what callers were told when the job was refused.
	refusal Refusal
}

// addJob adds a live job; one with the same id that is being inserted is replaced.
func (o *Owner) addJob(j *liveJob) {
	if known := o.jobs[j.record.ID]; known != nil {
		o.tasks -= len(known.tasks)
	}
	o.jobs[j.record.ID] = j
	o.tasks += len(j.tasks)
}

// removeJob removes a live job.
func (o *Owner) removeJob(j *liveJob) {
	if o.jobs[j.record.ID] != j {
		return
	}
	delete(o.jobs, j.record.ID)
	o.tasks -= len(j.tasks)
}

// tooManyTasks reports whether there is no memory for the tasks of a further job.
func (o *Owner) tooManyTasks(s *job.Submission) bool {
	return o.options.MaxTasks > 0 && o.tasks > 0 && o.tasks+s.TaskCount() > o.options.MaxTasks
}

// endedJob is what is remembered of a job that has ended.
type endedJob struct {
	state      job.State
	queue      string
	bestEffort bool
	at         Time
	// final says which runs count; nil once that is forgotten.
	final *job.Final
}

func newLiveJob(r job.Record, now Time) *liveJob {
	j := &liveJob{record: r, arrived: now, givenUpWritten: maps.Clone(r.GivenUp)}
	estimate := j.criticalPath()
	objective := time.Duration(float64(estimate)*max(1, r.Queue.Stretch)) + time.Duration(r.Queue.TargetLatencyMS)*time.Millisecond
	j.objective = now + objective
	j.veryLateAt = now + 3*objective
	index := 0
	for s := range j.record.Steps {
		step := &j.record.Steps[s]
		for i := range step.Count {
			t := &task{job: j, index: index, step: step, position: -1, name: job.TaskName{Job: r.ID, Step: s, Index: i}, silentSince: now}
			t.run = job.FirstRun(r.Generation) - 1
			t.unresolved = !r.BestEffort && r.Generation > 0
			if r.IsDone(index) {
				t.phase = taskDone
				t.run = r.Done[index]
			} else {
				j.left++
			}
			j.tasks = append(j.tasks, t)
			index++
		}
	}
	return j
}

// criticalPath returns the length of the longest chain of steps by their estimates.
func (j *liveJob) criticalPath() time.Duration {
	longest := make([]time.Duration, len(j.record.Steps))
	var total time.Duration
	for i := range j.record.Steps {
		s := &j.record.Steps[i]
		for _, a := range s.After {
			longest[i] = max(longest[i], longest[a])
		}
		longest[i] += time.Duration(s.EstimateMS) * time.Millisecond
		total = max(total, longest[i])
	}
	return total
}

// find returns a task by name, or nil.
func (j *liveJob) find(name job.TaskName) *task {
	if name.JobRun != 0 || name.Step < 0 || name.Step >= len(j.record.Steps) {
		return nil
	}
	first := 0
	for s := range name.Step {
		first += j.record.Steps[s].Count
	}
	if name.Index < 0 || name.Index >= j.record.Steps[name.Step].Count {
		return nil
	}
	return j.tasks[first+name.Index]
}

// stepDone reports whether all tasks of a step are done.
func (j *liveJob) stepDone(step int) bool {
	for _, t := range j.tasks {
		if t.name.Step == step && t.phase != taskDone {
			return false
		}
	}
	return true
}

// ready reports whether the steps that a task depends on are done.
func (t *task) ready() bool {
	for _, a := range t.step.After {
		if !t.job.stepDone(a) {
			return false
		}
	}
	return true
}

// nextRun returns the number of the next run.
func (t *task) nextRun() int {
	r := &t.job.record
	return max(t.run, r.GivenUp[t.index], job.FirstRun(r.Generation)-1) + 1
}

func (t *task) runName() job.RunName {
	return job.RunName{TaskName: t.name, Run: t.run}
}

func (j *liveJob) state() job.State {
	if j.started || j.record.Generation > 0 {
		// A former owner may have started runs that nobody reports any more.
		return job.StateRunning
	}
	return job.StateQueued
}

func (j *liveJob) notifyWaiters() {
	for _, w := range j.waiters {
		close(w)
	}
	j.waiters = nil
}

// part returns the partition of the store for a job's rows.
func (o *Owner) part(id job.ID) int { return PartOf(id, o.options.Parts) }

// PartOf returns the number of the partition for a job's rows, out of parts.
func PartOf(id job.ID, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(parts))
}

// PartName returns the name of a partition in the store.
func PartName(part int) string { return "p" + strconv.Itoa(part) }

func (o *Owner) key(table string, id job.ID) rowstore.Key {
	return RowKey(table, id, o.options.Parts)
}

// RowKey returns the key of a job's row in a table.
func RowKey(table string, id job.ID, parts int) rowstore.Key {
	return rowstore.Key{Table: table, Part: PartName(PartOf(id, parts)), Name: string(id)}
}

// stepCounts returns the number of tasks of each step.
func (j *liveJob) stepCounts() []int {
	counts := make([]int, len(j.record.Steps))
	for i := range j.record.Steps {
		counts[i] = j.record.Steps[i].Count
	}
	return counts
}
