package owner

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"rackspur/gate"
	"rackspur/job"
)

// speedHarness is an owner with several gates, which places tasks by speed.
type speedHarness struct {
	*harness
	links   map[string]uint64
	reports map[string]gate.Report
}

// newSpeedHarness links a gate for each slowness, 0 being unknown.
func newSpeedHarness(t *testing.T, slowness ...float64) *speedHarness {
	b := &speedHarness{harness: newHarness(t), links: map[string]uint64{}, reports: map[string]gate.Report{}}
	b.owner.options.Decisions.PlaceBySpeed = true
	for i, s := range slowness {
		name := gateName(i)
		b.links[name] = b.connect(name)
		b.change(i, func(r *gate.Report) { r.MedianSlowness = s })
	}
	return b
}

func gateName(i int) string { return fmt.Sprintf("gate-%d", i) }

// change reports a change of a gate.
func (b *speedHarness) change(i int, change func(r *gate.Report)) {
	r, ok := b.reports[gateName(i)]
	if !ok {
		r = testReport()
	}
	change(&r)
	b.reports[gateName(i)] = r
	b.owner.OnFrame(gateName(i), b.links[gateName(i)], gate.Frame{Clock: b.now, Received: 1 << 20, Report: r})
}

// use reports how much CPU is free at a gate, in thousandths of a core. With 0 its queue is full
// as well.
func (b *speedHarness) use(i, free int) {
	b.change(i, func(r *gate.Report) {
		r.Free.CPU, r.Queued = free, job.Resources{}
		if free == 0 {
			r.Queued.CPU = r.Capacity.CPU
		}
	})
}

// run submits a job of tasks that need 1.6 of a gate's 16 cores.
func (b *speedHarness) run(id, tasks, estimateMS int) *liveJob {
	s := testSubmission(job.ID(fmt.Sprintf("%016x", id)), tasks)
	s.Steps[0].EstimateMS = estimateMS
	b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	return b.owner.jobs[s.ID]
}

// starts returns the number of starts sent to each gate since the last call.
func (b *speedHarness) starts() []int {
	n := make([]int, len(b.links))
	for i := range n {
		n[i] = len(b.flush(gateName(i), b.links[gateName(i)]).Starts)
	}
	return n
}

func (b *speedHarness) want(what string, want ...int) {
	b.t.Helper()
	if got := b.starts(); fmt.Sprint(got) != fmt.Sprint(want) {
		b.t.Errorf("%s: starts %v, want %v", what, got, want)
	}
}

// A long task ends too late on a target of twice the slowness, however empty that is, also if it
// is the median one; a short one that is fast enough there leaves the fast targets free.
func TestLongTasksGoToFastTargets(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 2.2, 2.2, 2.2)
	b.use(0, 3200)
	b.use(1, 3200)
	b.run(1, 4, 800)
	b.want("long", 2, 2, 0, 0, 0)
	b = newSpeedHarness(t, 1, 1, 1, 2.2)
	for i := range 3 {
		b.use(i, 8000)
	}
	b.run(2, 2, 20) // 20 ms x 2.2 is well within the objective of 92 ms.
	b.want("short", 0, 0, 0, 2)
}

// Off, and while speeds don't differ, each task goes to the same gate as by room.
func TestPlacementUnchanged(t *testing.T) {
	play := func(bySpeed bool, slowness ...float64) (all [][]int) {
		b := newSpeedHarness(t, slowness...)
		b.owner.options.Decisions.PlaceBySpeed = bySpeed
		b.owner.random = rand.New(rand.NewPCG(1, 2))
		for i := range 40 {
			b.run(i, 1+i%5, 50+i*20)
			b.use(i%len(slowness), 16000-1600*(i%7))
			all = append(all, b.starts())
		}
		return all
	}
	byRoom := fmt.Sprint(play(false, 0, 0, 0, 0))
	tests := []struct {
		name     string
		bySpeed  bool
		slowness []float64
	}{
		{"off, although speeds differ", false, []float64{2.2, 1, 1, 1}},
		{"equal", true, []float64{1, 1, 1, 1}},
		{"equally slow", true, []float64{2.2, 2.2, 2.2, 2.2}},
		{"within the tolerance", true, []float64{0.9, 1, 1.1, 1}},
		{"unknown, as after a restart of the gates or of the owner", true, []float64{0, 0, 0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := fmt.Sprint(play(test.bySpeed, test.slowness...)); got != byRoom {
				t.Errorf("placed %v, by room %v", got, byRoom)
			}
		})
	}
}

