package share

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const (
	testService = "engine"
	maxStep     = 100 * time.Millisecond
	testNeed    = 1000
)

func testJob(queue string, work float64) Job {
	return Job{Class: Class{Service: testService, Queue: queue}, Work: work}
}

// play accounts for jobs of one size that arrive evenly within a time.
func play(a *Accounts, from, length time.Duration, queue string, jobs, lost int, work float64) {
	for i := range jobs {
		now := from + length*time.Duration(i)/time.Duration(jobs)
		if i*lost/jobs != (i+1)*lost/jobs {
			a.Refused(now, testJob(queue, work), testNeed)
			continue
		}
		a.Arrived(now, testJob(queue, work), testNeed)
	}
}

func TestStep(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name string
		// jobs and lost are those of the class, otherJobs and otherLost those of another.
		jobs, lost, otherJobs, otherLost int
		work                             float64
		least, most                      time.Duration
	}{
		{name: "no jobs", otherJobs: 100},
		{name: "all served", jobs: 100, otherJobs: 100},
		{name: "equally underserved", jobs: 100, lost: 50, otherJobs: 100, otherLost: 50, work: 10},
		{name: "served better", jobs: 100, otherJobs: 100, otherLost: 50, work: 10},
		{name: "alone and underserved", jobs: 100, lost: 80, work: 10},
		{name: "within the tolerance", jobs: 100, lost: 5, otherJobs: 1000, work: 10},
		{name: "just beyond the tolerance", jobs: 1000, lost: 79, otherJobs: 10000, work: 10, least: maxStep / 10, most: maxStep - 1},
		{name: "far beyond the tolerance", jobs: 100, lost: 60, otherJobs: 1000, work: 10, least: maxStep, most: maxStep},
		{name: "nothing served", jobs: 100, lost: 100, otherJobs: 100, work: 10, least: maxStep, most: maxStep},
		// The loss of one job says nothing, whatever its size and the number of the others.
		{name: "one job, lost", jobs: 1, lost: 1, otherJobs: 1000, work: 10},
		{name: "one large job, lost", jobs: 1, lost: 1, otherJobs: 1000, work: 1000},
		{name: "one of three lost", jobs: 3, lost: 1, otherJobs: 1000, work: 10},
		{name: "three of three lost", jobs: 3, lost: 3, otherJobs: 1000, work: 10, least: maxStep, most: maxStep},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := New(maxStep)
			play(a, 0, second, "other", c.otherJobs, c.otherLost, 10)
			play(a, 0, second, "queue", c.jobs, c.lost, c.work)
			if step := a.Step(second, testJob("queue", 0).Class); step < c.least || step > c.most {
				t.Errorf("step %v, want %v to %v", step, c.least, c.most)
			}
		})
	}
}

// One large job that is lost among many small ones that are served must not lift them.
func TestOneLargeJobLost(t *testing.T) {
	a := New(maxStep)
	play(a, 0, time.Second, "other", 1000, 0, 10)
	play(a, 0, time.Second, "queue", 50, 0, 10)
	a.Refused(time.Second, testJob("queue", 1000), testNeed)
	if step := a.Step(time.Second, testJob("queue", 0).Class); step != 0 {
		t.Errorf("step %v", step)
	}
}

// Whether losses are known at once or only after a run must not make a difference to a
// steady load: classes with long tasks would otherwise be judged differently.
func TestLossesKnownLate(t *testing.T) {
	for _, lag := range []time.Duration{0, 100 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		a := New(maxStep)
		const every = 10 * time.Millisecond
		end := 30 * time.Second
		for now := time.Duration(0); now < end; now += every {
			a.Arrived(now, testJob("queue", 10), testNeed)
			if lost := now - lag; lost >= 0 && lost/every%4 == 0 {
				a.Lost(now, testJob("queue", 10))
			}
		}
		if ratio := a.Served(end, testJob("queue", 0).Class).Ratio; math.Abs(ratio-0.75) > 0.01 {
			t.Errorf("lag %v: ratio %.3f, want 0.75", lag, ratio)
		}
	}
}

// A job that is withdrawn leaves the accounts as if it had never arrived.
func TestWithdrawn(t *testing.T) {
	without, with := New(maxStep), New(maxStep)
	for _, a := range []*Accounts{without, with} {
		play(a, 0, time.Second, "queue", 100, 30, 10)
	}
	with.Arrived(time.Second, testJob("queue", 5000), testNeed)
	with.Withdrawn(2*time.Second, testJob("queue", 5000), time.Second)
	c := testJob("queue", 0).Class
	want, got := without.Served(3*time.Second, c).Ratio, with.Served(3*time.Second, c).Ratio
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("ratio %v, want %v", got, want)
	}
}

// A class that is evicted while its jobs are under way must not get a negative account.
func TestEndAfterEviction(t *testing.T) {
	a := New(maxStep)
	a.Withdrawn(time.Second, testJob("queue", 10), 0)
	a.Lost(time.Second, testJob("queue", 10))
	if r := a.Served(time.Second, testJob("queue", 0).Class); r.Ratio != 1 || r.Judged != 1 {
		t.Errorf("%+v, want no requested work", r)
	}
}

