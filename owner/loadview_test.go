package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"rackspur/gate"
	"rackspur/job"
)

// testTarget is the id of the target of each gate of a loadFleet.
const testTarget = "i-1"

// loadFleet is a number of owners that are linked to a number of gates, with one clock. The
// targets are full: no task is placed, and all jobs that are admitted wait.
type loadFleet struct {
	t      *testing.T
	now    Time
	owners []*Owner
	gates  []*gate.Gate
	// links has the number of the newest link, 0 if it is down.
	links   map[[2]int]uint64
	counter uint64
	jobs    int
	// silent says which owners exchange no frames: they are cut off, or frozen.
	silent map[int]bool
	// earlierGates and earlierOwners say which processes are of an earlier build.
	earlierGates, earlierOwners map[int]bool
}

func newLoadFleet(t *testing.T, owners, gates int, decisions Decisions) *loadFleet {
	f := &loadFleet{t: t, now: 10 * time.Second, links: map[[2]int]uint64{}, silent: map[int]bool{}, earlierGates: map[int]bool{}, earlierOwners: map[int]bool{}}
	for i := range owners {
		// With a long contact time an isolated owner keeps its best-effort jobs, as it
		// always does with durable ones.
		o := New(Options{
			Incarnation: fmt.Sprintf("entry-%d~1", i), Parts: 1, ContactTimeout: time.Minute, BestEffortContactTimeout: time.Minute, Lease: time.Second,
			KeepFinished: 2 * time.Minute, Log: logr.Discard(), Decisions: decisions,
			Now:       func() Time { return f.now },
			WallClock: func() time.Time { return time.Unix(1700000000, 0) },
		}, &fakeWriter{})
		o.RenewLease(time.Hour)
		o.SetOwners(owners)
		f.owners = append(f.owners, o)
	}
	for range gates {
		f.gates = append(f.gates, f.newGate())
	}
	for o := range owners {
		for g := range gates {
			f.owners[o].AddGate(loadGateName(g), "zone-a")
			f.link(o, g)
		}
	}
	f.exchange()
	f.exchange()
	return f
}

func loadGateName(g int) string { return fmt.Sprintf("gate-%d", g) }

// newGate returns an open gate of a target with 16 cores.
func (f *loadFleet) newGate() *gate.Gate {
	g := gate.New(gate.Options{Node: "gate", Lease: time.Second, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond})
	g.OnHeartbeat(f.now, gate.Heartbeat{Incarnation: gate.Incarnation{ID: testTarget}, Service: testService, Capacity: job.Resources{CPU: 16000, Memory: 32768}, ClockMS: f.now.Milliseconds(), Sequence: 1})
	f.answerHold(g)
	f.answerHold(g)
	return g
}

// answerHold answers a hold of a gate: its target is alive and has no runs.
func (f *loadFleet) answerHold(g *gate.Gate) {
	h := g.NextHold(f.now, 0)
	g.OnHold(f.now, h, gate.Answer{ClockMS: f.now.Milliseconds(), Incarnation: gate.Incarnation{ID: testTarget}}, gate.HoldAnswer{}, nil)
}

func (f *loadFleet) link(o, g int) {
	f.t.Helper()
	f.counter++
	if !f.gates[g].Connect(f.now, f.owners[o].options.Incarnation, f.counter, nil) {
		f.t.Fatalf("gate %d turned owner %d away", g, o)
	}
	f.links[[2]int{o, g}] = f.counter
	f.owners[o].LinkUp(loadGateName(g), f.counter, nil)
	f.fromGate(o, g)
}

func (f *loadFleet) unlink(o, g int) {
	at := [2]int{o, g}
	f.gates[g].Disconnect(f.owners[o].options.Incarnation, f.links[at])
	f.owners[o].LinkDown(loadGateName(g), f.links[at])
	delete(f.links, at)
}

// relink replaces all links.
func (f *loadFleet) relink() {
	for o := range f.owners {
		for g := range f.gates {
			f.unlink(o, g)
			f.link(o, g)
		}
	}
}