// A task waits for a fast target while it can still be in time there, and starts there as soon as
// there is room.
func TestWaitsForFastTarget(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 1, 2.2)
	for i := range 3 {
		b.use(i, 0)
	}
	j := b.run(1, 1, 800)
	b.want("on arrival", 0, 0, 0, 0)
	if got := b.owner.Stats().HeldForSpeed; got != 1 {
		t.Errorf("%d tasks held, want 1", got)
	}
	b.now += 50 * time.Millisecond
	b.owner.Tick()
	b.use(1, 1600)
	b.want("with room at a fast target", 0, 1, 0, 0)
	if got := b.owner.Stats(); got.HeldForSpeed != 1 || got.PlacedSlow != 0 || !j.placed {
		t.Errorf("stats %+v", got)
	}
}

// A task stops waiting before its job would be refused for having no task placed, and when it
// could not be in time on a fast target any more.
func TestWaitIsBounded(t *testing.T) {
	tests := []struct {
		name   string
		placed bool
		bound  func(j *liveJob) Time
	}{
		{"nothing placed yet", false, func(j *liveJob) Time { return j.refuseAt() }},
		{"some tasks placed", true, func(j *liveJob) Time { return j.startBy }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newSpeedHarness(t, 1, 1, 1, 2.2)
			for i := range 3 {
				b.use(i, 0)
			}
			j := b.run(1, 1, 800)
			j.placed = test.placed
			bound := test.bound(j)
			started := Time(0)
			for b.now < bound && started == 0 {
				b.now += 10 * time.Millisecond
				b.owner.Tick()
				if b.starts()[3] == 1 {
					started = b.now
				}
			}
			if started == 0 {
				t.Fatalf("not started by %v", bound)
			}
			if waited := started - j.arrived; waited < (bound-j.arrived)/2 {
				t.Errorf("waited %v only, of %v", waited, bound-j.arrived)
			}
			if got := b.owner.Stats(); got.PlacedSlow != 1 || got.HeldForSpeed != 1 || got.Refused != 0 {
				t.Errorf("stats %+v, want one task placed slow and held once", got)
			}
		})
	}
}

// What can't be in time anyway doesn't wait: tasks of late jobs, and tasks of a job of which
// another is expected to end late.
func TestLateJobsGoAnywhere(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 1, 2.2)
	for i := range 3 {
		b.use(i, 0)
	}
	b.use(3, 0)
	late := b.run(1, 1, 800)
	late.placed = true
	b.now = late.startBy + 10*time.Millisecond
	b.owner.Tick()
	b.use(3, 1600)
	b.want("late", 0, 0, 0, 1)

	b.use(3, 0)
	sibling := b.run(2, 4, 800)
	sibling.expectedLate = true
	b.use(3, 16000)
	b.want("one task expected late", 0, 0, 0, 4)
}

// Long tasks that wait for fast targets don't keep short ones from the slow ones.
func TestHeldTasksArePassedOver(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 1, 2.2)
	for i := range 3 {
		b.use(i, 0)
	}
	for i := range 2 {
		b.run(i, maxMisses, 800)
	}
	b.want("long", 0, 0, 0, 0)
	b.run(10, 2, 20)
	b.want("short", 0, 0, 0, 2)
}

