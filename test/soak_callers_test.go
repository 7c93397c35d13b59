package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"rackspur/job"
)

// Seeds of TestSoakReturningCallers and TestSoakReturningCallersBehindProxies. Each takes about
// 15 s.
var (
	callersSoakSeeds        = []uint64{1}
	callersSoakProxiesSeeds = []uint64{1}
)

// Times and sizes of a soak whose callers come back.
const (
	// callersSeconds is the usual length of a round.
	callersSeconds = 2
	// minReturning and maxReturning bound the duration of tasks: all exceed the time after
	// which a caller comes back.
	minReturning = 1500 * time.Millisecond
	maxReturning = 6 * time.Second
	// returningPause and returningTasks keep about half of the 40 slots occupied while each job
	// has one owner, so that those that come back find room.
	returningPause = 250 * time.Millisecond
	returningTasks = 2
	// returningBurst is how many of these jobs are sent at once at first.
	returningBurst = 6
	// returningCallers is how many of these jobs may wait for an answer.
	returningCallers = 24
	// returningDeadline is the deadline of most of these calls, and longer than their tasks; one
	// in shortDeadlineOdds has platformDeadline.
	returningDeadline = 7 * time.Second
	shortDeadlineOdds = 4
	// returningTries is how often a job is submitted at most. Only its first call is sure to
	// have a fault; one in laterFaultOdds of the following has, and the last one has none.
	returningTries = 5
	laterFaultOdds = 3
	// durableOdds: one in durableOdds of the jobs is durable.
	durableOdds = 8
	// maxFaultAfter is the latest start of a fault after the call was sent.
	maxFaultAfter = time.Second
	// minPatience and maxPatience bound how long a caller waits on a silent connection.
	minPatience = 300 * time.Millisecond
	maxPatience = time.Second
	// minOpen and maxOpen bound how long the entry's side stays open if not for good.
	minOpen = 300 * time.Millisecond
	maxOpen = 3 * time.Second
	// maxDelay is the longest delay of a connection's bytes.
	maxDelay = time.Second
	// lateStop is the time after which a run of a lost caller counts as still at work.
	lateStop = 200 * time.Millisecond
)

// callerFaultKind is what happens to the connection of one call.
type callerFaultKind string

const (
	callerUndisturbed callerFaultKind = "undisturbed"
	// callerCut resets the caller's side; the entry's stays open and silent.
	callerCut callerFaultKind = "cut, entry not told"
	// callerCutForTime is callerCut whose entry's side is reset after a time.
	callerCutForTime callerFaultKind = "cut, entry told late"
	// entryCut resets the entry's side; the caller's stays open and silent.
	entryCut callerFaultKind = "cut, caller not told"
	// silentToEntry, silentFromEntry and silentBoth silence directions.
	silentToEntry   callerFaultKind = "silent to entry"
	silentFromEntry callerFaultKind = "silent from entry"
	silentBoth      callerFaultKind = "silent"
	// callerDelayed delays all bytes; callerDelayedLeaves is that with a caller that leaves.
	callerDelayed       callerFaultKind = "delayed"
	callerDelayedLeaves callerFaultKind = "delayed, caller leaves"
)

// callerFaultKinds are the faults of a job's first call, equally likely.
var callerFaultKinds = []callerFaultKind{
	callerUndisturbed, callerCut, callerCut, callerCut, callerCutForTime, callerCutForTime, entryCut,
	silentToEntry, silentToEntry, silentFromEntry, silentBoth, silentBoth, callerDelayed, callerDelayedLeaves,
}

// callerFault is a fault of one call's connection.
type callerFault struct {
	kind    callerFaultKind
	silence silence
	// after is its start after the call was sent; the entry's side is reset open later, with
	// callerCutForTime.
	after, open time.Duration
	// patience is how long the caller waits then on a silent connection.
	patience time.Duration
	delay    time.Duration
}

