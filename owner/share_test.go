package owner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"rackspur/config"
	"rackspur/gate"
	"rackspur/job"
	"rackspur/rowstore"
	"rackspur/share"
)

// shareLoad plays jobs against an owner and stand-ins of gates that run tasks in the
// order of their ranks, for as long as estimated. Arrivals are drawn from a seed.
type shareLoad struct {
	*harness
	random *rand.Rand
	gates  []*loadGate
	// jobs counts the submitted jobs.
	jobs int
	// slow is by how much the tasks of a job run longer than estimated, where they do.
	slow  map[job.ID]int
	tally map[string]*shareTally
}

// loadGate is a stand-in of a gate with a target of 16 cores.
type loadGate struct {
	name     string
	link     uint64
	received uint64
	queue    []gate.Order
	running  map[job.RunName]runningTask
}

type runningTask struct {
	need job.Resources
	ends Time
}

// shareTally sums up the jobs of a stream.
type shareTally struct {
	jobs, refused int
	work, inTime  float64
}

// stream is a stream of equal best-effort jobs with an objective of 1.6 times their
// estimate and some milliseconds.
type stream struct {
	queue    string
	tasks    int
	estimate time.Duration
	// target is the fixed part of the objective, 60 ms by default.
	target    time.Duration
	priority  int
	perSecond float64
	slow      int
}

// name distinguishes the streams of one queue.
func (s stream) name() string { return fmt.Sprintf("%s/%d", s.queue, s.tasks) }

// loadGates gates of 5 tasks each: they hold 20 tasks at a time.
const loadGates = 4

func newShareLoad(t *testing.T, fair bool, seed uint64) *shareLoad {
	l := &shareLoad{harness: newHarness(t), random: rand.New(rand.NewPCG(seed, 1)), slow: map[job.ID]int{}, tally: map[string]*shareTally{}}
	options := l.owner.options
	options.Decisions.FairShares = fair
	l.owner = New(options, l.writer)
	l.owner.RenewLease(time.Hour)
	l.owner.random = rand.New(rand.NewPCG(seed, 2))
	for i := range loadGates {
		name := fmt.Sprintf("gate-%d", i)
		l.gates = append(l.gates, &loadGate{name: name, link: l.connect(name), running: map[job.RunName]runningTask{}})
	}
	return l
}

// run plays streams for a time, and checks the order of the waiting tasks.
func (l *shareLoad) run(duration time.Duration, streams ...stream) {
	l.t.Helper()
	const step = time.Millisecond
	for end := l.now + duration; l.now < end; l.now += step {
		for _, g := range l.gates {
			l.exchange(g)
		}
		for _, s := range streams {
			for expected := s.perSecond * step.Seconds(); expected > 0; expected-- {
				if l.random.Float64() < expected {
					l.submitFrom(s)
				}
			}
		}
		if l.now%(5*time.Millisecond) != 0 {
			continue
		}
		l.owner.Tick()
		for i := range l.owner.waiting.items {
			if i > 0 && l.owner.waiting.items.Less(i, (i-1)/2) {
				l.t.Fatal("the order of the waiting tasks has changed within the queue")
			}
		}
	}
}

func (s stream) submission(id int) job.Submission {
	if s.target == 0 {
		s.target = 60 * time.Millisecond
	}
	return job.Submission{
		ID: job.ID(fmt.Sprintf("%016x", id)), Spec: "spec", BestEffort: true,
		Queue: job.Queue{Name: s.queue, Service: testService, Priority: s.priority, Attempts: 2, Stretch: 1.6, TargetLatencyMS: int(s.target.Milliseconds())},
		Steps: []job.Step{{Count: s.tasks, Need: job.Resources{CPU: 2750, Memory: 64}, EstimateMS: int(s.estimate.Milliseconds())}},
	}
}

func (l *shareLoad) submitFrom(s stream) {
	l.jobs++
	submission := s.submission(l.jobs)
	if s.slow > 0 {
		l.slow[submission.ID] = s.slow
	}
	j := newLiveJob(job.Record{Submission: submission}, l.now)
	n := l.tally[s.name()]
	if n == nil {
		n = &shareTally{}
		l.tally[s.name()] = n
	}
	n.jobs++
	n.work += j.work()
	l.owner.RunBestEffort(submission, time.Minute, func(r BestEffortResult) {
		switch {
		case r.Refused:
			n.refused++
		case r.State == job.StateCompleted && l.now <= j.objective:
			n.inTime += j.work()
		}
	})
}

