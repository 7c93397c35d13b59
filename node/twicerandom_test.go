package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/owner"
)

// Environment variables and sizes of the test.
const (
	// twiceSeedVariable selects a single seed, twiceSeedsVariable the number of seeds,
	// twiceFromVariable the first one.
	twiceSeedVariable  = "RACKSPUR_TWICE_SEED"
	twiceSeedsVariable = "RACKSPUR_TWICE_SEEDS"
	twiceFromVariable  = "RACKSPUR_TWICE_FROM"
	// twicePlaysVariable is how often each seed is played.
	twicePlaysVariable = "RACKSPUR_TWICE_PLAYS"
	// twiceWithoutVariable has the numbers of faults to leave out, separated by commas.
	twiceWithoutVariable = "RACKSPUR_TWICE_WITHOUT"
	// twiceUntoldVariable adds callers that leave an entry box which is not told.
	twiceUntoldVariable = "RACKSPUR_TWICE_UNTOLD"
	// twiceFreshVariable leaves out requests that a cut holds up until their caller has left.
	twiceFreshVariable = "RACKSPUR_TWICE_FRESH"
	// twiceSeeds is the default number of seeds.
	twiceSeeds = 60
	// twiceLength is how long faults begin and jobs are submitted, twiceSettle how long the runs
	// then get to end.
	twiceLength = 6 * time.Second
	twiceSettle = 9 * time.Second
	twiceJobs   = 26
	// twiceTries is how often a job is submitted at most.
	twiceTries = 8
	// callerLatency is the latency between a caller and an entry box.
	callerLatency = 3 * time.Millisecond
	// callerMargin is the part of a caller's deadline that an entry box leaves for the answer;
	// see package platform.
	callerMargin = 20 * time.Millisecond
	// drainTime is the least time from the acknowledgement of a draining heartbeat to the end of
	// the target's process.
	drainTime = 2 * time.Second
	// longestStop is how long a stop takes at most.
	longestStop = 50 * time.Millisecond
)

// twiceRegression are seeds that have shown two runs of a task at one time.
var twiceRegression = []uint64{
	1086, // an entry read a request after its caller had gone to another one
	3195, // a rejected start was taken for a later one of the same name
}

// TestTwiceRandom runs best-effort jobs, whose callers come back, beside random faults in virtual
// time and checks that no two runs of a task are active at one time. Goroutines that are due at the
// same time run in any order, so that a seed may have more than one outcome.
func TestTwiceRandom(t *testing.T) {
	var without []int
	for _, number := range strings.Split(os.Getenv(twiceWithoutVariable), ",") {
		if n, err := strconv.Atoi(number); err == nil {
			without = append(without, n)
		}
	}
	first, count := numberFromEnvironment(twiceFromVariable, 1), numberFromEnvironment(twiceSeedsVariable, twiceSeeds)
	if seed := numberFromEnvironment(twiceSeedVariable, 0); seed != 0 {
		first, count = seed, 1
	}
	total := &twiceTotal{classes: map[string]*runClass{}}
	t.Cleanup(func() { total.report(t) })
	var seeds []uint64
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, seed)
	}
	if first == 1 {
		seeds = append(seeds, twiceRegression...)
	}
	for _, seed := range seeds {
		for i := range numberFromEnvironment(twicePlaysVariable, 1) {
			t.Run(fmt.Sprintf("%d/%d", seed, i), func(t *testing.T) {
				t.Parallel()
				playTwice(t, seed, without, total)
			})
		}
	}
}

// playTwice plays a seed without some of its faults.
func playTwice(t *testing.T, seed uint64, without []int, total *twiceTotal) {
	p := &twicePlay{
		seed: seed, random: rand.New(rand.NewPCG(seed, seed)), untold: os.Getenv(twiceUntoldVariable) != "", fresh: os.Getenv(twiceFreshVariable) != "",
		orders: map[runAt][]sentOrder{}, attempts: map[*attempt]bool{},
	}
	o := siteOptions{bounds: defaultBounds, entries: 2 + p.random.IntN(2), boundCalls: true, watcher: p}
	if p.random.IntN(4) == 0 {
		o.bounds.maxHold = 15 * time.Second
	}
	o.log = logr.New(&playLog{play: p})
	inBubbleSite(t, o, func(s *virtualSite) {
		p.virtualSite = s
		p.plan(without)
		p.run()
		p.check(total)
	})
}