// String implements fmt.Stringer.String.
func (f callerFault) String() string {
	text := fmt.Sprintf("%s (%v) after %v", f.kind, f.silence, f.after)
	switch f.kind {
	case callerUndisturbed:
		return string(f.kind)
	case callerCut:
		return text
	case callerCutForTime:
		return fmt.Sprintf("%s, open for %v", text, f.open)
	case callerDelayed:
		return fmt.Sprintf("%s by %v", f.kind, f.delay)
	case callerDelayedLeaves:
		text = fmt.Sprintf("%s by %v, after %v", f.kind, f.delay, f.after)
	}
	return fmt.Sprintf("%s, patience %v", text, f.patience)
}

// drawCallerFault draws a fault with one of the kinds of silence.
func drawCallerFault(random *rand.Rand, silences []silence) callerFault {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least))).Truncate(time.Millisecond)
	}
	return callerFault{
		kind: callerFaultKinds[random.IntN(len(callerFaultKinds))], silence: silences[random.IntN(len(silences))],
		after: between(0, maxFaultAfter), open: between(minOpen, maxOpen), patience: between(minPatience, maxPatience), delay: between(0, maxDelay),
	}
}

// callerVisit is one submission of a job whose caller's connections have faults of their own.
type callerVisit struct {
	entry       *box
	fault       callerFault
	sent, ended time.Time
	status      int
	// reached reports that bytes of the call were passed on to the entry.
	reached bool
}

// lost reports whether the caller got no answer.
func (v *callerVisit) lost() bool { return v.status == 0 }

// returningPlan returns the plan of a soak whose callers come back, with kinds of silence.
func returningPlan(silences ...silence) soakPlan {
	return soakPlan{
		resend: longResend, jobPause: longJobPause, faultOdds: longFaultOdds, slowClocks: true,
		background: func(r *soakRun, end time.Time, callers *sync.WaitGroup) {
			callers.Go(func() { r.returningJobs(end, callers, silences) })
			r.faults.Go(func() { r.allSeries(end) })
		},
	}
}

// TestSoakReturningCallers is TestSoakLongTasks with callers that lose their connection while the
// entry that has their job lives, and submit it again elsewhere. Silent directions lose the
// acknowledgements too (silentNetwork). Guards against an owner whose runs go on when a caller that
// it was not told of has left.
func TestSoakReturningCallers(t *testing.T) {
	soakReturningCallers(t, callersSoakSeeds, silentNetwork)
}

// TestSoakReturningCallersBehindProxies is TestSoakReturningCallers with silent directions whose bytes are
// acknowledged (silentProxy, silentReader), so that the entry's TCP can't tell.
func TestSoakReturningCallersBehindProxies(t *testing.T) {
	soakReturningCallers(t, callersSoakProxiesSeeds, silentProxy, silentReader)
}

func soakReturningCallers(t *testing.T, seeds []uint64, silences ...silence) {
	length := time.Duration(envUint(soakSecondsVariable, callersSeconds)) * time.Second
	rounds := int(envUint(soakRoundsVariable, 1))
	for _, seed := range chooseSeeds(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, returningPlan(silences...), seed, length, rounds) })
	}
}

// returningJobs submits jobs whose callers' connections have faults until a time. A job is
// skipped while too many others wait for their answers; this does not change the jobs that follow.
func (r *soakRun) returningJobs(end time.Time, callers *sync.WaitGroup, silences []silence) {
	random := r.randomFor(callersPart)
	slots := make(chan struct{}, returningCallers)
	for count := 1; time.Now().Before(end); count++ {
		r.longCount++
		lasts := minReturning + time.Duration(random.Int64N(int64(maxReturning-minReturning)))
		j := &soakJob{id: longID(r.longCount, lasts), tasks: 1 + random.IntN(returningTasks), bestEffort: random.IntN(durableOdds) != 0, long: true}
		j.first = random.IntN(len(r.entries))
		deadline := returningDeadline
		if random.IntN(shortDeadlineOdds) == 0 {
			deadline = platformDeadline
		}
		var faults [returningTries]callerFault
		for try := range faults {
			faults[try] = drawCallerFault(random, silences)
			if random.IntN(laterFaultOdds) != 0 && try > 0 || try == returningTries-1 {
				faults[try] = callerFault{kind: callerUndisturbed}
			}
		}
		select {
		case slots <- struct{}{}:
			r.addLong(j)
			callers.Go(func() {
				defer func() { <-slots }()
				r.callReturning(j, deadline, faults, end)
			})
		default:
		}
		if count > returningBurst {
			pause(returningPause)
		}
	}
}