// A task that waits because it avoids the fast target with room doesn't keep the other tasks of its
// step from that target.
func TestAvoidingTaskDoesNotHoldOthers(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 1, 2.2)
	for i := range 3 {
		b.use(i, 0)
	}
	j := b.run(1, 3, 800)
	b.want("on arrival", 0, 0, 0, 0)
	j.tasks[0].avoid = map[string]bool{gateName(0): true}
	b.use(0, 3200)
	b.want("with room at a fast target", 2, 0, 0, 0)
	if !j.tasks[0].held || j.tasks[0].phase != taskWaiting {
		t.Error("the task that avoids the target was placed")
	}
}

// A target of unknown speed gets work like the median one, but no more than shows its speed:
// it may have been slow before it had no runs for a time.
func TestUnknownTargetsAreTried(t *testing.T) {
	b := newSpeedHarness(t, 1, 2.2, 0, 1, 1)
	for _, i := range []int{0, 3, 4} {
		b.use(i, 8000)
	}
	b.run(1, 1, 100)
	b.want("idle", 0, 0, 1, 0, 0)
	b.use(2, 16000-5*1600)
	b.run(2, 3, 100)
	if got := b.starts()[2]; got != 0 {
		t.Errorf("%d starts on a target that has five runs and is unknown, want 0", got)
	}
	b.use(2, 16000)
	b.run(3, 3, 800)
	if got := b.starts()[2]; got != 0 {
		t.Errorf("%d long tasks started on an unknown target, want 0", got)
	}
}

// Tasks of another service and tasks without an estimate don't count in the mean estimate, by which
// the tasks are chosen that try an unknown target: they would keep all others from it.
func TestOtherTasksDoNotKeepUnknownTargetsUntried(t *testing.T) {
	for _, test := range []struct {
		name, service string
		estimateMS    int
	}{{"short tasks of another service", "other", 10}, {"tasks without an estimate", testService, 0}} {
		t.Run(test.name, func(t *testing.T) {
			b := newSpeedHarness(t, 1, 2.2, 0, 1, 1, 1)
			b.change(5, func(r *gate.Report) { r.Service = "other" })
			b.run(1, 1, 100)
			s := testSubmission("00000000000000aa", 8)
			s.Queue.Service, s.Steps[0].EstimateMS = test.service, test.estimateMS
			b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
			b.starts()
			for _, i := range []int{0, 1, 3, 4} {
				b.use(i, 8000)
			}
			b.use(2, 16000)
			b.run(2, 1, 100)
			b.want("as long as the mean", 0, 0, 1, 0, 0, 0)
		})
	}
}

// The mean estimates don't grow with the number of services that were ever configured.
func TestMeanEstimatesAreBounded(t *testing.T) {
	b := newSpeedHarness(t)
	for i := range 3 * maxMeans {
		b.owner.meanOf(fmt.Sprint(i)).add(time.Second)
	}
	if n := len(b.owner.means); n > maxMeans {
		t.Errorf("%d services have a mean estimate, want at most %d", n, maxMeans)
	}
}

// A target that has just started and is cold counts as slow until it is measured.
func TestColdTarget(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 1, 0)
	for i := range 3 {
		b.use(i, 8000)
	}
	b.change(3, func(r *gate.Report) { r.Cold = time.Second })
	b.run(1, 2, 800)
	if got := b.starts()[3]; got != 0 {
		t.Errorf("%d starts on the cold target, want 0", got)
	}
	b.change(3, func(r *gate.Report) { r.MedianSlowness = 1 })
	b.run(2, 2, 800)
	if got := b.starts()[3]; got != 2 {
		t.Errorf("%d starts on the target once it is measured as fast, want 2", got)
	}
}

// Two steps share the time of the job: the first must not use all of it on a slow target.
func TestStepsShareTheTime(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 1, 2)
	for i := range 3 {
		b.use(i, 3200)
	}
	s := testSubmission("00000000000000aa", 1)
	s.Steps = append(s.Steps, job.Step{Count: 1, Need: s.Steps[0].Need, EstimateMS: 300, After: []int{0}})
	s.Steps[0].EstimateMS = 300 // 300 ms x 2 is within the objective of 1,020 ms, not within its half.
	b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	if got := b.starts()[3]; got != 0 {
		t.Errorf("the first step started on the slow target")
	}
}