// twicePlay is one run of TestTwiceRandom.
type twicePlay struct {
	*virtualSite
	seed   uint64
	random *rand.Rand
	// untold and fresh say that the variables of these names are set.
	untold, fresh bool

	jobs   []plannedJob
	faults []plannedFault

	mu       sync.Mutex
	lines    []logLine
	orders   map[runAt][]sentOrder
	attempts map[*attempt]bool
}

// plannedJob is a job and what its callers do.
type plannedJob struct {
	at         time.Duration
	submission job.Submission
	patience   time.Duration
	// entries are the numbers of the entry boxes that it is submitted to, notices how long these
	// take to learn that its caller has left.
	entries []int
	notices []time.Duration
}

// plannedFault is a fault with the time of its begin.
type plannedFault struct {
	at   time.Duration
	what string
	do   func()
}

// runAt is a run at an agent's target.
type runAt struct {
	agent string
	name  job.RunName
}

// sentOrder is an owner's order to start a run.
type sentOrder struct {
	at    time.Time
	owner string
}

// ownerFrame implements frameWatcher.ownerFrame.
func (p *twicePlay) ownerFrame(l *virtualLink, received bool, f *gate.OwnerFrame) {
	name, verb := l.entry.incarnation, "sent to "+l.agent.name
	if received {
		name, verb = l.agent.name, "received from "+l.entry.incarnation
	}
	note := func(what string, n job.RunName, kv ...any) {
		p.note(name, what+" "+verb, append([]any{"job", n.Job, "index", n.Index, "run", n.Run, "link", l.number, "frame", f.Sequence}, kv...)...)
	}
	for _, o := range f.Starts {
		note("Start", o.Name, "echo", f.Echo.String())
		if !received {
			p.noteStart(l, o)
		}
	}
	for _, n := range f.Stops {
		note("Stop", n)
	}
	for _, v := range f.Verdicts {
		note("Verdict", v.Name, "kind", int(v.Kind))
	}
}

// gateFrame implements frameWatcher.gateFrame.
func (p *twicePlay) gateFrame(l *virtualLink, received bool, f *gate.Frame) {
	name, verb := l.agent.name, "sent to "+l.entry.incarnation
	if received {
		name, verb = l.entry.incarnation, "received from "+l.agent.name
	}
	for _, s := range f.States {
		p.note(name, "State "+verb, "job", s.Name.Job, "index", s.Name.Index, "run", s.Name.Run, "link", l.number, "state", fmt.Sprintf("%+v", s))
	}
}

// noteStart notes the owner of an order.
func (p *twicePlay) noteStart(l *virtualLink, o gate.Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := runAt{agent: l.agent.name, name: o.Name}
	p.orders[at] = append(p.orders[at], sentOrder{at: time.Now(), owner: l.entry.incarnation})
}

// ownerOf returns the owner that has ordered a run.
func (p *twicePlay) ownerOf(x targetSpan) (incarnation string) {
	for _, o := range p.orders[runAt{agent: x.target, name: x.Name}] {
		if !o.at.After(x.Started) {
			incarnation = o.owner
		}
	}
	return incarnation
}

// between returns a random duration between low and high.
func (p *twicePlay) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)+1))
}

// oneIn reports true once in n times.
func (p *twicePlay) oneIn(n int) bool { return p.random.IntN(n) == 0 }

// plan draws all jobs and faults, so that the others stay as they are if some are left out.
func (p *twicePlay) plan(without []int) {
	for n := range twiceJobs {
		s := testJob(n+1, 1+p.random.IntN(4), true)
		longest := []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[p.random.IntN(3)]
		s.Steps[0].EstimateMS = int(p.between(50*time.Millisecond, longest).Milliseconds())
		j := plannedJob{at: p.between(0, twiceLength), submission: s, patience: p.between(time.Second, 6*time.Second)}
		for range twiceTries {
			j.entries = append(j.entries, p.random.IntN(len(p.entries)))
			j.notices = append(j.notices, p.between(100*time.Microsecond, 5*time.Millisecond))
		}
		p.jobs = append(p.jobs, j)
	}
	// Most faults lie close to each other, so that they meet.
	moments := []time.Duration{p.between(time.Second, twiceLength), p.between(time.Second, twiceLength)}
	for n := range 3 + p.random.IntN(12) {
		at := p.between(0, twiceLength)
		if !p.oneIn(4) {
			at = max(0, moments[p.random.IntN(len(moments))]+p.between(-900*time.Millisecond, 900*time.Millisecond))
		}
		f := p.drawFault()
		f.at = at
		if !slices.Contains(without, n) {
			f.what = fmt.Sprintf("fault %d: %s", n, f.what)
			p.faults = append(p.faults, f)
		}
	}
	for _, a := range p.agents {
		seed := p.random.Uint64()
		a.target.changeCalls(func(f *callFaults) { f.random = rand.New(rand.NewPCG(seed, seed)) })
	}
	stop := p.between(0, longestStop)
	for _, a := range p.agents {
		e := a.target.newest()
		e.Work, e.StopTime = p.work, stop
	}
}