// exchange ends and starts runs at a gate and exchanges a frame in both directions.
func (l *shareLoad) exchange(g *loadGate) {
	var states []gate.RunState
	f := l.flush(g.name, g.link)
	g.received = f.Sequence
	for _, stop := range f.Stops {
		queued := len(g.queue)
		g.queue = slices.DeleteFunc(g.queue, func(o gate.Order) bool { return o.Name == stop })
		if _, ok := g.running[stop]; ok || len(g.queue) < queued {
			delete(g.running, stop)
			states = append(states, gate.RunState{Name: stop, End: gate.EndStopped})
		}
	}
	g.queue = append(g.queue, f.Starts...)
	slices.SortStableFunc(g.queue, func(a, b gate.Order) int { return int(a.Rank - b.Rank) })
	capacity := testReport().Capacity
	free := capacity
	for name, r := range g.running {
		if l.now >= r.ends {
			states = append(states, gate.RunState{Name: name, End: gate.EndDone, Ran: time.Millisecond})
			delete(g.running, name)
			continue
		}
		free = free.Minus(r.need)
	}
	for len(g.queue) > 0 && free.Fits(g.queue[0].Need) {
		o := g.queue[0]
		g.queue = g.queue[1:]
		g.running[o.Name] = runningTask{need: o.Need, ends: l.now + o.Estimate*time.Duration(max(1, l.slow[o.Name.Job]))}
		free = free.Minus(o.Need)
	}
	queued := job.Resources{}
	for i := 0; i < len(g.queue); i++ {
		if queued.CPU > capacity.CPU*gate.QueueShare/1000 {
			for _, o := range g.queue[i:] {
				states = append(states, gate.RunState{Name: o.Name, End: gate.EndRejected, Reason: gate.ReasonFull})
			}
			g.queue = g.queue[:i]
			break
		}
		queued = queued.Plus(g.queue[i].Need)
	}
	slices.SortFunc(states, func(a, b gate.RunState) int { return compareRuns(a.Name, b.Name) })
	r := testReport()
	r.Free = free
	r.Queued = queued
	l.owner.OnFrame(g.name, g.link, gate.Frame{Clock: l.now, Received: g.received, Report: r, States: states})
}

func compareRuns(a, b job.RunName) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Index != b.Index:
		return a.Index - b.Index
	}
	return a.Run - b.Run
}

// play lets the load settle, counts the jobs of a time and waits for their ends.
func (l *shareLoad) play(duration time.Duration, streams ...stream) {
	l.t.Helper()
	l.run(4*time.Second, streams...)
	l.tally = map[string]*shareTally{}
	l.run(duration, streams...)
	counted := l.tally
	l.tally = map[string]*shareTally{}
	l.run(2 * time.Second)
	l.tally = counted
}

// served returns the share of the work that was served in time, of a stream or of all.
func (l *shareLoad) served(streams ...stream) float64 {
	sum := shareTally{}
	for _, s := range streams {
		n := l.tally[s.name()]
		sum.work += n.work
		sum.inTime += n.inTime
	}
	return sum.inTime / sum.work
}

// compare plays the same streams without and with fair shares.
func compare(t *testing.T, seed uint64, duration time.Duration, streams ...stream) (without, with *shareLoad) {
	t.Helper()
	without, with = newShareLoad(t, false, seed), newShareLoad(t, true, seed)
	for _, l := range []*shareLoad{without, with} {
		l.play(duration, streams...)
	}
	for _, s := range streams {
		t.Logf("seed %d, %s: %.3f without, %.3f with; of all %.3f and %.3f", seed, s.name(), without.served(s), with.served(s), without.served(streams...), with.served(streams...))
	}
	t.Logf("lifted jobs: %d", with.owner.Stats().ShareLifted)
	return without, with
}

// maxShort is how much worse a class may be served than all classes under a load that a step
// of priorityStep can even out.
const (
	maxShort = 0.1
	// cost is how much less work in total may be served with fair shares.
	cost = 0.02
)