// fromGate carries a frame from a gate, which reports that its target is full.
func (f *loadFleet) fromGate(o, g int) {
	link := f.links[[2]int{o, g}]
	frame, ok := f.gates[g].Flush(f.now, f.owners[o].options.Incarnation, link)
	if !ok {
		f.t.Fatalf("no frame from gate %d to owner %d", g, o)
	}
	if f.earlierGates[g] {
		frame.Report.OthersWaiting = nil
	}
	frame.Report.Free = job.Resources{}
	frame.Report.Queued = frame.Report.Capacity
	f.owners[o].OnFrame(loadGateName(g), link, frame)
}

// exchange carries a frame over each link in both directions, those of the owners first.
func (f *loadFleet) exchange() {
	for o := range f.owners {
		for g := range f.gates {
			if link := f.links[[2]int{o, g}]; link != 0 && !f.silent[o] {
				frame, ok := f.owners[o].Flush(loadGateName(g), link)
				if !ok {
					f.t.Fatalf("no frame from owner %d to gate %d", o, g)
				}
				if f.earlierOwners[o] {
					frame.Waiting = nil
				}
				f.gates[g].OnFrame(f.now, f.owners[o].options.Incarnation, link, frame)
			}
		}
	}
	for o := range f.owners {
		for g := range f.gates {
			if f.links[[2]int{o, g}] != 0 && !f.silent[o] {
				f.fromGate(o, g)
			}
		}
	}
}

// pass lets time pass without frames between owners and gates.
func (f *loadFleet) pass(d time.Duration) {
	f.now += d
	for _, g := range f.gates {
		f.answerHold(g)
	}
}

// submit submits a job of 8 tasks of 1.6 cores and 100 ms to an owner and reports whether it
// was admitted. The job may wait about 64 ms.
func (f *loadFleet) submit(o int) (admitted bool) {
	f.jobs++
	admitted = true
	f.owners[o].RunBestEffort(testSubmission(job.ID(fmt.Sprintf("%016x", f.jobs)), 8), time.Minute, func(BestEffortResult) { admitted = false })
	return admitted
}

// submitUntilRefused returns how many jobs in a row an owner admits.
func (f *loadFleet) submitUntilRefused(o int) int {
	for n := range 100 {
		if !f.submit(o) {
			return n
		}
	}
	f.t.Fatal("100 jobs admitted")
	return 0
}

// leave ends all jobs of an owner: their callers have left.
func (f *loadFleet) leave(o int) {
	for id, j := range f.owners[o].jobs {
		for len(j.callers) > 0 {
			f.owners[o].RemoveCaller(id, j.callers[0].ticket)
		}
	}
}

// wait returns how long an owner expects a new job to wait.
func (f *loadFleet) wait(o int) waitEstimate {
	s := testSubmission("ffffffffffffffff", 8)
	j := newLiveJob(job.Record{Submission: s}, f.now)
	j.setUrgency()
	return f.owners[o].figuresOf(f.now, j).wait()
}

func (f *loadFleet) wantWait(o int, want time.Duration, shared bool) {
	f.t.Helper()
	e := f.wait(o)
	// Shares of a job's work are rounded up to 1 core-ms each.
	if rounding := time.Millisecond; e.wait < want-rounding || e.wait > want+rounding || e.shared != shared {
		f.t.Errorf("owner %d expects a wait of %v, shared %v; want %v, %v", o, e.wait, e.shared, want, shared)
	}
}

// With 6 targets of 16 cores, a job is 1,280 core-ms of work for 96 cores.
const (
	testOwners, testGates = 10, 6
	jobWait               = 1280 * time.Second / 96000
)

var (
	sharedLoad = Decisions{SharedLoad: true}
	ownLoad    = Decisions{}
)