// work returns how long a run takes and how it ends. All runs of a task take the same time, which
// differs from its estimate.
func (p *twicePlay) work(n job.RunName) (time.Duration, gate.EndKind) {
	for _, j := range p.jobs {
		if j.submission.ID != n.Job {
			continue
		}
		mix := uint64(n.Index)*2654435761 + uint64(n.Job[len(n.Job)-1])*40503
		took := time.Duration(j.submission.Steps[0].EstimateMS) * time.Millisecond * time.Duration(60+mix%90) / 100
		if (mix+uint64(n.Run)*97)%31 == 5 {
			return took / 2, gate.EndFailed
		}
		return took, gate.EndDone
	}
	return taskTime, gate.EndDone
}

// run plays the jobs and the faults.
func (p *twicePlay) run() {
	p.trouble = time.Now()
	var events []event
	for _, j := range p.jobs {
		events = append(events, event{j.at, func() { go p.submit(j) }})
	}
	for _, f := range p.faults {
		events = append(events, event{f.at, func() {
			p.note("play", f.what)
			f.do()
		}})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	for _, e := range events {
		wait.For(p.ctx, time.Until(p.trouble.Add(e.at)))
		e.do()
	}
	wait.For(p.ctx, time.Until(p.trouble.Add(twiceLength+twiceSettle)))
}

// entry returns the newest process of an entry box.
func (p *twicePlay) entry(i int) *entryBox {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[i]
}

// submit submits a job until its caller gets an answer.
func (p *twicePlay) submit(j plannedJob) {
	for try := 0; try < twiceTries && time.Since(p.trouble) < twiceLength+twiceSettle/2; try++ {
		e := p.entry(j.entries[try])
		again, why := p.attempt(e, j, j.notices[try])
		p.note("caller", "returned", "job", j.submission.ID, "from", e.incarnation, "why", why, "again", again.String())
		if again == 0 {
			return
		}
		wait.For(p.ctx, again)
	}
}

// attempt is a caller's call to an entry box.
type attempt struct {
	entry *entryBox
	// broken is closed when the connection is reset, which both ends learn.
	broken chan struct{}
	reset  sync.Once
	// gone is closed when the caller does not wait any more.
	gone   chan struct{}
	result chan owner.BestEffortResult
	notice time.Duration
	// silent is set when the caller has left and the entry box is not told.
	silent valve
}

// attempt submits a job once. It returns after what time the caller comes back; 0 if it got its
// answer.
func (p *twicePlay) attempt(e *entryBox, j plannedJob, notice time.Duration) (again time.Duration, why string) {
	a := &attempt{entry: e, broken: make(chan struct{}), gone: make(chan struct{}), result: make(chan owner.BestEffortResult, 1), notice: notice}
	p.mu.Lock()
	p.attempts[a] = true
	p.mu.Unlock()
	defer func() {
		close(a.gone)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.attempts, a)
	}()
	p.note("caller", "submits", "job", j.submission.ID, "to", e.incarnation, "patience", j.patience.String(), "notice", notice.String())
	deadline := time.NewTimer(j.patience)
	defer deadline.Stop()
	go a.serve(p, j)
	lost := make(chan struct{})
	go func() {
		<-e.ctx.Done()
		wait.For(p.ctx, callerLatency)
		if e.toCallers.pass(p.ctx) {
			close(lost)
		}
	}()
	select {
	case r := <-a.result:
		switch {
		case r.State != "":
			return 0, string(r.State)
		case r.Refused:
			return max(time.Second, r.RetryAfter.Truncate(time.Second)), "503"
		}
		return p.bounds.resubmit, "504"
	case <-lost:
		return p.bounds.resubmit, "entry lost"
	case <-a.broken:
		return p.bounds.resubmit, "reset"
	case <-deadline.C:
		return p.bounds.resubmit, "no response"
	case <-p.ctx.Done():
		return 0, "end of the play"
	}
}

