package node

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"rackspur/gate"
	"rackspur/internal/standin"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/owner"
)

// This file simulates a site in virtual time, in a bubble of testing/synctest: real
// owners, gates and drivers with stand-in targets and in-memory links.
//
// Not simulated are gRPC and links through a peer. Durable jobs are taken over only on a site
// with a store (siteOptions.store). A frozen
// agent makes no calls and receives no frames, but its gate keeps ticking unless
// agentBox.ticks is shut too, so after a freeze its stops and lapses are further ahead than
// those of a real one.
//
// Events at the same virtual time happen in any order, so the periodic events of boxes
// and links have different offsets.

// Times of the site.
const (
	// targetClock is the speed of a target's clock in percent; PROTOCOL.md allows it to be
	// 2% slow.
	targetClock = 98
	// callLatency is how long a target takes to answer a call.
	callLatency = 900 * time.Microsecond
	// targetHeartbeat is the time between two heartbeats of a target.
	targetHeartbeat = 300 * time.Millisecond
	// firstHeartbeat is the time from an agent's start to the first heartbeat that it gets:
	// well after its first calls, so that these are deterministic.
	firstHeartbeat = 41 * time.Millisecond
	// restoreLatency is how long a restarted agent takes to read its target's description
	// from the store.
	restoreLatency = 7 * time.Millisecond
	// settleTime is how long a site runs before a job is submitted, and the job before the
	// first fault. It is no multiple of the boxes' tick pauses.
	settleTime = 1013 * time.Millisecond
	// taskTime is the run time of a task, longer than all time limits together.
	taskTime = 6800 * time.Millisecond
)

// logVariable is the environment variable that enables the boxes' log.
const logVariable = "RACKSPUR_VIRTUAL_LOG"

// virtualSite is a simulated site of a few boxes.
type virtualSite struct {
	t       *testing.T
	ctx     context.Context
	bounds  virtualBounds
	agents  []*agentBox
	entries []*entryBox
	// started is when the site was started.
	started time.Time
	// log is the logger of the boxes; its lines have times relative to trouble.
	log logr.Logger
	// boundCalls is the option of that name.
	boundCalls bool
	// watcher, if set, observes the frames of links.
	watcher frameWatcher
	// store is siteOptions.store.
	store *virtualStore
	// trouble is the time of the first fault, which event times are relative to.
	trouble time.Time
}

// inBubble runs a test with a site of two entry boxes and three agents in virtual time,
// under the default bounds.
func inBubble(t *testing.T, test func(s *virtualSite)) {
	t.Helper()
	inBubbleWith(t, defaultBounds, test)
}

// inBubbleWith is inBubble with the given bounds.
func inBubbleWith(t *testing.T, bounds virtualBounds, test func(s *virtualSite)) {
	t.Helper()
	inBubbleSite(t, siteOptions{bounds: bounds, entries: 2}, test)
}

// siteOptions are the options of a virtual site.
type siteOptions struct {
	bounds  virtualBounds
	entries int
	// log replaces the log of the test.
	log logr.Logger
	// boundCalls says that a call reaches only the incarnation that it is meant for, since its
	// connection ends with that one; see package platform.
	boundCalls bool
	watcher    frameWatcher
	// store holds the durable jobs, which entry boxes take over from lost ones; without one all
	// writes succeed and nothing is taken over.
	store *virtualStore
}

// inBubbleSite is inBubble with options.
func inBubbleSite(t *testing.T, o siteOptions, test func(s *virtualSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// Let goroutines exit before the bubble ends.
			wait.For(context.Background(), time.Second)
		}()
		s := &virtualSite{t: t, ctx: ctx, bounds: o.bounds, started: time.Now(), log: o.log, boundCalls: o.boundCalls, watcher: o.watcher, store: o.store}
		if o.log.GetSink() == nil && os.Getenv(logVariable) != "" {
			s.log = funcr.New(func(prefix, args string) {
				t.Logf("%.3f %s %s", time.Since(s.trouble).Seconds(), prefix, args)
			}, funcr.Options{})
		}
		for i := range 3 {
			s.agents = append(s.agents, newAgentBox(s, i))
		}
		for i := range o.entries {
			s.entries = append(s.entries, newEntryBox(s, i))
		}
		wait.For(ctx, settleTime)
		test(s)
	})
}

// frameWatcher observes the frames of links as they are sent and received.
type frameWatcher interface {
	ownerFrame(l *virtualLink, received bool, f *gate.OwnerFrame)
	gateFrame(l *virtualLink, received bool, f *gate.Frame)
}

// event is an action at a time relative to the first fault.
type event struct {
	at time.Duration
	do func()
}

// play executes the events in the order of their times, and lets the site run until the
// given time after the first fault.
func (s *virtualSite) play(until time.Duration, events ...event) {
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	s.trouble = time.Now().Add(max(0, -events[0].at))
	for _, e := range append(events, event{until, func() {}}) {
		wait.For(s.ctx, time.Until(s.trouble.Add(e.at)))
		e.do()
	}
}