// callReturning submits a job, and again at the next entry while its outcome is unknown. After end
// its connections have no more faults, except the first.
func (r *soakRun) callReturning(j *soakJob, deadline time.Duration, faults [returningTries]callerFault, end time.Time) {
	j.refused = true
	for try, f := range faults {
		if try > 0 && time.Now().After(end) {
			f = callerFault{kind: callerUndisturbed}
		}
		j.tries++
		v, state := r.visit(j, r.entries[(j.first+try)%len(r.entries)], deadline, f)
		j.visits = append(j.visits, v)
		switch v.status {
		case http.StatusOK:
			j.accepted, j.refused, j.state = true, false, state
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			return
		}
		j.refused = false
		pause(r.plan.resend)
	}
}

// visit submits a job to an entry over a connection with a fault.
func (r *soakRun) visit(j *soakJob, e *box, deadline time.Duration, f callerFault) (callerVisit, string) {
	c := &callerConnection{entry: e, fault: f, answered: make(chan struct{})}
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DialContext: c.dial}}
	defer client.CloseIdleConnections()
	lasts, _ := longWork(job.ID(j.id))
	v := callerVisit{entry: e, fault: f, sent: time.Now()}
	r.logCall(j, "to %s, deadline %v, connection: %v", e.name, deadline, f)
	status, state := e.askWithin(client, deadline, http.MethodPost, platformPrefix+j.id, platformJobOf(j.tasks, j.bestEffort, lasts))
	v.ended, v.status = time.Now(), status
	close(c.answered)
	c.injected.Wait()
	v.reached = c.link != nil && c.link.hasReached()
	r.logCall(j, "%s answers %d %s", e.name, status, state)
	j.longest = max(j.longest, v.ended.Sub(v.sent))
	if c.err != nil {
		r.t.Errorf("the connection of a caller of %s: %v", e.name, c.err)
	}
	return v, state
}

// callerConnection is the connection of one call.
type callerConnection struct {
	entry *box
	fault callerFault
	// answered is closed when the call has ended.
	answered chan struct{}
	// injected waits for the fault's end; link and err are set by then. link is nil if the proxy
	// does not serve the connection.
	injected sync.WaitGroup
	link     *link
	err      error
}

// dial connects to the entry and starts the fault.
func (c *callerConnection) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.link = c.entry.inbound.linkOf(conn)
	if c.link == nil || c.fault.kind == callerUndisturbed {
		return conn, nil
	}
	if c.fault.kind == callerDelayed || c.fault.kind == callerDelayedLeaves {
		c.link.setDelay(c.fault.delay)
	}
	c.injected.Go(func() { c.inject(conn) })
	return conn, nil
}

// await waits for a time; it returns false if the call has ended before.
func (c *callerConnection) await(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.answered:
		return false
	case <-timer.C:
		return true
	}
}

// inject applies the fault. The caller leaves silent connections after its patience.
func (c *callerConnection) inject(conn net.Conn) {
	f, p, l := c.fault, c.entry.inbound, c.link
	if f.kind == callerDelayed || !c.await(f.after) {
		return
	}
	switch f.kind {
	case callerCut:
		c.err = p.cutClient(l, f.silence)
		return
	case callerCutForTime:
		c.err = p.cutClient(l, f.silence)
		time.AfterFunc(f.open, func() { reset(l.server) })
		return
	case entryCut:
		c.err = p.cutServer(l)
	case silentToEntry:
		c.err = p.silence(l, f.silence, notSilent)
	case silentFromEntry:
		c.err = p.silence(l, notSilent, f.silence)
	case silentBoth:
		c.err = p.silence(l, f.silence, f.silence)
	}
	if c.await(f.patience) {
		conn.Close()
	}
}