// serve is the entry box's end of a call.
func (a *attempt) serve(p *twicePlay, j plannedJob) {
	e := a.entry
	wait.For(p.ctx, callerLatency)
	// A request may be read after its caller has left.
	cut, ok := e.callers.passed(e.ctx)
	if !ok || !e.passFrames() {
		return
	}
	if a.hasLeft() {
		// The end of the connection is in the box's buffers too, so that the job is not taken in,
		// unless a cut has held it up: it follows the request after a round trip then.
		if p.fresh || !cut {
			return
		}
		a.notice /= 5
		p.note("caller", "had left when its request was read", "job", j.submission.ID, "by", e.incarnation)
	}
	left := make(chan struct{})
	go a.watchCaller(left)
	results := make(chan owner.BestEffortResult, 1)
	ticket := e.owner.RunBestEffort(j.submission, j.patience-callerMargin, func(r owner.BestEffortResult) { results <- r })
	timeout := time.NewTimer(j.patience - callerMargin)
	defer timeout.Stop()
	select {
	case r := <-results:
		a.answer(r)
		return
	case <-timeout.C:
		if !e.passTimers() {
			return
		}
	case <-left:
	case <-e.ctx.Done():
		return
	}
	e.owner.RemoveCaller(j.submission.ID, ticket)
	select {
	case r := <-results:
		a.answer(r)
	case <-e.ctx.Done():
	}
}

// hasLeft reports whether the caller does not wait any more.
func (a *attempt) hasLeft() bool {
	select {
	case <-a.gone:
		return true
	default:
		return false
	}
}

// answer sends the answer to the caller.
func (a *attempt) answer(r owner.BestEffortResult) {
	e := a.entry
	if !e.awake.pass(e.ctx) {
		return
	}
	wait.For(e.ctx, callerLatency)
	if e.toCallers.pass(e.ctx) {
		a.result <- r
	}
}

// watchCaller closes left when the entry box learns that the caller has left.
func (a *attempt) watchCaller(left chan<- struct{}) {
	e := a.entry
	select {
	case <-a.gone:
	case <-e.ctx.Done():
		return
	}
	wait.For(e.ctx, callerLatency)
	select {
	case <-a.broken:
	default:
		if !e.callers.pass(e.ctx) {
			return
		}
	}
	if !a.silent.pass(e.ctx) || !e.awake.pass(e.ctx) {
		return
	}
	wait.For(e.ctx, a.notice)
	if e.awake.pass(e.ctx) {
		close(left)
	}
}

// resetCallers resets the connections of an entry box's callers.
func (p *twicePlay) resetCallers(i int, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.attempts {
		if a.entry != p.entries[i] {
			continue
		}
		if silent {
			a.silent.shut()
		}
		a.reset.Do(func() { close(a.broken) })
	}
}

// logLine is a line of the log of a play.
type logLine struct {
	at   time.Time
	name string
	msg  string
	kv   []any
}

func (l logLine) value(key string) any {
	for i := 0; i+1 < len(l.kv); i += 2 {
		if l.kv[i] == key {
			return l.kv[i+1]
		}
	}
	return nil
}

func (p *twicePlay) note(name, msg string, kv ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, logLine{at: time.Now(), name: name, msg: msg, kv: kv})
}

// playLog keeps the log of the boxes.
type playLog struct {
	play *twicePlay
	name string
}

// Init implements logr.LogSink.Init.
func (l *playLog) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.Enabled.
func (l *playLog) Enabled(level int) bool { return level == 0 }

// Info implements logr.LogSink.Info.
func (l *playLog) Info(_ int, msg string, kv ...any) { l.play.note(l.name, msg, kv...) }

// Error implements logr.LogSink.Error.
func (l *playLog) Error(err error, msg string, kv ...any) {
	l.play.note(l.name, msg, append(kv, "error", err)...)
}

// WithValues implements logr.LogSink.WithValues.
func (l *playLog) WithValues(...any) logr.LogSink { return l }

// WithName implements logr.LogSink.WithName.
func (l *playLog) WithName(name string) logr.LogSink { return &playLog{play: l.play, name: name} }

// runPair are two runs of a task that follow each other.
type runPair struct {
	earlier, later targetSpan
	// gap is the time from the end of the earlier run to the start of the later one; negative if
	// they overlap.
	gap time.Duration
}

