package owner

import (
	"hash/fnv"
	"strconv"
	"time"

	"rackspur/job"
	"rackspur/rowstore"
)

type taskPhase int

const (
	// taskBlocked: steps that must be done before are not.
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
	// run is the number of the newest run, 0 before the first.
	run  int
	gate string
	// since is when the phase began.
	since      Time
	checkpoint string
	// avoid are the gates on which a run has failed or stood still.
	avoid map[string]bool
	// fullUntil is until when the task goes to no gate whose queue is full, fullPause the time
	// that it waits for that after the next one has given it back.
	fullUntil Time
	fullPause time.Duration
	// moves counts how often the task was taken off an executor.
	moves int
	// position in the queue of waiting tasks, -1 if it is not in it.
	position int
	order    uint64
	// newest is the newest run that gates told of while the job was taken over.
	newest int
}

type jobPhase int

const (
	// jobInserting: the row is not known to be there yet.
	jobInserting jobPhase = iota
	jobLive
	// jobAdopting: the job is taken over; its runs are being looked for.
	jobAdopting
	// jobEnding: the final write is on its way.
	jobEnding
)

// endRef is an end whose effect waits to be durable.
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
	// begun says that a run of the job is known to have started.
	begun   bool
	arrived Time
	// objective is when the job should have ended; lateBy when its worth is gone.
	objective Time
	lateBy    Time
	// deadline is when the last caller of a job that is not kept leaves.
	deadline Time
	// startBy is when the last tasks should start for the job to be in time.
	startBy Time
	// late is set once the job can't be in time any more.
	late bool
	// urgency orders tasks: the lower the earlier.
	urgency  Time
	insert   *rowstore.Write
	accepted []func(SubmitResult)
	// callers wait for the end of a job that is not kept.
	callers []caller
	// placed says that a task was sent to a gate, so that it may have started.
	placed bool
	// tried says that a run of it has started, or may have.
	tried bool

	// dirtySince is when the record changed first since its last write.
	dirtySince Time
	dirty      bool
	writing    bool
	// unwritten are ends in the record but not in a write yet, inWrite those in
	// the write that is on its way.
	unwritten []endRef
	inWrite   []endRef
	// final is the state that the job is to end in.
	final   job.State
	waiters []chan struct{}
	// found are runs that gates have told of while the job is being taken over.
	found []foundRun
	// slowGates are the gates on which runs of the job were behind.
	slowGates []string
	// stallTold says that a line has told of a task that stands still.
	stallTold bool
	// closed says that nothing more of a job that is not kept may start: its callers may
	// have handed it in elsewhere.
	closed bool
	// longTold says that a line has told that the job takes long.
	longTold bool
}

// endedJob is what is remembered of a job that has ended.
type endedJob struct {
	state      job.State
	queue      string
	bestEffort bool
	at         Time
	// runs has the run that counted for each task by its index.
	runs map[job.TaskName]int
}

func newLiveJob(r job.Record, now Time) *liveJob {
	j := &liveJob{record: r, arrived: now}
	estimate := j.chain()
	objective := time.Duration(float64(estimate)*max(1, r.Queue.Stretch)) + time.Duration(r.Queue.TargetLatencyMS)*time.Millisecond
	j.objective = now + objective
	j.lateBy = now + 3*objective
	index := 0
	for s := range j.record.Steps {
		step := &j.record.Steps[s]
		for i := range step.Count {
			t := &task{job: j, index: index, step: step, position: -1, name: job.TaskName{Job: r.ID, Step: s, Index: i}}
			t.run = job.FirstRun(r.Generation) - 1
			if r.IsDone(index) {
				t.phase = taskDone
			} else {
				j.left++
			}
			j.tasks = append(j.tasks, t)
			index++
		}
	}
	return j
}

// chain returns the longest chain of estimated run times.
func (j *liveJob) chain() time.Duration {
	longest := make([]time.Duration, len(j.record.Steps))
	var most time.Duration
	for i := range j.record.Steps {
		s := &j.record.Steps[i]
		for _, a := range s.After {
			longest[i] = max(longest[i], longest[a])
		}
		longest[i] += time.Duration(s.EstimateMS) * time.Millisecond
		most = max(most, longest[i])
	}
	return most
}

// find returns a task by name, or nil.
func (j *liveJob) find(name job.TaskName) *task {
	if name.Time != 0 || name.Step < 0 || name.Step >= len(j.record.Steps) {
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

// stepDone says whether all tasks of a step are done.
func (j *liveJob) stepDone(step int) bool {
	for _, t := range j.tasks {
		if t.name.Step == step && t.phase != taskDone {
			return false
		}
	}
	return true
}

// ready says whether the steps before a task's are done.
func (t *task) ready() bool {
	for _, a := range t.step.After {
		if !t.job.stepDone(a) {
			return false
		}
	}
	return true
}

func (t *task) runName() job.RunName {
	return job.RunName{TaskName: t.name, Run: t.run}
}

func (j *liveJob) state() job.State {
	if j.begun || j.record.Generation > 0 {
		// A former owner may have started runs of which nothing is left.
		return job.StateRunning
	}
	return job.StateQueued
}

func (j *liveJob) tellWaiters() {
	for _, w := range j.waiters {
		close(w)
	}
	j.waiters = nil
}

// part returns the part of the store that a job's rows stand in.
func (o *Owner) part(id job.ID) int { return PartOf(id, o.options.Parts) }

// PartOf returns the number of the part, of so many, that a job's rows stand in.
func PartOf(id job.ID, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(parts))
}

// PartName is the name of a part in the store.
func PartName(part int) string { return "p" + strconv.Itoa(part) }

func (o *Owner) key(table string, id job.ID) rowstore.Key {
	return RowKey(table, id, o.options.Parts)
}

// RowKey is the key of a job's row in a table.
func RowKey(table string, id job.ID, parts int) rowstore.Key {
	return rowstore.Key{Table: table, Part: PartName(PartOf(id, parts)), Name: string(id)}
}

// stepCounts returns the numbers of tasks of the steps.
func (j *liveJob) stepCounts() []int {
	counts := make([]int, len(j.record.Steps))
	for i := range j.record.Steps {
		counts[i] = j.record.Steps[i].Count
	}
	return counts
}