// A burst of one queue must not push out queues whose jobs are due later: those with
// longer tasks and those with a later objective.
func TestSharesInBurst(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for name, streams := range map[string][]stream{
		"longer tasks": {
			{queue: "burst", tasks: 2, estimate: 60 * ms, perSecond: 2.4 * 65},
			{queue: "longer", tasks: 2, estimate: 180 * ms, perSecond: 22},
		},
		"later objectives": {
			{queue: "burst", tasks: 2, estimate: 100 * ms, perSecond: 2.4 * 28},
			{queue: "later", tasks: 2, estimate: 100 * ms, perSecond: 28, target: 110 * ms},
			{queue: "latest", tasks: 2, estimate: 100 * ms, perSecond: 28, target: 140 * ms},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				without, with := compare(t, seed, 10*time.Second, streams...)
				last := streams[len(streams)-1]
				if short := without.served(streams...) - without.served(last); short < 1.3*maxShort {
					t.Errorf("without shares %s is served only %.3f worse than all: the load shows nothing", last.queue, short)
				}
				for _, s := range streams[1:] {
					if short := with.served(streams...) - with.served(s); short > maxShort {
						t.Errorf("%s is served %.3f worse than all", s.queue, short)
					}
				}
				if less := without.served(streams...) - with.served(streams...); less > cost {
					t.Errorf("fair shares serve %.3f less", less)
				}
			}
		})
	}
}

// Wide jobs must not be pushed out by many narrow ones of the same queue.
func TestSharesOfWideJobs(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	narrow := stream{queue: "queue", tasks: 1, estimate: 60 * ms, perSecond: 380}
	wide := stream{queue: "queue", tasks: 12, estimate: 150 * ms, perSecond: 5}
	for seed := range uint64(2) {
		without, with := compare(t, seed, 10*time.Second, narrow, wide)
		if without.served(wide) > 0.2 {
			t.Errorf("without shares %.3f of the wide jobs' work is served: the load shows nothing", without.served(wide))
		}
		if with.served(wide) < 2*without.served(wide) || with.served(wide) < 0.3 {
			t.Errorf("%.3f of the wide jobs' work is served, %.3f without shares", with.served(wide), without.served(wide))
		}
		if less := without.served(narrow, wide) - with.served(narrow, wide); less > cost {
			t.Errorf("fair shares serve %.3f less", less)
		}
	}
}

// Where no class is served worse than the others, the order and so every result must be as
// without shares: a queue alone, equal demand of all queues, and no overload.
func TestSharesChangeNothing(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	equal := func(perSecond float64) []stream {
		var streams []stream
		for _, queue := range []string{"a", "b", "c"} {
			streams = append(streams, stream{queue: queue, tasks: 2, estimate: 100 * ms, perSecond: perSecond})
		}
		return streams
	}
	for name, streams := range map[string][]stream{
		"alone":                  {{queue: "queue", tasks: 2, estimate: 100 * ms, perSecond: 150}},
		"equal demand":           equal(28),
		"equal demand, overload": equal(50),
		"uneven queues, no overload": {
			{queue: "burst", tasks: 2, estimate: 60 * ms, perSecond: 65},
			{queue: "longer", tasks: 2, estimate: 180 * ms, perSecond: 12},
		},
	} {
		t.Run(name, func(t *testing.T) {
			without, with := compare(t, 1, 4*time.Second, streams...)
			for _, s := range streams {
				if a, b := *without.tally[s.name()], *with.tally[s.name()]; a != b {
					t.Errorf("%s: %+v without, %+v with shares", s.name(), a, b)
				}
			}
			if n := with.owner.Stats().ShareLifted; n > 0 {
				t.Errorf("%d jobs were lifted", n)
			}
		})
	}
}

// A queue whose jobs can't end in time at all must not be lifted at the others' expense:
// its tasks run three times as long as estimated.
func TestSharesOfHopelessQueue(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	others := stream{queue: "others", tasks: 2, estimate: 100 * ms, perSecond: 90}
	hopeless := stream{queue: "hopeless", tasks: 2, estimate: 100 * ms, perSecond: 8, slow: 3}
	for seed := range uint64(2) {
		without, with := compare(t, seed, 10*time.Second, others, hopeless)
		if without.served(hopeless) > 0 {
			t.Fatal("jobs ended in time")
		}
		if less := without.served(others) - with.served(others); less > cost {
			t.Errorf("the others are served %.3f less for a queue that gains nothing", less)
		}
	}
}