// valve blocks callers of pass while it is shut.
type valve struct {
	mu sync.Mutex
	// opened is closed when the valve opens; nil while it is open.
	opened chan struct{}
}

func (v *valve) shut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.opened == nil {
		v.opened = make(chan struct{})
	}
}

func (v *valve) open() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.opened != nil {
		close(v.opened)
		v.opened = nil
	}
}

func (v *valve) isOpen() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.opened == nil
}

// pass waits until the valve is open; it returns false if the context ends before.
func (v *valve) pass(ctx context.Context) bool {
	_, ok := v.passed(ctx)
	return ok
}

// passed is like pass and also reports whether the valve was shut.
func (v *valve) passed(ctx context.Context) (waited, ok bool) {
	for {
		v.mu.Lock()
		opened := v.opened
		v.mu.Unlock()
		if opened == nil {
			return waited, ctx.Err() == nil
		}
		waited = true
		select {
		case <-opened:
		case <-ctx.Done():
			return waited, false
		}
	}
}

// virtualJob returns a job of three tasks.
func virtualJob(bestEffort bool) job.Submission {
	s := testJob(1, 3, bestEffort)
	s.Steps[0].EstimateMS = int(taskTime.Milliseconds())
	return s
}

// submitBestEffort submits a best-effort job to the first entry box and, if its answer is
// lost, resubmits it to the second. It returns when the tasks run; leave cancels the
// caller's first call.
func (s *virtualSite) submitBestEffort() (leave context.CancelFunc) {
	s.t.Helper()
	j := virtualJob(true)
	ctx, leave := context.WithCancel(s.ctx)
	go func() {
		if s.entries[0].run(ctx, j) {
			return
		}
		wait.For(s.ctx, s.bounds.resubmit)
		s.entries[1].run(s.ctx, j)
	}()
	s.awaitRuns()
	return leave
}

// submitDurable submits a durable job to the first entry box and returns when its tasks
// run.
func (s *virtualSite) submitDurable() {
	s.t.Helper()
	result := make(chan owner.SubmitResult, 1)
	s.entries[0].owner.Submit(virtualJob(false), func(r owner.SubmitResult) { result <- r })
	if r := <-result; r != owner.SubmitAccepted {
		s.t.Fatalf("result %v, want accepted", r)
	}
	s.awaitRuns()
}

// awaitRuns waits until the three tasks of the job run.
func (s *virtualSite) awaitRuns() {
	s.t.Helper()
	wait.For(s.ctx, settleTime)
	if n := len(s.spans()); n != 3 {
		s.t.Fatalf("%d runs before the first fault, want 3", n)
	}
}

// targetSpan is a run at a target.
type targetSpan struct {
	standin.Span
	target string
	// ended is when the run ended, or the present time if it is active.
	ended time.Time
}

// spans returns all runs in the order of their starts.
func (s *virtualSite) spans() []targetSpan {
	var all []targetSpan
	now := time.Now()
	for _, a := range s.agents {
		for _, span := range a.target.Journal() {
			ended := span.Ended
			if span.End == 0 {
				ended = now
			}
			all = append(all, targetSpan{Span: span, target: a.name, ended: ended})
		}
	}
	slices.SortStableFunc(all, func(a, b targetSpan) int { return a.Started.Compare(b.Started) })
	return all
}

// endNames has names for the ends of runs.
var endNames = map[gate.EndKind]string{gate.EndDone: "done", gate.EndFailed: "failed", gate.EndStopped: "stopped", gate.EndLapsed: "lapsed"}

// describe returns a description of a run, with times relative to the first fault.
func (s *virtualSite) describe(x targetSpan) string {
	end := "still works at"
	if x.End != 0 {
		end = endNames[x.End] + " at"
	}
	return fmt.Sprintf("run %d of task %d at %s starts at %.3f, %s %.3f", x.Name.Run, x.Name.Index, x.target,
		x.Started.Sub(s.trouble).Seconds(), end, x.ended.Sub(s.trouble).Seconds())
}

// checkOneAtATime checks that no two runs of a task were active at the same time. It fails
// if no task was started again, since the test shows nothing then.
func (s *virtualSite) checkOneAtATime() {
	s.t.Helper()
	if again := s.checkOverlaps(); again == 0 {
		s.t.Error("no task was started again: the test is inconclusive")
	}
}

// checkOverlaps checks that no two runs of a task were active at the same time. It returns the
// number of tasks that were started again.
func (s *virtualSite) checkOverlaps() int {
	s.t.Helper()
	all := s.spans()
	again := map[job.TaskName]bool{}
	for i, later := range all {
		for _, earlier := range all[:i] {
			if earlier.Name.TaskName != later.Name.TaskName {
				continue
			}
			again[later.Name.TaskName] = true
			if both := min(earlier.ended.Sub(later.Started), later.ended.Sub(later.Started)); both > 0 {
				s.t.Errorf("two runs at the same time for %v: %s; %s", both, s.describe(earlier), s.describe(later))
			}
		}
	}
	return len(again)
}
