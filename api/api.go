// Package api defines the messages of the callers' HTTP interface. Bodies are JSON;
// errors are problem details (RFC 9457).
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

// ProblemPrefix is the prefix of every problem type. The reason follows it.
const ProblemPrefix = "urn:rackspur:problem:"

// Outcome is the outcome of a submission.
type Outcome string

// The outcomes.
const (
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
	// NotRun means that no task has started and none will start under this id.
	NotRun Outcome = "not-run"
	// Unknown means that the outcome is not known. The caller should ask again with
	// the same id.
	Unknown Outcome = "unknown"
	Running Outcome = "running"
	// Unseen means that no job has been submitted under the id.
	Unseen Outcome = "unseen"
	// Forgotten means that the outcome is no longer stored.
	Forgotten Outcome = "forgotten"
)

// TaskStatus is the status of a task.
type TaskStatus string

// The task statuses.
const (
	TaskDone       TaskStatus = "done"
	TaskNotStarted TaskStatus = "not-started"
	TaskFailed     TaskStatus = "failed"
	// TaskStarted means that the task has or may have started and its result is
	// unknown.
	TaskStarted TaskStatus = "started"
)

// Task is one task of a job.
type Task struct {
	// Payload is passed to the target unchanged.
	Payload json.RawMessage `json:"payload"`
	// ExpectMS is the caller's estimate of the run time in milliseconds; 0 means none.
	ExpectMS int `json:"expect_ms,omitempty"`
}

// Job is the body of a submission.
type Job struct {
	Kind string `json:"kind"`
	// DeadlineMS bounds the time to the complete answer in milliseconds; 0 means the
	// deadline of the kind.
	DeadlineMS int    `json:"deadline_ms,omitempty"`
	Tasks      []Task `json:"tasks"`
}

// IDsRequest requests submission ids.
type IDsRequest struct {
	Count int `json:"count"`
}

// IDs is the response to IDsRequest.
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

// Answer is the response to a submission or to a query of its state.
type Answer struct {
	ID      string       `json:"id"`
	Outcome Outcome      `json:"outcome"`
	Results []TaskResult `json:"results,omitempty"`
	// Version is the configuration version that was applied to the submission.
	Version uint64 `json:"version"`
	// NextID is an unused id for the caller's next submission.
	NextID string `json:"next_id,omitempty"`
}

// Problem is a problem detail (RFC 9457) with extension members of rackspur.
type Problem struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Instance string `json:"instance,omitempty"`
	// Outcome is empty if the request was not about a submission.
	Outcome Outcome `json:"outcome,omitempty"`
	Reason  string  `json:"reason"`
	// RetryAfterMS is the time in milliseconds after which to retry. The Retry-After
	// header has it in seconds.
	RetryAfterMS int          `json:"retry_after_ms,omitempty"`
	Results      []TaskResult `json:"results,omitempty"`
	Version      uint64       `json:"version,omitempty"`
	NextID       string       `json:"next_id,omitempty"`
}