// A queue that is below its share gains on one of a higher priority by no more than one
// step: the higher priority stays the one that is served better.
func TestSharesKeepPriorities(t *testing.T) {
	const ms = time.Millisecond
	high := stream{queue: "high", tasks: 2, estimate: 100 * ms, perSecond: 85}
	low := stream{queue: "low", tasks: 2, estimate: 100 * ms, perSecond: 30, priority: 1}
	without, with := compare(t, 1, 4*time.Second, high, low)
	if without.served(low) > without.served(high)-0.3 {
		t.Error("the lower priority loses little: the load shows nothing")
	}
	if with.served(high) < with.served(high, low) {
		t.Error("the lower priority is served better")
	}
	if less := without.served(high, low) - with.served(high, low); less > cost {
		t.Errorf("fair shares serve %.3f less", less)
	}

	l := underserved(t, "low")
	first := l.add(low)
	second := l.add(high)
	if first.share.step != priorityStep {
		t.Fatalf("step %v, want the largest", first.share.step)
	}
	if first.before(second) {
		t.Error("a job of a lower priority goes before one that is due at the same time")
	}
}

// underserved returns an owner with full gates and waiting tasks whose accounts say that
// none of a queue's work was served and all of another's.
func underserved(t *testing.T, queue string) *shareLoad {
	l := newShareLoad(t, true, 1)
	for _, g := range l.gates {
		l.fill(g.name, g.link)
	}
	l.add(stream{queue: "other", tasks: 1, estimate: 100 * time.Millisecond})
	for range 100 {
		other := share.Job{Class: share.Class{Service: testService, Queue: "other"}, Work: 1000}
		l.owner.shares.Arrived(l.now, other, 5500)
		l.owner.shares.Refused(l.now, share.Job{Class: share.Class{Service: testService, Queue: queue}, Work: 100}, 5500)
	}
	return l
}

// add submits a job and returns it, nil if it was refused.
func (l *shareLoad) add(s stream) *liveJob {
	l.jobs++
	submission := s.submission(l.jobs)
	l.owner.RunBestEffort(submission, time.Minute, func(BestEffortResult) {})
	return l.owner.jobs[submission.ID]
}

// A class below its share goes before others, is admitted where others are refused, and
// its tasks are sent with an earlier rank.
func TestLiftedJob(t *testing.T) {
	const ms = time.Millisecond
	plain := stream{queue: "other", tasks: 2, estimate: 100 * ms}
	lifted := stream{queue: "lifted", tasks: 2, estimate: 100 * ms}
	l := underserved(t, "lifted")
	for l.add(plain) != nil {
	}
	if l.owner.shares.Served(l.now, share.Class{Service: testService, Queue: "other"}).Ratio == 1 {
		t.Error("the refused job does not count as lost")
	}
	j := l.add(lifted)
	if j == nil {
		t.Fatal("a job of a class below its share was refused like the others")
	}
	if first := l.owner.waiting.items[0].job; first != j {
		t.Error("its tasks are not the first")
	}
	v := l.owner.gates["gate-0"]
	unlifted := *j
	unlifted.share.step = 0
	unlifted.setUrgency()
	rank, before := l.owner.rank(l.now, v, j.tasks[0]), l.owner.rank(l.now, v, &task{job: &unlifted})
	if before-rank != priorityStep.Microseconds() {
		t.Errorf("rank earlier by %d us, want %d", before-rank, priorityStep.Microseconds())
	}
	if n := l.owner.Stats().ShareLifted; n != 1 {
		t.Errorf("%d jobs counted as lifted, want 1", n)
	}
	l.now = j.startBy + ms
	j.placed = true
	l.owner.Tick()
	if late := l.add(plain); late == nil || !late.before(j) {
		t.Error("a lifted job that is late goes before one that is in time")
	}
}