// An entry box that has all the clients refuses jobs as if every other box had as many,
// unless it knows better.
func TestOneBoxWithAllClients(t *testing.T) {
	admitted := func(d Decisions) (int, Stats, LoadStats) {
		f := newLoadFleet(t, testOwners, testGates, d)
		n := f.submitUntilRefused(0)
		stats := f.owners[0].Stats()
		if f.owners[0].ownWaiting.known {
			t.Error("reading the counters sums up the waiting work")
		}
		return n, stats, f.owners[0].LoadStats()
	}
	own, ownStats, ownLoadStats := admitted(ownLoad)
	shared, stats, loadStats := admitted(sharedLoad)
	if own != 1 || shared != 5 {
		t.Errorf("%d jobs admitted by the own view and %d by the shared one, want 1 and 5", own, shared)
	}
	if stats.AdmittedByView != 4 || stats.RefusedByView != 0 {
		t.Errorf("%d decisions counted as admitted and %d as refused by the view, want 4 and 0", stats.AdmittedByView, stats.RefusedByView)
	}
	if loadStats != (LoadStats{Own: 5 * 1280}) {
		t.Errorf("waiting work %+v, want 6400 core-ms of the own", loadStats)
	}
	if ownStats.AdmittedByView+ownStats.RefusedByView != 0 || ownLoadStats != (LoadStats{}) {
		t.Errorf("counters of the shared view without it: %+v, %+v", ownStats, ownLoadStats)
	}
}

// The other boxes of one that has all the clients count its work: a job that comes to an
// idle box would otherwise be admitted though the targets are full.
func TestIdleBoxBesideBusyOne(t *testing.T) {
	for _, c := range []struct {
		decisions Decisions
		admitted  bool
	}{{ownLoad, true}, {sharedLoad, false}} {
		f := newLoadFleet(t, testOwners, testGates, c.decisions)
		for o := range 5 {
			f.submit(o)
		}
		f.exchange()
		f.exchange()
		if got := f.submit(9); got != c.admitted {
			t.Errorf("%+v: admitted %v, want %v", c.decisions, got, c.admitted)
		}
		refused, others := f.owners[9].Stats().RefusedByView, f.owners[9].LoadStats().Others
		if c.decisions.SharedLoad && (refused != 1 || others < 5*1280 || others > 5*1280+testGates*5) {
			t.Errorf("%d decisions counted as refused by the view, %d core-ms of others; want 1 and 6400", refused, others)
		}
	}
}

// Seven of ten clients move to one box. It admits what the targets can take: as much as ten
// boxes did before, not a tenth of it.
func TestClientsMove(t *testing.T) {
	for _, c := range []struct {
		decisions Decisions
		moved     int
	}{{ownLoad, 0}, {sharedLoad, 2}} {
		f := newLoadFleet(t, testOwners, testGates, c.decisions)
		for o := range 3 {
			f.submit(o + 7)
		}
		f.exchange()
		moved := 0
		for range 7 {
			if f.submit(9) {
				moved++
			}
		}
		if moved != c.moved {
			t.Errorf("%+v: %d of 7 jobs of clients that moved are admitted, want %d", c.decisions, moved, c.moved)
		}
	}
}

// Clients that have left a box no longer count: its next frames clear what it reported.
func TestClientsLeave(t *testing.T) {
	f := newLoadFleet(t, testOwners, testGates, sharedLoad)
	for o := range 7 {
		f.submit(o)
	}
	f.exchange()
	f.wantWait(9, 7*jobWait, true)
	for o := range 7 {
		f.leave(o)
	}
	f.pass(waitingMaxAge / 2)
	f.exchange()
	f.wantWait(9, 0, true)
}

// With equal demand the estimate and the decisions are as without the shared view.
func TestEqualDemand(t *testing.T) {
	var decided [2][]bool
	var waits [2]time.Duration
	for i, d := range []Decisions{ownLoad, sharedLoad} {
		f := newLoadFleet(t, testOwners, testGates, d)
		for range 3 {
			for o := range testOwners {
				decided[i] = append(decided[i], f.submit(o))
			}
			f.exchange()
			f.pass(15 * time.Millisecond)
		}
		waits[i] = f.wait(4).wait
		f.wantWait(4, 10*jobWait, d.SharedLoad)
	}
	if fmt.Sprint(decided[0]) != fmt.Sprint(decided[1]) {
		t.Errorf("admitted %v with the own view, %v with the shared one", decided[0], decided[1])
	}
	t.Logf("expected waits %v with the own view, %v with the shared one", waits[0], waits[1])
}

