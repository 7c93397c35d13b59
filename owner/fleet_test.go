package owner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/loadview"
	"rackspur/speed"
)

// fleetLoad is a load for several owners that share simulated gates.
type fleetLoad struct {
	// slowness has the ratio of run time to estimate of each target.
	slowness []float64
	// factor scales the arrival rates; 1 is half of the capacity of targets of slowness 1.
	factor float64
	// longTail is the share of tasks that take seven times as long.
	longTail float64
	owners   int
	lasts    time.Duration
	placing  Decisions
	seed     uint64
	// restartAt is when the processes of all gates restart and forget how fast their targets are.
	restartAt Time
	// reportPause is the shortest time between two frames with only a report.
	reportPause time.Duration
	// rate scales the arrivals of a queue at a time, entry chooses the owner of a job, given one
	// that was drawn; nil for a constant rate and for the drawn owner.
	rate  func(at Time, queue string) float64
	entry func(at Time, drawn int) int
}

// fleetResult counts the jobs of a load that arrived after the first second.
type fleetResult struct {
	jobs, late, refused int
	// lateByQueue has the late jobs of each queue.
	lateByQueue map[string]int
	slow, held  int64
	// use is the share of its time that the core of a target is in use, by target.
	use      []float64
	rejected int64
	// worth is what the jobs were worth: 1 in time, a fifth late, nothing after three
	// objectives.
	worth float64
	// admittedByView and refusedByView count the decisions that the shared view has changed.
	admittedByView, refusedByView int64
}

// lostShare returns the share of the jobs that were late or refused.
func (r fleetResult) lostShare() float64 { return float64(r.late+r.refused) / float64(max(1, r.jobs)) }

// meanWorth returns the mean worth of a job.
func (r fleetResult) meanWorth() float64 { return r.worth / float64(max(1, r.jobs)) }

func (r fleetResult) String() string {
	return fmt.Sprintf("%d jobs, worth %.3f, late %d %v (%.3f), refused %d, placed slow %d, held %d, rejected %d, admitted by view %d, refused by view %d, use %.2f",
		r.jobs, r.meanWorth(), r.late, r.lateByQueue, r.lostShare(), r.refused, r.slow, r.held, r.rejected, r.admittedByView, r.refusedByView, r.use)
}

// fleetQueues are the queues of docs/design/decisions-under-load.md, for targets with as many
// cores together as 12 of 40.
var fleetQueues = []struct {
	queue    job.Queue
	rate     float64
	tasks    int
	estimate int
}{
	{job.Queue{Name: "wide", Priority: 0}, 38, 8, 55},
	{job.Queue{Name: "long", Priority: 2}, 7, 4, 830},
	{job.Queue{Name: "narrow", Priority: 1}, 112, 2, 185},
}

const (
	fleetCores = 40000
	fleetNeed  = 2750
	// fleetLatency is the time of a frame on its way.
	fleetLatency = 2 * time.Millisecond
	// fleetBeat is the longest time between two frames of an owner to a gate with runs of it,
	// fleetIdleBeat to another gate (package peer).
	fleetBeat, fleetIdleBeat = 250 * time.Millisecond, 2 * time.Second
)

// simRun is a run at a simulated gate.
type simRun struct {
	owner int
	order gate.Order
	ends  Time
	ran   time.Duration
}

// simGate is a simulated gate with its target.
type simGate struct {
	name     string
	slowness float64
	window   speed.Window
	smoothed float64
	running  []*simRun
	queued   []*simRun
	states   [][]gate.RunState
	received []uint64
	// reported is when each owner was last sent a frame, heard when it has sent one.
	reported, heard []Time
	// load is the owners' waiting work, as in gate.Gate.
	load loadview.Table
	busy float64
	// measured is the slowness that is reported at the time measuredAt.
	measured   float64
	measuredAt Time
}

// simFleet plays a load in steps of one millisecond.
type simFleet struct {
	load fleetLoad
	// arrivals and runs draw the jobs and the run times.
	arrivals, runs *rand.Rand
	now            Time
	owners         []*Owner
	gates          []*simGate
	later          map[Time][]func()
	result         fleetResult
}

