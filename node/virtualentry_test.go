package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rackspur/dispatch"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/member"
	"rackspur/owner"
	"rackspur/rowstore"
)

// entryBox is a simulated entry box with a real owner.
type entryBox struct {
	site  *virtualSite
	name  string
	owner *owner.Owner
	// term is the incarnation of the owner; nil on a site without a store.
	term        *term
	incarnation string
	index       int
	count       int
	ctx         context.Context
	// kill kills the box: its links and its callers' connections break.
	kill context.CancelFunc
	// awake is shut while the box is frozen; callers is shut while nothing reaches it from its
	// callers, toCallers while nothing reaches them from it.
	awake              valve
	callers, toCallers *valve
	paths              []*path

	mu    sync.Mutex
	late  delays
	links uint64
	// newest has the newest link to each agent.
	newest map[*agentBox]*virtualLink
}

// delays are the delays of an entry box.
type delays struct {
	// timers and frames are the delays of due timers and of waiting frames after a freeze;
	// either may come first.
	timers, frames time.Duration
	// notice is how long it takes the box to learn that a caller has left.
	notice time.Duration
}

func (b *entryBox) setDelays(d delays) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.late = d
}

func (b *entryBox) delays() delays {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.late
}

func newEntryBox(s *virtualSite, i int) *entryBox {
	b := &entryBox{site: s, name: fmt.Sprintf("entry-%d", i), index: i, callers: &valve{}, toCallers: &valve{}}
	for range s.agents {
		b.paths = append(b.paths, &path{})
	}
	b.start()
	return b
}

// restarted returns the box with a new process, with the same network. The former one must have
// been killed.
func (b *entryBox) restarted() *entryBox {
	next := &entryBox{site: b.site, name: b.name, index: b.index, count: b.count, callers: b.callers, toCallers: b.toCallers, paths: b.paths}
	next.start()
	return next
}

// start starts the process.
func (b *entryBox) start() {
	b.count++
	b.incarnation = fmt.Sprintf("%s~%d", b.name, b.count)
	b.late = delays{notice: linkLatency}
	b.newest = map[*agentBox]*virtualLink{}
	b.ctx, b.kill = context.WithCancel(b.site.ctx)
	o := b.site.bounds.options(b.name)
	o.Policy = fixedOrder{first: b.index}
	e := &Entry{started: time.Now(), log: b.site.log.WithName(b.incarnation), options: o}
	if b.site.store != nil {
		b.owner = b.startTerm(e)
	} else {
		b.owner = owner.New(e.ownerOptions(b.incarnation), instantWriter{})
		go b.renew(e)
	}
	for i, a := range b.site.agents {
		b.owner.AddGate(a.name, "zone-a")
		go b.keepLink(a, b.paths[i])
	}
	go b.tick()
}

// fixedOrder is a policy that places tasks at the target with the most free capacity, and
// breaks ties in a fixed order; the built-in policy breaks them at random. Each entry box
// starts with another target, so that a resubmitted job goes to other targets.
type fixedOrder struct{ first int }

// Admit implements owner.Policy.Admit.
func (fixedOrder) Admit(dispatch.JobView) dispatch.Verdict { return dispatch.Verdict{Admit: true} }

// Place implements owner.Policy.Place.
func (p fixedOrder) Place(_ dispatch.JobView, targets []dispatch.TargetView) dispatch.Plan {
	best := p.first % len(targets)
	for i := range targets {
		next := (p.first + i) % len(targets)
		if targets[next].Free > targets[best].Free {
			best = next
		}
	}
	return dispatch.Plan{Start: []dispatch.Share{{Target: best, N: 1}}}
}

// instantWriter completes every write at once.
type instantWriter struct{}

// Add implements owner.Writer.Add.
func (instantWriter) Add(_ int, w *rowstore.Write) { go w.Done(rowstore.Outcome{Version: 1}, nil) }

// Withdraw implements owner.Writer.Withdraw.
func (instantWriter) Withdraw(int, *rowstore.Write) bool { return false }

// FailingFor implements owner.Writer.FailingFor.
func (instantWriter) FailingFor(int) time.Duration { return 0 }

// renew renews the owner's lease.
func (b *entryBox) renew(e *Entry) {
	for b.awake.pass(b.ctx) {
		b.owner.RenewLease(time.Since(e.started) + member.Lease)
		wait.For(b.ctx, member.RenewInterval)
	}
}

// tick runs the owner's ticks as term.run does.
func (b *entryBox) tick() {
	for b.ctx.Err() == nil {
		pause := calmPause
		if b.owner.Waiting() {
			pause = tickPause
		}
		wait.For(b.ctx, pause)
		if b.passTimers() {
			b.owner.Tick()
		}
	}
}

// passTimers waits until a due timer of the box fires: not while it is frozen. It returns
// false if the box was killed.
func (b *entryBox) passTimers() bool { return b.pass(b.delays().timers) }

// passFrames waits until the box can read a frame that has arrived.
func (b *entryBox) passFrames() bool { return b.pass(b.delays().frames) }

// pass waits until the box is awake and, if it was frozen, for an additional time.
func (b *entryBox) pass(after time.Duration) bool {
	waited, ok := b.awake.passed(b.ctx)
	if waited && ok {
		wait.For(b.ctx, after)
	}
	return ok && b.ctx.Err() == nil
}

// cut cuts the box off from its callers and the gates, in both directions.
func (b *entryBox) cut() {
	b.callers.shut()
	b.toCallers.shut()
	for _, p := range b.paths {
		p.cut()
	}
}

// heal ends a cut.
func (b *entryBox) heal() {
	b.callers.open()
	b.toCallers.open()
	for _, p := range b.paths {
		p.heal()
	}
}

// run runs a best-effort job for a caller until the caller's context ends. It returns
// false if the caller gets no answer, or the answer that the job may have run.
func (b *entryBox) run(ctx context.Context, s job.Submission) bool {
	result := make(chan owner.BestEffortResult, 1)
	// The front takes in no job whose caller has left.
	if !b.passFrames() || ctx.Err() != nil {
		return false
	}
	ticket := b.owner.RunBestEffort(s, defaultCallTimeout, func(r owner.BestEffortResult) { result <- r })
	select {
	case r := <-result:
		return r.State != "" || r.Refused
	case <-ctx.Done():
		go b.leave(s.ID, ticket)
		return false
	case <-b.ctx.Done():
		return false
	}
}

// leave tells the owner that a caller has left, once the box can learn of it.
func (b *entryBox) leave(id job.ID, ticket uint64) {
	if !b.callers.pass(b.ctx) || !b.awake.pass(b.ctx) {
		return
	}
	wait.For(b.ctx, b.delays().notice)
	if b.awake.pass(b.ctx) {
		b.owner.RemoveCaller(id, ticket)
	}
}