// Jobs that are admitted for free room are admitted whatever the view says.
func TestViewDoesNotRefuseWithRoom(t *testing.T) {
	f := newLoadFleet(t, testOwners, testGates, sharedLoad)
	for o := range 9 {
		f.submit(o)
	}
	f.exchange()
	if f.submit(9) {
		t.Fatal("admitted though the targets are full and others wait")
	}
	r := testReport()
	r.OthersWaiting = []int{1 << 20}
	f.owners[9].OnFrame(loadGateName(0), f.links[[2]int{9, 0}], gate.Frame{Clock: f.now, Report: r})
	if !f.submit(9) {
		t.Error("refused though a target has room for the whole job")
	}
}

// Late jobs are behind a new one, tasks of jobs with tasks placed ahead of it, also at other
// owners.
func TestOrderOfOthersWork(t *testing.T) {
	f := newLoadFleet(t, 2, testGates, sharedLoad)
	f.submit(0)
	f.exchange()
	f.wantWait(1, jobWait, true)
	j := f.owners[0].jobs["0000000000000001"]
	j.urgency += time.Second
	f.pass(waitingMaxAge)
	f.exchange()
	f.wantWait(1, 0, true)
	j.placed = true
	f.pass(waitingMaxAge)
	f.exchange()
	f.wantWait(1, jobWait, true)
	j.late = true
	f.pass(waitingMaxAge)
	f.exchange()
	f.wantWait(1, 0, true)
	if n := f.owners[1].LoadStats().Others; n != 0 {
		t.Errorf("%d core-ms of late jobs are reported, which no job waits for", n)
	}
}

// Without fresh reports an owner decides as without the shared view.
func TestStaleView(t *testing.T) {
	f := newLoadFleet(t, testOwners, testGates, sharedLoad)
	f.submit(0)
	f.exchange()
	f.wantWait(0, jobWait, true)
	f.pass(time.Second)
	f.wantWait(0, jobWait, true)
	f.pass(time.Millisecond)
	f.wantWait(0, 10*jobWait, false)
	for g := range 3 {
		f.fromGate(0, g)
	}
	f.wantWait(0, jobWait, true)
}

// With gates lost the rest stands for all: their capacity is lost with their reports.
func TestGatesLost(t *testing.T) {
	f := newLoadFleet(t, testOwners, testGates, sharedLoad)
	for o := range 4 {
		f.submit(o)
	}
	f.exchange()
	f.wantWait(9, 4*jobWait, true)
	// Two gates no longer reach any owner, which is not noticed yet.
	f.pass(time.Second + time.Millisecond)
	for o := range testOwners {
		for g := range 4 {
			frame, _ := f.owners[o].Flush(loadGateName(g), f.links[[2]int{o, g}])
			f.gates[g].OnFrame(f.now, f.owners[o].options.Incarnation, f.links[[2]int{o, g}], frame)
		}
	}
	for g := range 4 {
		f.fromGate(9, g)
	}
	f.wantWait(9, 4*jobWait, true)
	// Their links are closed.
	for o := range testOwners {
		f.unlink(o, 4)
		f.unlink(o, 5)
	}
	f.pass(waitingMaxAge)
	f.exchange()
	f.wantWait(9, 4*jobWait*testGates/4, true)
}