// A durable job is lifted in admission control and in the order alike, and counts once.
func TestLiftedDurableJob(t *testing.T) {
	l := underserved(t, "lifted")
	submission := stream{queue: "lifted", tasks: 2, estimate: 100 * time.Millisecond}.submission(99)
	submission.BestEffort = false
	l.owner.Submit(submission, func(SubmitResult) {})
	j := l.owner.jobs[submission.ID]
	if j == nil || j.share.step != priorityStep || !j.share.counted || l.owner.Stats().ShareLifted != 1 {
		t.Fatalf("job %+v, %d lifted", j, l.owner.Stats().ShareLifted)
	}
}

// A durable job that is refused counts as lost; one that isn't this owner's, or that the
// store did not take, doesn't count.
func TestDurableJobsCount(t *testing.T) {
	durable := func(id int) job.Submission {
		s := stream{queue: "queue", tasks: 2, estimate: 100 * time.Millisecond}.submission(id)
		s.BestEffort = false
		return s
	}
	l := newShareLoad(t, true, 1)
	for i, outcome := range []error{rowstore.ErrConflict, errors.New("the store is down")} {
		l.owner.Submit(durable(i), func(SubmitResult) {})
		l.writer.take()[0].Done(rowstore.Outcome{}, outcome)
	}
	class := share.Class{Service: testService, Queue: "queue"}
	l.owner.shares.Refused(l.now, share.Job{Class: class, Work: 550}, 5500)
	if got := l.owner.shares.Served(l.now, class).Ratio; got > 0.001 {
		t.Errorf("served ratio %.3f: jobs that were not taken count as served", got)
	}
	for _, g := range l.gates {
		l.fill(g.name, g.link)
	}
	result := SubmitResult(0)
	for id := 10; result != SubmitRefused; id++ {
		before := l.owner.shares.Served(l.now, class)
		l.owner.Submit(durable(id), func(r SubmitResult) { result = r })
		for _, w := range l.writer.take() {
			w.Done(rowstore.Outcome{}, nil)
		}
		if after := l.owner.shares.Served(l.now, class); result == SubmitRefused && after.Ratio >= before.Ratio {
			t.Errorf("served ratio %.3f after a refusal, %.3f before", after.Ratio, before.Ratio)
		}
	}
}

// Shares bind only while tasks wait: without competition a class below its share is
// ordered as before.
func TestNoLiftWithoutWaiting(t *testing.T) {
	l := underserved(t, "lifted")
	for _, g := range l.gates {
		l.owner.OnFrame(g.name, g.link, gate.Frame{Clock: l.now, Report: testReport()})
	}
	if n := l.owner.waiting.len(); n > 0 {
		t.Fatalf("%d tasks wait", n)
	}
	if j := l.add(stream{queue: "lifted", tasks: 2, estimate: 100 * time.Millisecond}); j.share.step != 0 {
		t.Errorf("step %v", j.share.step)
	}
}

// A job whose steps run one after the other is as wide as its widest step: it needs no more
// capacity at one time. Steps that may run beside each other add up.
func TestWideBySteps(t *testing.T) {
	l := newShareLoad(t, true, 1)
	s := stream{queue: "queue", tasks: 1, estimate: 100 * time.Millisecond}
	for range 4 {
		l.add(s)
	}
	for _, c := range []struct {
		name  string
		after []int
		wide  bool
	}{{"in sequence", []int{0}, false}, {"in parallel", nil, true}} {
		submission := s.submission(0)
		step := submission.Steps[0]
		for i := range 2 {
			step.After = nil
			for _, a := range c.after {
				step.After = []int{a + i}
			}
			submission.Steps = append(submission.Steps, step)
		}
		j := newLiveJob(job.Record{Submission: submission}, l.now)
		l.owner.setShare(l.now, j)
		if got := j.share.job.Class.Wide; got != c.wide {
			t.Errorf("steps %s: wide %v", c.name, got)
		}
	}
}