// Capacity is counted by speed: with two thirds of the targets slow, a job is refused that would
// be admitted if all cores counted; its log line has both figures.
func TestAdmissionBySpeed(t *testing.T) {
	accepted := func(bySpeed bool) (n int, line string) {
		b := newSpeedHarness(t, 1, 2.2, 2.2)
		b.owner.options.Decisions.PlaceBySpeed = bySpeed
		b.owner.log = logr.New(funcr.New(func(_, args string) { line = args }, funcr.Options{}).GetSink())
		for i := range 3 {
			b.use(i, 0)
		}
		for i := range 200 {
			if b.run(i, 2, 100) != nil {
				n++
			}
		}
		return n, line
	}
	byRoom, _ := accepted(false)
	bySpeed, line := accepted(true)
	if bySpeed == 0 || float64(bySpeed) > 0.75*float64(byRoom) {
		t.Errorf("accepted %d jobs by speed and %d by room, want about 0.64 times as many", bySpeed, byRoom)
	}
	if want := `"capacityCPU"=48000 "weightedCapacityCPU"=30544`; !strings.Contains(line, want) {
		t.Errorf("log line %s, want %s", line, want)
	}
}

// Free room on slow targets doesn't admit a job that would end late there while much work waits.
func TestRoomOnSlowTargets(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 1, 2.2)
	for i := range 3 {
		b.use(i, 0)
	}
	now := b.owner.options.Now()
	for _, test := range []struct {
		estimateMS int
		want       bool
	}{{20, true}, {800, false}} {
		s := testSubmission("00000000000000aa", 1)
		s.Steps[0].EstimateMS = test.estimateMS
		j := newLiveJob(job.Record{Submission: s}, now)
		if _, room := b.owner.figuresOf(now, j).capacity(); room >= j.need() != test.want {
			t.Errorf("tasks of %d ms: room %d", test.estimateMS, room)
		}
	}
}

// The log line of a refused job has the free CPU that counted beside all of it: otherwise a job
// that would be late on the free targets seems to be refused although there is room.
func TestRefusalLogsRoomInTime(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 1, 2.2)
	for i := range 3 {
		b.use(i, 0)
	}
	line := ""
	b.owner.log = logr.New(funcr.New(func(_, args string) { line = args }, funcr.Options{}).GetSink())
	s := testSubmission("00000000000000aa", 1)
	s.Steps[0].EstimateMS = 800
	b.owner.logRefused(b.owner.figuresOf(b.now, newLiveJob(job.Record{Submission: s}, b.now)), "test")
	if want := `"freeCPU"=16000 "inTimeFreeCPU"=0`; !strings.Contains(line, want) {
		t.Errorf("log line %s, want %s", line, want)
	}
}

// An operator's policy sees the median slowness if tasks are placed by speed.
func TestPolicySeesSpeed(t *testing.T) {
	b := newSpeedHarness(t, 1, 2.2, 0, 0)
	b.change(3, func(r *gate.Report) { r.Cold = time.Second })
	for i := range 4 {
		b.change(i, func(r *gate.Report) { r.Slowness = 3 })
	}
	b.owner.compareSpeeds(b.owner.usableGates(), testService)
	for i, want := range []float64{1, 2.2, 0, 4.4} {
		v := b.owner.gates[gateName(i)]
		if got := b.owner.targetView(v, job.Resources{CPU: 1}).Pace; got != want {
			t.Errorf("gate %d: pace %v, want %v", i, got, want)
		}
	}
	b.owner.options.Decisions.PlaceBySpeed = false
	if got := b.owner.targetView(b.owner.gates["gate-0"], job.Resources{CPU: 1}).Pace; got != 3 {
		t.Errorf("pace %v by room, want the smoothed slowness of 3", got)
	}
}