// Owners that are frozen or cut off, one or half of them: the others stop counting their work
// after a second, and they decide as without the shared view until frames arrive again.
func TestOwnersSilent(t *testing.T) {
	for _, silent := range []int{1, testOwners / 2} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			f := newLoadFleet(t, testOwners, testGates, sharedLoad)
			for o := range testOwners {
				f.submit(o)
			}
			f.exchange()
			f.wantWait(9, testOwners*jobWait, true)
			for o := range silent {
				f.silent[o] = true
			}
			f.pass(time.Second)
			f.exchange()
			f.wantWait(9, testOwners*jobWait, true)
			f.pass(time.Millisecond)
			f.exchange()
			f.wantWait(9, time.Duration(testOwners-silent)*jobWait, true)
			f.wantWait(0, testOwners*jobWait, false)
			clear(f.silent)
			f.exchange()
			f.wantWait(9, testOwners*jobWait, true)
			f.wantWait(0, testOwners*jobWait, true)
		})
	}
}

// The gate of a target is restarted. It knows no owner's work at first; what the owners that
// are linked again have not reported yet counts as much as the own work does.
func TestGateRestarted(t *testing.T) {
	f := newLoadFleet(t, testOwners, testGates, sharedLoad)
	for o := range testOwners {
		f.submit(o)
	}
	f.exchange()
	f.wantWait(9, 10*jobWait, true)
	for g := range testGates {
		f.gates[g] = f.newGate()
	}
	f.relink()
	f.wantWait(9, 10*jobWait, false)
	for g := range testGates {
		link := f.links[[2]int{9, g}]
		frame, _ := f.owners[9].Flush(loadGateName(g), link)
		f.gates[g].OnFrame(f.now, f.owners[9].options.Incarnation, link, frame)
		f.fromGate(9, g)
	}
	f.wantWait(9, 10*jobWait, true)
	f.exchange()
	f.wantWait(9, 10*jobWait, true)
}

// Processes of an earlier build report nothing. Gates of one are not taken for gates where
// nobody waits, and owners of one count with as much work as the own.
func TestEarlierBuilds(t *testing.T) {
	f := newLoadFleet(t, testOwners, testGates, sharedLoad)
	f.submit(0)
	for g := range testGates {
		f.earlierGates[g] = true
	}
	f.relink()
	f.exchange()
	f.wantWait(0, 10*jobWait, false)
	clear(f.earlierGates)
	for o := range 5 {
		f.earlierOwners[o+5] = true
	}
	f.relink()
	f.exchange()
	f.wantWait(0, 6*jobWait, true)
	f.wantWait(1, jobWait, true)
	f.wantWait(7, 0, false)
}

// A frame of an owner without the shared view has no field for it, and one of an owner where
// nothing waits has it only when the link is new.
func TestFieldOnlyWhenNeeded(t *testing.T) {
	for _, d := range []Decisions{ownLoad, sharedLoad} {
		f := newLoadFleet(t, 2, 1, d)
		link := f.links[[2]int{0, 0}]
		frame := func() gate.OwnerFrame {
			f.t.Helper()
			frame, ok := f.owners[0].Flush(loadGateName(0), link)
			if !ok {
				f.t.Fatal("no frame")
			}
			return frame
		}
		if w := frame().Waiting; w != nil {
			t.Errorf("%+v: %v while nothing waits", d, w)
		}
		f.submit(0)
		if w := frame().Waiting; (len(w) > 0) != d.SharedLoad {
			t.Errorf("%+v: %v while a job waits", d, w)
		}
		f.unlink(0, 0)
		f.leave(0)
		f.link(0, 0)
		link = f.links[[2]int{0, 0}]
		if w := frame().Waiting; (len(w) > 0) != d.SharedLoad {
			t.Errorf("%+v: %v in the first frame of a link", d, w)
		}
	}
}

// The sums are made once for the frames of a moment, not once for each gate.
func TestSumsAreCached(t *testing.T) {
	f := newLoadFleet(t, 1, 2, sharedLoad)
	f.submit(0)
	first := f.owners[0].ownWork(f.now)
	at := first.at
	f.pass(waitingMaxAge - 1)
	if second := f.owners[0].ownWork(f.now); second.at != at {
		t.Error("sums made again within a tick")
	}
	f.pass(1)
	if second := f.owners[0].ownWork(f.now); second.at != f.now {
		t.Error("sums kept for longer than a tick")
	}
}

