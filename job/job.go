// Package job defines jobs: their steps and tasks as callers submit them, the names of
// tasks and runs, and the records that the store keeps.
package job

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrInvalid reports a submission that can't be run.
	ErrInvalid = eris.New("job: invalid submission")
	// ErrRecord reports a stored record that can't be read.
	ErrRecord = eris.New("job: unreadable record")
)

// Limits on a submission.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 100
	MaxTasks     = 2000
)

// ID is the caller's name for a job.
type ID string

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state never changes again.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// TaskName identifies a task by its step, its index within the step, and the number of
// the job's run.
type TaskName struct {
	Job    ID
	JobRun int
	Step   int
	Index  int
}

// RunName identifies a run of a task. The numbers of a task's runs increase from 1.
type RunName struct {
	TaskName
	Run int
}

// Resources are what a task needs or a target has. CPU is in thousandths of a core,
// Memory in MB.
type Resources struct {
	CPU    int `json:"cpu,omitempty"`
	Memory int `json:"memory,omitempty"`
	GPU    int `json:"gpu,omitempty"`
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Minus returns the difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Step is a set of identical tasks.
type Step struct {
	Count int `json:"count"`
	// Need is what each task needs.
	Need Resources `json:"need"`
	// EstimateMS is the caller's rough estimate of a task's run time.
	EstimateMS int `json:"estimate_ms,omitempty"`
	// After are the indexes of earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Label is a label that the target must have.
	Label string `json:"label,omitempty"`
	// Rack is the preferred rack, which holds the data.
	Rack string `json:"rack,omitempty"`
	// Spread is the maximum number of the step's tasks on one target; 0 for no limit.
	Spread int `json:"spread,omitempty"`
	// Checkpointing is set if tasks can resume from where they were stopped.
	Checkpointing bool `json:"checkpointing,omitempty"`
}

// Queue is the configuration of a queue, copied into each of its jobs.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Priority orders the queues; 0 is the highest priority.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of failed runs of a task at which its job fails.
	Attempts int `json:"attempts"`
	// A job's objective is Stretch times its critical path plus TargetLatencyMS.
	Stretch         float64 `json:"stretch,omitempty"`
	TargetLatencyMS int     `json:"target_latency_ms,omitempty"`
	TimeoutMS       int     `json:"timeout_ms,omitempty"`
}