// The gates of each service are compared with each other only: where the estimates of one service
// are off by another factor than those of the other, neither service has slow targets, and each
// task goes to the same gate as by room. A slow target of one service doesn't change the other.
func TestServicesAreComparedSeparately(t *testing.T) {
	play := func(bySpeed bool, slowness ...float64) (first [][]int, slow int64) {
		b := newSpeedHarness(t, slowness...)
		b.owner.options.Decisions.PlaceBySpeed = bySpeed
		b.owner.random = rand.New(rand.NewPCG(1, 2))
		for i := 3; i < len(slowness); i++ {
			b.change(i, func(r *gate.Report) { r.Service = "other" })
		}
		for i := range 20 {
			b.use(i%3, 16000-1600*(i%7))
			b.run(i, 1+i%3, 50+i*20)
			first = append(first, b.starts())
		}
		return first, b.owner.Stats().PlacedSlow
	}
	byRoom, _ := play(false, 0, 0, 0, 0, 0, 0, 0)
	for _, slowness := range [][]float64{
		{2.2, 2.2, 2.2, 1, 1, 1, 1},
		{1, 1, 1, 2.2, 2.2, 2.2, 2.2},
		{1, 1, 1, 1, 1, 2.2, 2.2},
	} {
		if got, slow := play(true, slowness...); fmt.Sprint(got) != fmt.Sprint(byRoom) || slow != 0 {
			t.Errorf("slowness %v: placed %v, %d on slow targets, by room %v", slowness, got, slow, byRoom)
		}
	}

	// The estimates of the service "other" are off by a factor of 4; one of its targets is slow.
	b := newSpeedHarness(t, 1, 1, 1, 4, 4, 8.8)
	for i := 3; i < 6; i++ {
		b.change(i, func(r *gate.Report) { r.Service = "other" })
	}
	for i := 3; i < 5; i++ {
		b.use(i, 3200)
	}
	s := testSubmission("00000000000000aa", 2)
	s.Queue.Service, s.Queue.Stretch = "other", 6
	s.Steps[0].EstimateMS = 200
	b.owner.RunBestEffort(s, time.Minute, func(BestEffortResult) {})
	if got := b.starts(); got[3]+got[4] != 2 {
		t.Errorf("starts %v, want none on the slow target of the other service", got)
	}
}

// BenchmarkPlace measures one call of place for a task that finds no room at 60 gates.
func BenchmarkPlace(b *testing.B) {
	for _, bySpeed := range []bool{false, true} {
		b.Run(fmt.Sprintf("bySpeed=%v", bySpeed), func(b *testing.B) {
			slowness := targets(60, 3, 2.2, 1)
			h := newSpeedHarness(&testing.T{}, slowness...)
			h.owner.options.Decisions.PlaceBySpeed = bySpeed
			for i := range slowness {
				h.use(i, 0)
				h.change(i, func(r *gate.Report) { r.Slowness = slowness[i] })
			}
			h.run(1, 1, 800)
			b.ReportAllocs()
			for b.Loop() {
				h.owner.place(h.now)
			}
		})
	}
}

// A comparison without a slow target is kept for a while; a target that turns slow meanwhile must
// be noticed with its report.
func TestSlowTargetEndsKeptComparison(t *testing.T) {
	b := newSpeedHarness(t, 1, 1, 1)
	if b.owner.compareSpeeds(b.owner.usableGates(), testService) != nil {
		t.Fatal("speeds differ though all targets are alike")
	}
	if _, kept := b.owner.comparedLately(b.now, testService); !kept {
		t.Error("the comparison is not kept")
	}
	b.owner.noteSpeed(&gate.Report{Service: testService, MedianSlowness: 1.1})
	if _, kept := b.owner.comparedLately(b.now, testService); !kept {
		t.Error("a report of a usual target ends the comparison")
	}
	b.owner.noteSpeed(&gate.Report{Service: testService, MedianSlowness: 2.2})
	if _, kept := b.owner.comparedLately(b.now, testService); kept {
		t.Error("the comparison is kept beside a slow target")
	}
	b.owner.compareSpeeds(b.owner.usableGates(), testService)
	if _, kept := b.owner.comparedLately(b.now+compareInterval, testService); kept {
		t.Errorf("the comparison is kept for %v", compareInterval)
	}
}