func playFleet(t *testing.T, l fleetLoad) fleetResult {
	t.Helper()
	f := &simFleet{load: l, arrivals: rand.New(rand.NewPCG(l.seed, 0)), runs: rand.New(rand.NewPCG(l.seed, 1)), now: time.Second, later: map[Time][]func(){}}
	f.result.lateByQueue = map[string]int{}
	for i := range l.owners {
		o := New(Options{
			Incarnation: fmt.Sprintf("entry~%d", i), Parts: 1, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond,
			Lease: time.Second, KeepFinished: time.Minute, Log: logr.Discard(), Decisions: l.placing,
			Now: func() Time { return f.now }, WallClock: func() time.Time { return time.Unix(1700000000, 0) },
		}, &fakeWriter{})
		o.random = rand.New(rand.NewPCG(l.seed, uint64(i)+2))
		o.SetOwners(l.owners)
		f.owners = append(f.owners, o)
	}
	if f.load.reportPause == 0 {
		f.load.reportPause = 30 * time.Millisecond
	}
	for i, slowness := range l.slowness {
		g := &simGate{name: fmt.Sprintf("gate-%02d", i), slowness: slowness, states: make([][]gate.RunState, l.owners), received: make([]uint64, l.owners), reported: make([]Time, l.owners), heard: make([]Time, l.owners)}
		f.gates = append(f.gates, g)
		for _, o := range f.owners {
			o.AddGate(g.name, "zone-a")
			o.LinkUp(g.name, 1, nil)
			g.load.Link(o.options.Incarnation)
			o.OnFrame(g.name, 1, gate.Frame{Clock: f.now, Report: g.report(f.now), Inventory: true})
		}
	}
	end := f.now + l.lasts
	for f.now < end || (f.jobsLeft() && f.now < end+10*time.Second) {
		f.now += time.Millisecond
		f.step(f.now < end)
	}
	for _, o := range f.owners {
		s := o.Stats()
		f.result.slow += s.PlacedSlow
		f.result.held += s.HeldForSpeed
		f.result.rejected += s.Rejected
		f.result.admittedByView += s.AdmittedByView
		f.result.refusedByView += s.RefusedByView
		if n := o.LiveJobs(); n != 0 {
			t.Errorf("%d jobs left at %s", n, o.options.Incarnation)
		}
	}
	for _, g := range f.gates {
		f.result.use = append(f.result.use, g.busy/fleetCores/l.lasts.Seconds())
	}
	return f.result
}

// jobsLeft reports whether a job has not ended.
func (f *simFleet) jobsLeft() bool {
	return slices.ContainsFunc(f.owners, func(o *Owner) bool { return o.LiveJobs() > 0 })
}

func (f *simFleet) step(arrivals bool) {
	for _, do := range f.later[f.now] {
		do()
	}
	delete(f.later, f.now)
	for _, g := range f.gates {
		if f.now == f.load.restartAt {
			g.window.Reset()
			g.smoothed = 0
		}
	}
	for _, q := range fleetQueues {
		p := f.load.factor * q.rate / 1000
		if f.load.rate != nil {
			p *= f.load.rate(f.now, q.queue.Name)
		}
		for ; arrivals && f.arrivals.Float64() < p; p-- {
			f.submit(q.queue, q.tasks, q.estimate)
		}
	}
	for _, g := range f.gates {
		f.endRuns(g)
		f.startRuns(g)
	}
	for i, o := range f.owners {
		if (f.now.Milliseconds()+int64(3*i))%10 == 0 {
			o.Tick()
		}
		for _, g := range f.gates {
			f.exchange(i, o, g)
		}
	}
}

func (f *simFleet) submit(q job.Queue, tasks, estimate int) {
	q.Service, q.Attempts, q.Stretch, q.TargetLatencyMS = testService, 2, 1.6, 60
	f.result.jobs++
	arrived := f.now
	objective := time.Duration(1.6*float64(estimate)+60) * time.Millisecond
	counts := arrived >= 2*time.Second
	if !counts {
		f.result.jobs--
	}
	s := job.Submission{
		ID: job.ID(fmt.Sprintf("%016x", f.arrivals.Uint64())), Spec: "spec", BestEffort: true, Queue: q,
		Steps: []job.Step{{Count: tasks, Need: job.Resources{CPU: fleetNeed, Memory: 1}, EstimateMS: estimate}},
	}
	entry := f.arrivals.IntN(len(f.owners))
	if f.load.entry != nil {
		entry = f.load.entry(arrived, entry)
	}
	f.owners[entry].RunBestEffort(s, time.Minute, func(r BestEffortResult) {
		switch {
		case !counts:
		case r.Refused:
			f.result.refused++
		case r.State == "" || f.now-arrived > objective:
			f.result.late++
			f.result.lateByQueue[q.Name]++
			if r.State == job.StateCompleted && f.now-arrived <= 3*objective {
				f.result.worth += 0.2
			}
		default:
			f.result.worth++
		}
	})
}