// Submission is a job as its caller submits it.
type Submission struct {
	ID    ID     `json:"id"`
	Queue Queue  `json:"queue"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// BestEffort jobs are not stored: their caller waits for the end.
	BestEffort bool `json:"best_effort,omitempty"`
}

// Check returns ErrInvalid with the reason if the submission can't be run.
func (s *Submission) Check() error {
	if len(s.Spec) > MaxSpecBytes {
		return eris.Wrapf(ErrInvalid, "spec of %d bytes, at most %d", len(s.Spec), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return eris.Wrapf(ErrInvalid, "%d steps, want 1 to %d", len(s.Steps), MaxSteps)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return eris.Wrapf(ErrInvalid, "%d tasks, at most %d", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) check(i int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return eris.Wrapf(ErrInvalid, "step %d: %d tasks, want 1 to %d", i, s.Count, MaxTasks)
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 || s.EstimateMS < 0 || s.Spread < 0 {
		return eris.Wrapf(ErrInvalid, "step %d: a negative number", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return eris.Wrapf(ErrInvalid, "step %d: runs after step %d, which is not earlier", i, a)
		}
	}
	return nil
}

// TaskCount returns the number of tasks of all steps.
func (s *Submission) TaskCount() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// Record is what the store keeps of a job that has not ended.
type Record struct {
	Submission
	// Owner is the incarnation that gives orders for the job.
	Owner string `json:"owner"`
	// Generation counts the owners and sets the range of the run numbers.
	Generation int `json:"generation"`
	// Sequence counts the writes, so that no two values are equal.
	Sequence uint64 `json:"sequence"`
	// AcceptedMS is the wall-clock time of acceptance in milliseconds since 1970. It is
	// informational only.
	AcceptedMS int64 `json:"accepted_ms"`
	Ends
}

// runsPerGeneration is the size of the range of run numbers for each owner of a job.
const runsPerGeneration = 1000

// FirstRun returns the lowest run number of an owner's generation.
func FirstRun(generation int) int { return generation*runsPerGeneration + 1 }

// Encode returns the stored form.
func (r *Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// A record holds only types that can be encoded.
		panic(fmt.Sprintf("job: %v", err))
	}
	return b
}

// DecodeRecord decodes and checks a stored record.
func DecodeRecord(b []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(b, r); err != nil {
		return nil, eris.Wrap(ErrRecord, err.Error())
	}
	if err := r.Check(); err != nil {
		return nil, eris.Wrap(ErrRecord, err.Error())
	}
	if err := r.checkEnds(); err != nil {
		return nil, err
	}
	return r, nil
}

// maxGeneration bounds the number of owners that a job may have had.
const maxGeneration = 1 << 20

// checkEnds checks the generation and the runs of a record.
func (r *Record) checkEnds() error {
	if r.Generation < 0 || r.Generation > maxGeneration {
		return eris.Wrapf(ErrRecord, "generation %d", r.Generation)
	}
	tasks := r.TaskCount()
	for task, run := range r.Done {
		if task < 0 || task >= tasks || run < 1 {
			return eris.Wrapf(ErrRecord, "run %d of task %d of %d is done", run, task, tasks)
		}
	}
	for task := range r.Failed {
		if task < 0 || task >= tasks {
			return eris.Wrapf(ErrRecord, "a run of task %d of %d has failed", task, tasks)
		}
	}
	for task := range r.Crashes {
		if task < 0 || task >= tasks {
			return eris.Wrapf(ErrRecord, "a target has crashed under task %d of %d", task, tasks)
		}
	}
	for task, run := range r.GivenUp {
		if task < 0 || task >= tasks || run < 1 {
			return eris.Wrapf(ErrRecord, "run %d of task %d of %d was given up", run, task, tasks)
		}
	}
	return nil
}

// Final is what the store keeps of a job that has ended.
type Final struct {
	Queue string `json:"queue"`
	State State  `json:"state"`
	// EndedMS is the wall-clock time of the end in milliseconds since 1970.
	EndedMS int64 `json:"ended_ms"`
	// Ends are copied from the record.
	Ends
	// Steps are the numbers of tasks of the steps.
	Steps []int `json:"steps,omitempty"`
	// Owner and Sequence ensure that no two values are equal.
	Owner    string `json:"owner"`
	Sequence uint64 `json:"sequence"`
	// NeverAccepted marks a job that was cancelled before it was accepted, if it ever was
	// submitted: the row keeps it from being accepted.
	NeverAccepted bool `json:"never_accepted,omitempty"`
}

// Encode returns the stored form.
func (f *Final) Encode() []byte {
	b, err := json.Marshal(f)
	if err != nil {
		panic(fmt.Sprintf("job: %v", err))
	}
	return b
}

// DecodeFinal decodes and checks a stored final record.
func DecodeFinal(b []byte) (*Final, error) {
	f := new(Final)
	if err := json.Unmarshal(b, f); err != nil {
		return nil, eris.Wrap(ErrRecord, err.Error())
	}
	if !f.State.Final() {
		return nil, eris.Wrapf(ErrRecord, "state %q is not final", f.State)
	}
	return f, nil
}

// TaskNumber returns the number of a task counted over all steps.
func (f *Final) TaskNumber(name TaskName) int {
	n := name.Index
	for s := 0; s < name.Step && s < len(f.Steps); s++ {
		n += f.Steps[s]
	}
	return n
}

// Expired reports whether a final record may be removed.
func (f *Final) Expired(now time.Time, keep time.Duration) bool {
	return now.UnixMilli()-f.EndedMS > keep.Milliseconds()
}