// What counts in the accounts, by how a job goes.
func TestWhatCounts(t *testing.T) {
	const ms = time.Millisecond
	s := stream{queue: "queue", tasks: 2, estimate: 100 * ms}
	// Each job arrives while the gates are full, or free.
	for _, c := range []struct {
		name string
		full bool
		// change changes the submission, go plays what happens to the job.
		change func(*job.Submission)
		play   func(*shareLoad, *liveJob)
		// requested and lost say whether the job's work counts.
		requested, lost bool
	}{
		{name: "under way", requested: true, play: func(*shareLoad, *liveJob) {}},
		{name: "ends in time", requested: true, play: func(l *shareLoad, _ *liveJob) { l.run(150 * ms) }},
		{name: "refused without a placed task", full: true, requested: true, lost: true, play: func(l *shareLoad, _ *liveJob) { l.pass(60 * ms) }},
		{name: "late after waiting", full: true, requested: true, lost: true, play: func(l *shareLoad, j *liveJob) {
			j.placed = true
			l.pass(230 * ms)
		}},
		{name: "late and ended after waiting", full: true, requested: true, lost: true, play: func(l *shareLoad, j *liveJob) {
			j.placed = true
			l.pass(200 * ms)
			l.run(150 * ms)
		}},
		{name: "late without waiting", play: func(l *shareLoad, j *liveJob) {
			l.slow[j.record.ID] = 3
			l.run(400 * ms)
		}},
		{name: "late without waiting or slack", change: func(s *job.Submission) { s.Queue.Stretch, s.Queue.TargetLatencyMS = 1, 0 }, play: func(l *shareLoad, j *liveJob) {
			l.slow[j.record.ID] = 3
			l.run(400 * ms)
		}},
		{name: "refused after its gates were closed", full: true, play: func(l *shareLoad, _ *liveJob) {
			l.report(func(r *gate.Report) { r.Open, r.Evacuated = false, true })
			l.pass(60 * ms)
		}},
		{name: "late after its gates were closed", full: true, play: func(l *shareLoad, j *liveJob) {
			j.placed = true
			l.report(func(r *gate.Report) { r.Open, r.Evacuated = false, true })
			l.pass(230 * ms)
		}},
		{name: "caller leaves in time", full: true, play: func(l *shareLoad, j *liveJob) { l.owner.RemoveCaller(j.record.ID, j.callers[0].ticket) }},
		{name: "caller leaves late", full: true, requested: true, lost: true, play: func(l *shareLoad, j *liveJob) {
			j.placed = true
			l.pass(230 * ms)
			l.owner.RemoveCaller(j.record.ID, j.callers[0].ticket)
		}},
		{name: "patience of the caller ends after waiting", full: true, requested: true, lost: true, play: func(l *shareLoad, j *liveJob) {
			j.placed = true
			j.deadline = l.now + 150*ms
			l.pass(160 * ms)
		}},
		{name: "cancelled", play: func(l *shareLoad, j *liveJob) { l.owner.Cancel(j.record.ID, func(bool) {}) }},
		{name: "owner was isolated", full: true, play: func(l *shareLoad, j *liveJob) {
			l.owner.lastContact = -time.Hour
			l.owner.Tick()
		}},
		{name: "fits no target", change: func(s *job.Submission) { s.Steps[0].Need.CPU = 20000 }, play: func(*shareLoad, *liveJob) {}},
		{name: "fits not at once", change: func(s *job.Submission) { s.Steps[0].Count = 21 }, play: func(*shareLoad, *liveJob) {}},
		{name: "no target with the label", change: func(s *job.Submission) { s.Steps[0].Label = "none" }, play: func(*shareLoad, *liveJob) {}},
		{name: "no CPU", change: func(s *job.Submission) { s.Steps[0].Need.CPU = 0 }, play: func(*shareLoad, *liveJob) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newShareLoad(t, true, 1)
			if c.full {
				for _, g := range l.gates {
					l.fill(g.name, g.link)
				}
			}
			submission := s.submission(1)
			if c.change != nil {
				c.change(&submission)
			}
			l.owner.RunBestEffort(submission, time.Minute, func(BestEffortResult) {})
			c.play(l, l.owner.jobs[submission.ID])
			// With a known job beside it, the ratio tells what the first one added.
			class := share.Class{Service: testService, Queue: "queue"}
			l.owner.shares.Refused(l.now, share.Job{Class: class, Work: 550}, 5500)
			served := l.owner.shares.Served(l.now, class)
			// One lost job alone is not judged, two are.
			requested := served.Ratio > 0.4 || served.Judged < 0.6
			lost := served.Judged < 0.6
			if requested != c.requested || lost != c.lost {
				t.Errorf("%+v: requested %v, lost %v; want %v and %v", served, requested, lost, c.requested, c.lost)
			}
		})
	}
}