// pairs returns the runs of each task that follow each other. The earlier run is the one of those
// started before that ended last.
func (p *twicePlay) pairs() (all []runPair) {
	last := map[job.TaskName]targetSpan{}
	for _, later := range p.spans() {
		earlier, again := last[later.Name.TaskName]
		if again {
			all = append(all, runPair{earlier: earlier, later: later, gap: later.Started.Sub(earlier.ended)})
		}
		if !again || later.ended.After(earlier.ended) {
			last[later.Name.TaskName] = later
		}
	}
	return all
}

// endOf says how the earlier run of a pair ended: its end, and what the agent logged of it last.
func (p *twicePlay) endOf(x targetSpan) string {
	end := endNames[x.End]
	if x.End == 0 {
		end = "at work"
	} else if end == "" {
		end = "lost"
	}
	reason := ""
	for _, l := range p.lines {
		if l.name != x.target || l.at.After(x.ended) || l.at.Before(x.Started) {
			continue
		}
		if l.value("job") != x.Name.Job || l.value("index") != x.Name.Index || l.value("run") != x.Name.Run {
			continue
		}
		switch l.msg {
		case "Stopping a run.":
			reason = fmt.Sprint(", stop: ", l.value("reason"))
		case "Run counted as lost.":
			reason = fmt.Sprint(", lost: ", l.value("cause"))
		}
	}
	return end + reason
}

// check checks that no two runs of a task were active at the same time, and counts the tasks that
// were started again.
func (p *twicePlay) check(total *twiceTotal) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pair := range p.pairs() {
		earlier, later := p.ownerOf(pair.earlier), p.ownerOf(pair.later)
		by := "another owner"
		if earlier == later {
			by = "the same owner"
		}
		place := "elsewhere"
		if pair.earlier.target == pair.later.target {
			place = "at the same target"
		}
		total.add(fmt.Sprintf("%s; again by %s, %s", p.endOf(pair.earlier), by, place), p.seed, pair.gap)
		if min(-pair.gap, pair.later.ended.Sub(pair.later.Started)) > 0 {
			p.t.Errorf("seed %d: two runs of job %v at the same time for %v: %s for %s; %s for %s", p.seed, pair.later.Name.Job,
				min(-pair.gap, pair.later.ended.Sub(pair.later.Started)), p.describe(pair.earlier), earlier, p.describe(pair.later), later)
			p.trace(pair)
		}
	}
}

// trace logs what happened before two runs were active at the same time.
func (p *twicePlay) trace(pair runPair) {
	p.t.Helper()
	from := pair.earlier.Started.Add(-2 * time.Second)
	to := pair.later.Started.Add(500 * time.Millisecond)
	var lines []string
	for _, l := range p.lines {
		j := l.value("job")
		if l.at.After(to) || l.name != "play" && (l.at.Before(from) || j != nil && j != pair.later.Name.Job || j == nil) {
			continue
		}
		if i := l.value("index"); i != nil && i != pair.later.Name.Index {
			continue
		}
		lines = append(lines, fmt.Sprintf("%8.4f %s: %s %v", l.at.Sub(p.trouble).Seconds(), l.name, l.msg, l.kv))
	}
	p.t.Logf("leases of %v, %d entries\n%s", p.bounds.maxHold, len(p.entries), strings.Join(lines, "\n"))
}

// runClass counts the tasks that were started again after an end of one kind.
type runClass struct {
	count int
	// least is the shortest gap, of the seed.
	least time.Duration
	seed  uint64
}

// twiceTotal has the counts of all plays.
type twiceTotal struct {
	mu      sync.Mutex
	classes map[string]*runClass
}

func (n *twiceTotal) add(class string, seed uint64, gap time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.classes[class]
	if c == nil {
		c = &runClass{least: gap, seed: seed}
		n.classes[class] = c
	}
	c.count++
	if gap < c.least {
		c.least, c.seed = gap, seed
	}
}

// report logs the counts. It fails if no task was started again by the same owner, or none by
// another one, since the test shows nothing then.
func (n *twiceTotal) report(t *testing.T) {
	var names []string
	same, other := 0, 0
	for name, c := range n.classes {
		names = append(names, name)
		if strings.Contains(name, "same owner") {
			same += c.count
		} else {
			other += c.count
		}
	}
	slices.Sort(names)
	t.Logf("tasks started again: %d by the same owner, %d by another one", same, other)
	for _, name := range names {
		c := n.classes[name]
		t.Logf("%6d  least gap %12v (seed %d)  %s", c.count, c.least, c.seed, name)
	}
	if os.Getenv(twiceSeedVariable) == "" && (same == 0 || other == 0) {
		t.Error("no task was started again by the same owner, or none by another one: the test is inconclusive")
	}
}