// The end of a job of an evicted queue must neither evict another queue nor leave a loss
// without its request, by which the queue would be lifted when it is used again.
func TestLossAfterEviction(t *testing.T) {
	a := New(maxStep)
	gone := testJob("gone", 10)
	for range 10 {
		a.Arrived(0, gone, testNeed)
	}
	for i := range maxQueues {
		play(a, 0, time.Second, fmt.Sprint("queue ", i), 100, 0, 10)
	}
	for range 10 {
		a.Lost(time.Second, gone)
		a.Withdrawn(time.Second, gone, time.Second)
	}
	if a.queues[queueKey{testService, "queue 0"}] == nil {
		t.Error("a queue was evicted for one that has no new job")
	}
	a.Arrived(time.Second, gone, testNeed)
	if step := a.Step(time.Second, gone.Class); step != 0 {
		t.Errorf("step %v after one job that was not lost", step)
	}
}

func TestClassOf(t *testing.T) {
	a := New(maxStep)
	if a.ClassOf(testService, "queue", 1<<30).Wide {
		t.Error("the first job of a queue counts as wide")
	}
	for range 50 {
		a.Arrived(0, testJob("queue", 10), 1000)
	}
	for need, wide := range map[int]bool{500: false, 1000: false, 2000: false, 2001: true, 9000: true} {
		if got := a.ClassOf(testService, "queue", need).Wide; got != wide {
			t.Errorf("need %d: wide %v, want %v", need, got, wide)
		}
	}
	if a.ClassOf("other service", "queue", 9000).Wide {
		t.Error("queues of two services share a mean")
	}
	for range 300 {
		a.Arrived(0, testJob("queue", 10), 9000)
	}
	if a.ClassOf(testService, "queue", 9000).Wide {
		t.Error("the mean does not follow the jobs")
	}
}

// Classes of different services don't compete.
func TestServicesAreSeparate(t *testing.T) {
	a := New(maxStep)
	play(a, 0, time.Second, "queue", 100, 90, 10)
	other := testJob("queue", 10)
	other.Class.Service = "other"
	for range 1000 {
		a.Arrived(time.Second, other, testNeed)
	}
	if step := a.Step(time.Second, testJob("queue", 0).Class); step != 0 {
		t.Errorf("step %v by the load of another service", step)
	}
	all, worst := a.Summary(time.Second)
	if all < 0.9 || worst > 0.2 {
		t.Errorf("all %.2f, worst %.2f", all, worst)
	}
}

// The losses of a queue that is gone are forgotten.
func TestClassAgesOut(t *testing.T) {
	a := New(maxStep)
	play(a, 0, time.Second, "queue", 100, 90, 10)
	c := testJob("queue", 0).Class
	for now := time.Second; now < 40*time.Second; now += 100 * time.Millisecond {
		a.Arrived(now, testJob("other", 100), testNeed)
	}
	if step := a.Step(40*time.Second, c); step != 0 {
		t.Errorf("step %v", step)
	}
	for _, now := range []time.Duration{40 * time.Second, time.Hour, 1000 * time.Hour} {
		all, worst := a.Summary(now)
		if math.IsNaN(all) || math.IsNaN(worst) || worst < 0.9 {
			t.Errorf("after %v: all %v, worst %v", now, all, worst)
		}
	}
}

// Memory doesn't grow with the queues that come and go, and the ones in use stay.
func TestManyQueues(t *testing.T) {
	a := New(maxStep)
	play(a, 0, time.Second, "kept", 100, 50, 10)
	for i := range 1000 {
		now := time.Second + time.Duration(i)*time.Millisecond
		j := testJob(fmt.Sprint("queue ", i), 10)
		j.Class.Service = fmt.Sprint("service ", i%300)
		a.Arrived(now, j, testNeed)
		if i%100 == 0 {
			a.Arrived(now, testJob("kept", 10), testNeed)
		}
	}
	if len(a.queues) > maxQueues || len(a.services) > maxQueues {
		t.Errorf("%d queues and %d services", len(a.queues), len(a.services))
	}
	if a.Served(2*time.Second, testJob("kept", 0).Class).Ratio > 0.9 {
		t.Error("a queue in use was evicted")
	}
}

// Each begin and end of a lift is reported once, and no more of them at a time than asked.
func TestChanges(t *testing.T) {
	a := New(maxStep)
	play(a, 0, time.Second, "other", 10000, 0, 10)
	for i := range 5 {
		play(a, 0, time.Second, fmt.Sprint("queue ", i), 100, 80, 10)
	}
	seen := map[Class]bool{}
	for _, want := range []int{3, 2, 0} {
		changes := a.Changes(time.Second, 3)
		if len(changes) != want {
			t.Fatalf("%d changes, want %d", len(changes), want)
		}
		for _, c := range changes {
			if !c.Lifted || c.Step == 0 || c.Served >= c.All || seen[c.Class] {
				t.Errorf("%+v", c)
			}
			seen[c.Class] = true
		}
	}
	play(a, time.Second, 20*time.Second, "other", 10000, 0, 10)
	for _, c := range a.Changes(30*time.Second, 100) {
		if c.Lifted || c.Step != 0 {
			t.Errorf("%+v", c)
		}
		delete(seen, c.Class)
	}
	if len(seen) > 0 {
		t.Errorf("not reported as no longer lifted: %v", seen)
	}
}

// A time before the newest one must not change what was accounted.
func TestTimeGoesBack(t *testing.T) {
	a := New(maxStep)
	play(a, 0, time.Second, "queue", 100, 30, 10)
	c := testJob("queue", 0).Class
	before := a.Served(time.Second, c)
	if after := a.Served(0, c); after != before {
		t.Errorf("%+v, before %+v", after, before)
	}
	a.Lost(0, testJob("queue", 10))
	a.Withdrawn(0, testJob("queue", 10), -time.Second)
	if r := a.Served(time.Second, c).Ratio; r < 0 || r > 1 {
		t.Errorf("ratio %v", r)
	}
}