// pass lets time pass without frames.
func (l *shareLoad) pass(d time.Duration) {
	for end := l.now + d; l.now < end; l.now += 5 * time.Millisecond {
		l.owner.noteContact(l.now)
		l.owner.Tick()
	}
}

// report sends a changed report of each gate.
func (l *shareLoad) report(change func(*gate.Report)) {
	for _, g := range l.gates {
		r := testReport()
		change(&r)
		l.owner.OnFrame(g.name, g.link, gate.Frame{Clock: l.now, Report: r})
	}
}

// A refusal by an operator's policy or by an owner that has stopped says nothing about
// shares.
func TestRefusalsThatDontCount(t *testing.T) {
	l := newShareLoad(t, true, 1)
	l.owner.Stop()
	l.add(stream{queue: "queue", tasks: 1, estimate: 100 * time.Millisecond})
	if all := l.owner.ShareStats().Served; all != 1000 {
		t.Errorf("served %d after a refusal by a stopped owner", all)
	}
	b := newPolicyHarness(t, config.Policies{Admit: fewTasks})
	b.owner.shares = share.New(priorityStep)
	b.connect("gate-1")
	if r := b.submit(1, 5); r == nil || !r.Refused {
		t.Fatal("not refused")
	}
	if all := b.owner.ShareStats().Served; all != 1000 {
		t.Errorf("served %d after a refusal by a policy", all)
	}
}

// After a restart of the owner all classes start even.
func TestSharesAfterRestart(t *testing.T) {
	lifted := stream{queue: "lifted", tasks: 2, estimate: 100 * time.Millisecond}
	before := underserved(t, "lifted")
	if j := before.add(lifted); j.share.step == 0 {
		t.Fatal("not lifted before the restart")
	}
	after := newShareLoad(t, true, 1)
	for _, g := range after.gates {
		after.fill(g.name, g.link)
	}
	after.add(stream{queue: "other", tasks: 1, estimate: 100 * time.Millisecond})
	if j := after.add(lifted); j.share.step != 0 {
		t.Errorf("step %v", j.share.step)
	}
	if st := after.owner.ShareStats(); st.Worst != 1000 || st.Served != 1000 {
		t.Errorf("served %d, worst %d", st.Served, st.Worst)
	}
}

// Operators see which classes are lifted, at most a few lines a second, and a refused
// job's served ratio; without the setting the line is as before.
func TestShareLogLines(t *testing.T) {
	lines := map[bool][]string{}
	for _, fair := range []bool{false, true} {
		l := newShareLoad(t, fair, 1)
		l.owner.log = funcr.New(func(_, args string) { lines[fair] = append(lines[fair], args) }, funcr.Options{})
		l.run(6*time.Second, stream{queue: "burst", tasks: 2, estimate: 60 * time.Millisecond, perSecond: 160},
			stream{queue: "longer", tasks: 2, estimate: 180 * time.Millisecond, perSecond: 22})
		l.run(20*time.Second, stream{queue: "burst", tasks: 2, estimate: 60 * time.Millisecond, perSecond: 20})
	}
	count := func(fair bool, part string) (n int) {
		for _, line := range lines[fair] {
			if strings.Contains(line, part) {
				n++
			}
		}
		return n
	}
	begun, ended := count(true, "Class of jobs is below its share."), count(true, "Class of jobs is no longer below its share.")
	if begun == 0 || begun != ended || begun > 6 {
		t.Errorf("%d lines on begun and %d on ended lifts within 6 s of overload", begun, ended)
	}
	if n := count(true, "Job refused."); n == 0 || n != count(true, `"servedRatio"=`)-begun-ended {
		t.Errorf("%d of %d lines on refused jobs have the ratio", count(true, `"servedRatio"=`)-begun-ended, n)
	}
	if n := count(false, "servedRatio") + count(false, "Class of jobs"); n > 0 {
		t.Errorf("%d lines on shares without the setting", n)
	}
}
