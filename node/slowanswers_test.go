package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/owner"
)

// callCounts counts the calls to a target.
type callCounts struct {
	starts, stops, holds, connections int
	// runs has the number of start calls of each run.
	runs map[job.RunName]int
}

func (c callCounts) String() string {
	return fmt.Sprintf("%d starts of %d runs, %d stops, %d holds, %d new connections", c.starts, len(c.runs), c.stops, c.holds, c.connections)
}

// slowConnections carries the calls to a target, each of which is carried out after a delay, even
// if its caller has given up by then. A call that is given up loses its connection, and each new
// connection costs a first call, as in package platform.
type slowConnections struct {
	target gate.Target
	// idle has the connections that no call uses.
	idle chan struct{}

	mu sync.Mutex
	// delay is how long a call takes to reach the target. While it is 0, calls are passed on as they
	// are.
	delay  time.Duration
	counts callCounts
}

func newSlowConnections(target gate.Target) *slowConnections {
	const maxIdle = 64
	return &slowConnections{target: target, idle: make(chan struct{}, maxIdle), counts: callCounts{runs: map[job.RunName]int{}}}
}

func (c *slowConnections) setDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

func (c *slowConnections) delayNow() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delay
}

func (c *slowConnections) count(add func(*callCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.counts)
}

// takeCounts returns the counts since the last call.
func (c *slowConnections) takeCounts() callCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.counts
	c.counts = callCounts{runs: map[job.RunName]int{}}
	return taken
}

// connect takes an idle connection or opens one, and reports whether the caller has one. As in
// net/http, a connection that gets idle meanwhile is used at once.
func (c *slowConnections) connect(ctx context.Context) bool {
	if gate.WantsNewConnection(ctx) {
		c.closeIdle()
	}
	select {
	case <-c.idle:
		return true
	default:
	}
	c.count(func(n *callCounts) { n.connections++ })
	opened := make(chan struct{})
	go func() {
		wait.For(ctx, c.delayNow())
		if ctx.Err() != nil {
			return
		}
		select {
		case opened <- struct{}{}:
		case <-ctx.Done():
		}
	}()
	select {
	case <-opened:
		return true
	case <-c.idle:
		go func() {
			select {
			case <-opened:
				c.release()
			case <-ctx.Done():
			}
		}()
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *slowConnections) closeIdle() {
	for {
		select {
		case <-c.idle:
		default:
			return
		}
	}
}

// release returns a connection whose call was answered.
func (c *slowConnections) release() {
	select {
	case c.idle <- struct{}{}:
	default:
	}
}

// slowReply is the answer to a call.
type slowReply struct {
	answer gate.Answer
	lists  gate.HoldAnswer
	err    error
}

// call makes a call.
func (c *slowConnections) call(ctx context.Context, f func() slowReply) slowReply {
	if c.delayNow() == 0 {
		return f()
	}
	unanswered := slowReply{err: gate.ErrUnanswered}
	if !c.connect(ctx) {
		return unanswered
	}
	replies := make(chan slowReply, 1)
	go func() {
		wait.For(context.Background(), c.delayNow())
		replies <- f()
	}()
	select {
	case r := <-replies:
		if r.err == gate.ErrUnanswered {
			return unanswered
		}
		c.release()
		return r
	case <-ctx.Done():
		return unanswered
	}
}

// Start implements gate.Target.Start.
func (c *slowConnections) Start(ctx context.Context, life gate.Incarnation, s gate.StartCall) (gate.Answer, error) {
	c.count(func(n *callCounts) { n.starts++; n.runs[s.Name]++ })
	r := c.call(ctx, func() slowReply {
		a, err := c.target.Start(ctx, life, s)
		return slowReply{answer: a, err: err}
	})
	return r.answer, r.err
}

// Stop implements gate.Target.Stop.
func (c *slowConnections) Stop(ctx context.Context, life gate.Incarnation, s gate.StopCall) (gate.Answer, error) {
	c.count(func(n *callCounts) { n.stops++ })
	r := c.call(ctx, func() slowReply {
		a, err := c.target.Stop(ctx, life, s)
		return slowReply{answer: a, err: err}
	})
	return r.answer, r.err
}

// Hold implements gate.Target.Hold.
func (c *slowConnections) Hold(ctx context.Context, life gate.Incarnation, h gate.HoldCall) (gate.Answer, gate.HoldAnswer, error) {
	c.count(func(n *callCounts) { n.holds++ })
	r := c.call(ctx, func() slowReply {
		a, lists, err := c.target.Hold(ctx, life, h)
		return slowReply{answer: a, lists: lists, err: err}
	})
	return r.answer, r.lists, r.err
}

// Times of the tests below.
const (
	// streamInterval is the time between two jobs of a stream, streamTask the run time of their
	// tasks.
	streamInterval = 50 * time.Millisecond
	streamTask     = 60 * time.Millisecond
	// streamTimeout is how long a caller waits for a job.
	streamTimeout = time.Second
	// adaptTime is the time that a gate has to learn how slowly its target answers, and that a
	// target has to get work again after its answers were slow.
	adaptTime = time.Second
)

// jobStream submits best-effort jobs of two short tasks and counts their results.
type jobStream struct {
	site *virtualSite
	// nextID is the number of the next job.
	nextID int

	mu                                    sync.Mutex
	submitted, completed, refused, failed int
	// took is the sum of the times that the completed jobs took.
	took time.Duration
}

// run submits jobs for a time and waits for their results.
func (j *jobStream) run(lasts time.Duration) {
	for range int(lasts / streamInterval) {
		j.nextID++
		e := j.site.entries[j.nextID%len(j.site.entries)]
		submitted := time.Now()
		e.owner.RunBestEffort(testJob(j.nextID, 2, true), streamTimeout, func(r owner.BestEffortResult) { j.ended(submitted, r) })
		wait.For(j.site.ctx, streamInterval)
	}
	j.mu.Lock()
	j.submitted = int(lasts / streamInterval)
	j.mu.Unlock()
	wait.For(j.site.ctx, streamTimeout)
}

func (j *jobStream) ended(submitted time.Time, r owner.BestEffortResult) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case r.Refused:
		j.refused++
	case r.State == job.StateCompleted:
		j.completed++
		j.took += time.Since(submitted)
	default:
		j.failed++
	}
}

