// Package dispatch holds the decisions of rackspur as a pure core.
//
// A Home judges the submissions whose ids it issued: it keeps the ledger,
// queues tasks, places them and retries what did not start. A Gate starts
// tasks on the one target of its box, each at most once. Both are state
// machines: an event goes in, actions come out, time is a parameter. There are
// no goroutines, sockets or clocks in here; the caller serializes the events.
package dispatch

import (
	"time"

	"rackspur/id"
	"rackspur/wire"
)

// Time is an instant on the monotonic clock of the process, counted from its start.
type Time = time.Duration

// taskKey names a task within one home.
type taskKey struct {
	submission string
	index      uint32
}

func keyOf(k *wire.TaskKey) taskKey {
	return taskKey{submission: string(k.GetSubmission()), index: k.GetIndex()}
}

func (k taskKey) wire() *wire.TaskKey {
	return &wire.TaskKey{Submission: []byte(k.submission), Index: k.index}
}

// Run is a task that a gate has started.
type Run struct {
	// Home is the incarnation of the home that sent the task.
	Home id.Incarnation
	// Start is what the home sent.
	Start *wire.Start
}

// GateAction is something that the shell of a gate has to do. One field is set.
type GateAction struct {
	// Start asks to send the task to the target, once.
	Start *Run
	// Home and Note ask to send a note to a home.
	Home id.Incarnation
	Note *wire.GateNote
}

// HomeAction is something that the shell of a home has to do. One field beside
// Peer is set.
type HomeAction struct {
	// Peer is the address of the gate that the action concerns.
	Peer string
	// Hello asks to open a session with the gate.
	Hello *wire.Hello
	// Note asks to send a note on the open session.
	Note *wire.HomeNote
	// Close asks to end the session, which nothing needs any more.
	Close bool
	// Answer asks to wake those who wait for the submission.
	Answer *Answered
}

// Answered tells that a submission has its final answer.
type Answered struct {
	Submission string
	Reply      *wire.SubmitReply
}
