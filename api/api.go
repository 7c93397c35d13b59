// Package api holds the messages of the callers' interface: HTTP with JSON
// bodies, and problem details after RFC 9457 for everything but an answer.
package api

import "encoding/json"

// Paths of the callers' interface.
const (
	PathIDs         = "/v1/ids"
	PathSubmissions = "/v1/submissions"
)

// Media types.
const (
	TypeJSON    = "application/json"
	TypeProblem = "application/problem+json"
)

// ProblemPrefix starts the type of every problem; the reason follows.
const ProblemPrefix = "urn:rackspur:problem:"

// Outcome says in one word what became of a submission.
type Outcome string

// The outcomes.
const (
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
	// NotRun means that no task started and none ever will under this id.
	NotRun Outcome = "not-run"
	// Unknown means: ask again with the same id.
	Unknown Outcome = "unknown"
	Running Outcome = "running"
	// Unseen means that no job was sent under the id so far.
	Unseen Outcome = "unseen"
	// Forgotten means that the outcome is no longer known.
	Forgotten Outcome = "forgotten"
)

// TaskStatus says what became of a task.
type TaskStatus string

// The states of a task.
const (
	TaskDone       TaskStatus = "done"
	TaskNotStarted TaskStatus = "not-started"
	TaskFailed     TaskStatus = "failed"
	// TaskStarted means that the task started, or may have; nothing more is known.
	TaskStarted TaskStatus = "started"
)

// Task is one task of a job.
type Task struct {
	// Payload is given to the target as it is.
	Payload json.RawMessage `json:"payload"`
	// ExpectMS is the caller's estimate of the run time; 0 means none.
	ExpectMS int `json:"expect_ms,omitempty"`
}

// Job is the body of a submission.
type Job struct {
	Kind string `json:"kind"`
	// DeadlineMS bounds the time to the whole answer; 0 means the kind's own.
	DeadlineMS int    `json:"deadline_ms,omitempty"`
	Tasks      []Task `json:"tasks"`
}

// IDsRequest asks for ids.
type IDsRequest struct {
	Count int `json:"count"`
}

// IDs answers IDsRequest.
type IDs struct {
	IDs     []string `json:"ids"`
	Version uint64   `json:"version"`
}

// TaskResult is the outcome of one task.
type TaskResult struct {
	Index  int             `json:"index"`
	Status TaskStatus      `json:"status"`
	Result json.RawMessage `json:"result,omitempty"`
	Error  string          `json:"error,omitempty"`
	Target string          `json:"target,omitempty"`
}

// Answer is what callers get for a submission, or of its state.
type Answer struct {
	ID      string       `json:"id"`
	Outcome Outcome      `json:"outcome"`
	Results []TaskResult `json:"results,omitempty"`
	// Version is the configuration version that the submission was judged under.
	Version uint64 `json:"version"`
	// NextID is a fresh id for the caller's next submission.
	NextID string `json:"next_id,omitempty"`
}

// Problem is a problem detail after RFC 9457 with what rackspur adds.
type Problem struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Instance string `json:"instance,omitempty"`
	// Outcome is empty where the request says nothing of a submission.
	Outcome Outcome `json:"outcome,omitempty"`
	Reason  string  `json:"reason"`
	// RetryAfterMS tells when to come back; Retry-After carries it in seconds.
	RetryAfterMS int          `json:"retry_after_ms,omitempty"`
	Results      []TaskResult `json:"results,omitempty"`
	Version      uint64       `json:"version,omitempty"`
	NextID       string       `json:"next_id,omitempty"`
}