// The figures of a refusal are computed once: their cost counts under overload.
func TestFiguresAreComputedOnce(t *testing.T) {
	f := newLoadFleet(t, 1, 2, sharedLoad)
	f.submit(0)
	o := f.owners[0]
	j := newLiveJob(job.Record{Submission: testSubmission("ffffffffffffffff", 8)}, f.now)
	j.setUrgency()
	figures := o.figuresOf(f.now, j)
	capacity, _ := figures.capacity()
	wait := figures.wait()
	if wait.wait == 0 || wait.ahead != 1280 {
		t.Fatalf("%+v, want the work of a job ahead", wait)
	}
	f.leave(0)
	f.unlink(0, 0)
	if again, _ := figures.capacity(); again != capacity || figures.wait() != wait {
		t.Errorf("capacity %d and %+v, at first %d and %+v", again, figures.wait(), capacity, wait)
	}
}

// The line about a refused job has the expected wait and says where it comes from.
func TestRefusalIsLogged(t *testing.T) {
	for _, c := range []struct {
		pass time.Duration
		want string
	}{
		{40 * time.Millisecond, `"expectedWaitMS"=66 "loadView"="shared" "viewAgeMS"=40`},
		{1100 * time.Millisecond, `"expectedWaitMS"=666 "loadView"="own" "viewAgeMS"=-1`},
	} {
		f := newLoadFleet(t, testOwners, testGates, sharedLoad)
		var line string
		f.submitUntilRefused(0)
		f.pass(c.pass)
		f.owners[0].log = funcr.New(func(_, args string) { line = args }, funcr.Options{})
		f.submitUntilRefused(0)
		if len(line) < len(c.want) || line[len(line)-len(c.want):] != c.want {
			t.Errorf("after %v: %s, want it to end with %s", c.pass, line, c.want)
		}
	}
}

// BenchmarkLoadView measures what the shared view costs an owner with 35 gates and 1,000
// waiting tasks: a frame to each gate in one moment, and the estimate for one job.
func BenchmarkLoadView(b *testing.B) {
	for _, d := range []Decisions{ownLoad, sharedLoad} {
		f := newLoadFleet(&testing.T{}, 1, 35, d)
		s := testSubmission("ffffffffffffffff", 1000)
		s.BestEffort = false
		j := newLiveJob(job.Record{Submission: s}, f.now)
		j.setUrgency()
		f.owners[0].makeReady(f.now, j)
		b.Run(fmt.Sprintf("frames, shared %v", d.SharedLoad), func(b *testing.B) {
			for range b.N {
				f.now += waitingMaxAge
				for g := range f.gates {
					f.owners[0].Flush(loadGateName(g), f.links[[2]int{0, g}])
				}
			}
		})
		b.Run(fmt.Sprintf("estimate, shared %v", d.SharedLoad), func(b *testing.B) {
			for range b.N {
				f.owners[0].estimateWait(f.now, j, 1000)
			}
		})
	}
}

// BenchmarkRefusal measures what the refusal of a job costs an owner with 35 gates and 1,000
// waiting tasks.
func BenchmarkRefusal(b *testing.B) {
	f := newLoadFleet(&testing.T{}, 1, 35, Decisions{SharedLoad: true, PlaceBySpeed: true, FairShares: true, MaxRetryAfter: time.Minute})
	waiting := testSubmission("ffffffffffffffff", 1000)
	waiting.BestEffort = false
	j := newLiveJob(job.Record{Submission: waiting}, f.now)
	j.setUrgency()
	f.owners[0].makeReady(f.now, j)
	b.ReportAllocs()
	for i := range b.N {
		refused := false
		f.owners[0].RunBestEffort(testSubmission(job.ID(fmt.Sprintf("%016x", i)), 8), time.Minute, func(r BestEffortResult) { refused = r.Refused })
		if !refused {
			b.Fatal("admitted")
		}
	}
}