// streamPhase is what happened in a part of a test.
type streamPhase struct {
	name                                  string
	submitted, completed, refused, failed int
	// took is the mean time that completed jobs took.
	took time.Duration
	// calls has the calls to each target, firstStart when each started its first run, from the
	// beginning of the phase; it is negative if there was none.
	calls      []callCounts
	firstStart []time.Duration
}

// streamPhase submits jobs for a time while calls to the targets take delay.
func (s *virtualSite) streamPhase(j *jobStream, name string, delay, lasts time.Duration) streamPhase {
	for _, a := range s.agents {
		a.slow.setDelay(delay)
		a.slow.takeCounts()
	}
	began := time.Now()
	j.run(lasts)
	j.mu.Lock()
	p := streamPhase{name: name, submitted: j.submitted, completed: j.completed, refused: j.refused, failed: j.failed, took: j.took / time.Duration(max(1, j.completed))}
	j.completed, j.refused, j.failed, j.took = 0, 0, 0, 0
	j.mu.Unlock()
	for _, a := range s.agents {
		p.calls = append(p.calls, a.slow.takeCounts())
		p.firstStart = append(p.firstStart, a.firstStart(began))
	}
	s.t.Logf("%s: %d jobs: %d completed in %v, %d refused, %d failed", p.name, p.submitted, p.completed, p.took, p.refused, p.failed)
	for i, a := range s.agents {
		s.t.Logf("  %s: %v, first start after %v", a.name, p.calls[i], p.firstStart[i])
	}
	return p
}

// firstStart returns the time from began to the first start of a run; it is negative if there was
// none.
func (b *agentBox) firstStart(began time.Time) time.Duration {
	for _, x := range b.target.Journal() {
		if x.Started.After(began) {
			return x.Started.Sub(began)
		}
	}
	return -1
}

// slowPhases plays a stream of jobs while calls to the targets take delay, and then while they are
// fast again.
func (s *virtualSite) slowPhases(delay time.Duration) (slow, fast streamPhase) {
	for _, a := range s.agents {
		a.target.newest().Work = func(job.RunName) (time.Duration, gate.EndKind) { return streamTask, gate.EndDone }
	}
	j := &jobStream{site: s}
	s.streamPhase(j, "before", callLatency, time.Second)
	s.streamPhase(j, "slow, adapting", delay, adaptTime)
	slow = s.streamPhase(j, "slow", delay, 3*time.Second)
	fast = s.streamPhase(j, "fast again", callLatency, 3*time.Second)
	return slow, fast
}

// checkWork checks that nine tenths of the jobs are completed and that each target has work.
func (p streamPhase) checkWork(t *testing.T) {
	t.Helper()
	if 10*p.completed < 9*p.submitted {
		t.Errorf("%s: %d of %d jobs completed, want nine tenths", p.name, p.completed, p.submitted)
	}
	for i, first := range p.firstStart {
		if first < 0 || first > adaptTime {
			t.Errorf("%s: target %d started its first run after %v, want within %v", p.name, i, first, adaptTime)
		}
	}
}

// checkCalls checks that slow answers are not taken for lost ones: no run is stopped, and at least
// nine runs in ten cost a single start and no new connection.
func (p streamPhase) checkCalls(t *testing.T) {
	t.Helper()
	for i, c := range p.calls {
		if spare := len(c.runs) / 10; c.stops > 0 || c.starts > len(c.runs)+spare || c.connections > spare {
			t.Errorf("%s: target %d got %v, want one start for each run, no stops, and new connections for a tenth of the runs at most", p.name, i, c)
		}
	}
}

// Guards against targets that get no work because their answers come later than an order was
// waited for, while all that was sent to them in vain slowed them further.
func TestTargetAnswersSlowly(t *testing.T) {
	for _, delay := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			inBubble(t, func(s *virtualSite) {
				slow, fast := s.slowPhases(delay)
				slow.checkWork(t)
				slow.checkCalls(t)
				fast.checkWork(t)
				fast.checkCalls(t)
			})
		})
	}
}

// A target whose answers take as long as a gate may go unanswered need not get work, but gets it
// again once they are fast.
func TestTargetAnswersTooSlowly(t *testing.T) {
	inBubble(t, func(s *virtualSite) {
		_, fast := s.slowPhases(300 * time.Millisecond)
		fast.checkWork(t)
	})
}