func (g *simGate) used() int { return fleetNeed * len(g.running) }

func (g *simGate) report(now Time) gate.Report {
	if g.measuredAt != now {
		g.measured, g.measuredAt = math.Round(1000*g.window.Slowness(now))/1000, now
	}
	return gate.Report{
		TargetID: g.name, Service: testService, Capacity: job.Resources{CPU: fleetCores, Memory: 1 << 20},
		Free:   job.Resources{CPU: fleetCores - g.used(), Memory: 1 << 20},
		Queued: job.Resources{CPU: fleetNeed * len(g.queued)}, Open: true,
		Slowness: g.smoothed, MedianSlowness: g.measured,
	}
}

func (f *simFleet) endRuns(g *simGate) {
	g.busy += float64(g.used()) / 1000
	g.running = slices.DeleteFunc(g.running, func(r *simRun) bool {
		if f.now < r.ends {
			return false
		}
		g.window.Add(f.now, r.ran, r.order.Estimate)
		ratio := float64(r.ran) / float64(r.order.Estimate)
		if g.smoothed == 0 {
			g.smoothed = ratio
		}
		g.smoothed += 0.15 * (ratio - g.smoothed)
		g.states[r.owner] = append(g.states[r.owner], gate.RunState{Name: r.order.Name, End: gate.EndDone, Ran: r.ran})
		return true
	})
}

func (f *simFleet) startRuns(g *simGate) {
	slices.SortStableFunc(g.queued, func(a, b *simRun) int { return int(a.order.Rank - b.order.Rank) })
	for len(g.queued) > 0 && g.used()+fleetNeed <= fleetCores {
		r := g.queued[0]
		g.queued = g.queued[1:]
		ran := float64(r.order.Estimate) * g.slowness * (0.6 + 0.8*f.runs.Float64())
		if f.runs.Float64() < f.load.longTail {
			ran *= 7
		}
		r.ran = time.Duration(ran)
		r.ends = f.now + r.ran
		g.running = append(g.running, r)
		g.states[r.owner] = append(g.states[r.owner], gate.RunState{Name: r.order.Name, Running: true})
	}
	for len(g.queued) > 1 && g.used()+fleetNeed*len(g.queued) > fleetCores*(1000+gate.QueueShare)/1000 {
		r := g.queued[len(g.queued)-1]
		g.queued = g.queued[:len(g.queued)-1]
		g.states[r.owner] = append(g.states[r.owner], gate.RunState{Name: r.order.Name, End: gate.EndRejected, Reason: gate.ReasonFull})
	}
}

// exchange sends the frames that are due between an owner and a gate.
func (f *simFleet) exchange(i int, o *Owner, g *simGate) {
	v := o.gates[g.name]
	beat := fleetIdleBeat
	if o.Busy(g.name) {
		beat = fleetBeat
	}
	if len(v.starts)+len(v.verdicts)+len(v.stops) > 0 || f.now-g.heard[i] >= beat {
		g.heard[i] = f.now
		frame, _ := o.Flush(g.name, 1)
		f.after(fleetLatency, func() {
			g.received[i] = frame.Sequence
			g.load.Report(f.now, o.options.Incarnation, frame.Waiting)
			for _, order := range frame.Starts {
				g.queued = append(g.queued, &simRun{owner: i, order: order})
			}
		})
	}
	if len(g.states[i]) == 0 && f.now-g.reported[i] < f.load.reportPause {
		return
	}
	g.reported[i] = f.now
	frame := gate.Frame{Clock: f.now, Received: g.received[i], Report: g.report(f.now), States: g.states[i]}
	frame.Report.OthersWaiting = g.load.Others(f.now, o.options.Incarnation)
	g.states[i] = nil
	f.after(fleetLatency, func() { o.OnFrame(g.name, 1, frame) })
}

func (f *simFleet) after(d time.Duration, do func()) { f.later[f.now+d] = append(f.later[f.now+d], do) }

// targets returns the slowness of n targets, every k-th of which is slow.
func targets(n, k int, slow, fast float64) []float64 {
	all := make([]float64, n)
	for i := range all {
		all[i] = fast
		if k > 0 && i%k == 0 {
			all[i] = slow
		}
	}
	return all
}
