package dispatch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"rackspur/id"
	"rackspur/wire"
)

// Submission is a job as it reaches its home.
type Submission struct {
	ID     id.ID
	Member string
	// Weight is the member's share in the queue, 1 or more.
	Weight int
	Kind   string
	Tasks  []*wire.Task
	// ExpectMS is the usual run time of a task of this kind, in milliseconds.
	ExpectMS uint32
	// Lease is the longest run time of a task.
	Lease Time
	// Deadline is the time by which the whole answer is due, from now.
	Deadline Time
	// Candidates are the targets that the entry box proposes.
	Candidates []*wire.Candidate
	// Version is the configuration version that the job is judged under.
	Version uint64
	// Refusal is set if the entry box refuses a submission that is new.
	Refusal *Refusal
	// Policy makes the decisions for this job.
	Policy Policy
	// Trace is the W3C trace parent of the home's span.
	Trace string
}

// Refusal says why a submission does not run and when to come back.
type Refusal struct {
	Reason       string
	Detail       string
	RetryAfterMS uint32
}

// fingerprint tells different jobs under one id apart.
func (s *Submission) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.Kind)
	var size [8]byte
	for _, t := range s.Tasks {
		binary.BigEndian.PutUint64(size[:], uint64(len(t.GetPayload())))
		_, _ = d.Write(size[:])
		_, _ = d.Write(t.GetPayload())
	}
	return d.Sum64()
}

// expectMS returns the expected run time of a task in milliseconds.
func (s *Submission) expectMS(t *wire.Task) uint32 {
	if t.GetExpectMs() > 0 {
		return t.GetExpectMs()
	}
	return s.ExpectMS
}

// taskState is where a task stands.
type taskState uint8

const (
	// taskWaiting: in the queue.
	taskWaiting taskState = iota
	// taskAssigned: given to a peer whose session is not open yet; not sent.
	taskAssigned
	// taskSent: sent, and started as far as anybody knows.
	taskSent
	taskDone
	taskFailed
)

// task is one task of a job at its home.
type task struct {
	job      *job
	index    uint32
	state    taskState
	refusals int
	peer     *peer
	result   *wire.Result
}

// job is a submission in progress at its home.
type job struct {
	sub     *Submission
	entry   *entry
	tasks   []task
	waiting []uint32
	done    int
	// sent counts the tasks sent without a result.
	sent     int
	deadline Time
	// wait lists the peers that are asked for slots while tasks wait.
	wait []*peer
	// wanted is the number of slots that each of them is asked for.
	wanted int
	// paused is set while the retry policy holds refused tasks back.
	paused int
}

func newJob(now Time, sub *Submission, e *entry) *job {
	j := &job{sub: sub, entry: e, deadline: now + sub.Deadline}
	j.tasks = make([]task, len(sub.Tasks))
	j.waiting = make([]uint32, len(sub.Tasks))
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: uint32(i)}
		j.waiting[i] = uint32(i)
	}
	return j
}

func (j *job) over() bool {
	return j.entry.reply != nil
}

// started reports whether any task has started, or may have.
func (j *job) started() bool {
	return j.sent > 0 || j.done > 0
}

// wants returns the number of tasks that a slot could start now.
func (j *job) wants() int {
	if j.paused > 0 || j.over() {
		return 0
	}
	return len(j.waiting)
}

func (t *task) key() taskKey {
	return taskKey{submission: t.job.sub.ID.Key(), index: t.index}
}

// results returns one result for each task of the job, in the order of the tasks.
func (j *job) results() []*wire.TaskResult {
	all := make([]*wire.TaskResult, len(j.tasks))
	for i := range j.tasks {
		all[i] = j.tasks[i].outcome()
	}
	return all
}

func (t *task) outcome() *wire.TaskResult {
	r := &wire.TaskResult{Index: t.index}
	if t.peer != nil {
		r.Target = t.peer.target
	}
	switch t.state {
	case taskWaiting, taskAssigned:
		r.Status = wire.TaskStatus_TASK_STATUS_NOT_STARTED
	case taskSent:
		r.Status = wire.TaskStatus_TASK_STATUS_STARTED
	case taskDone:
		r.Status = wire.TaskStatus_TASK_STATUS_DONE
		r.Result = t.result.GetResult()
	case taskFailed:
		r.Status = wire.TaskStatus_TASK_STATUS_FAILED
		r.Error = t.result.GetError()
	}
	return r
}
