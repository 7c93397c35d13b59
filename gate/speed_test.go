package gate

import (
	"testing"
	"time"

	"rackspur/job"
	"rackspur/speed"
)

// endRun starts a run with an estimate of 100 ms and has it end after some time.
func (b *bench) endRun(index int, took time.Duration, kind EndKind) {
	name := testRun("aa", index, 1)
	b.started(b.order(false, name))
	b.runFor(took, name)
	b.hold(HoldAnswer{Finished: []Ended{{Number: int64(index + 1), Name: name, Kind: kind}}})
}

func (b *bench) medianSlowness() float64 {
	f, _ := b.gate.Flush(b.now, testOwner, 1)
	return f.Report.MedianSlowness
}

// The reported median is unknown until enough runs have ended done, is not moved by single long
// tasks, and is unknown again without new runs.
func TestMedianSlowness(t *testing.T) {
	b := newBench(t)
	for i := range speed.MinSamples - 1 {
		b.endRun(i, 200*time.Millisecond, EndDone)
	}
	if got := b.medianSlowness(); got != 0 {
		t.Errorf("slowness %v after %d runs, want it unknown", got, speed.MinSamples-1)
	}
	b.endRun(speed.MinSamples-1, 200*time.Millisecond, EndFailed)
	if got := b.medianSlowness(); got != 0 {
		t.Errorf("slowness %v, want a failed run not to count", got)
	}
	b.endRun(speed.MinSamples, 700*time.Millisecond, EndDone)
	if got := b.medianSlowness(); got < 1.9 || got > 2.2 {
		t.Errorf("slowness %v after runs of twice their estimate and one of seven times, want 2", got)
	}
	reported := b.gate.Reported()
	b.now += 11 * time.Second
	if got := b.medianSlowness(); got != 0 {
		t.Errorf("slowness %v, 11 s after the last run, want it unknown", got)
	}
	if got := b.gate.Reported(); got != reported {
		t.Errorf("%d more reports, want none because samples are too old", got-reported)
	}
}

// Measuring the speed causes no reports beyond those of the end of a run, also when the median
// becomes known or changes.
func TestSpeedSendsNoReports(t *testing.T) {
	b := newBench(t)
	perRun := uint64(0)
	for i := range 2 * speed.MinSamples {
		reported := b.gate.Reported()
		b.endRun(i, time.Duration(100*(1+i%3))*time.Millisecond, EndDone)
		got := b.gate.Reported() - reported
		if i > 0 && got != perRun {
			t.Errorf("run %d: %d reports, %d for the one before", i, got, perRun)
		}
		perRun = got
	}
}

// Ends that were heard late, after the agent was suspended, give no sample: the target did not run
// slowly. Its earlier samples still count.
func TestLateEndsGiveNoSpeedSample(t *testing.T) {
	b := newBench(t)
	for i := range speed.MinSamples {
		b.endRun(i, 100*time.Millisecond, EndDone)
	}
	var ends []Ended
	for i := range 8 {
		name := testRun("bb", i, 1)
		b.started(b.order(false, name))
		ends = append(ends, Ended{Number: int64(speed.MinSamples + 1 + i), Name: name, Kind: EndDone})
	}
	b.now += 2500 * time.Millisecond
	b.hold(HoldAnswer{Finished: ends})
	if got := b.medianSlowness(); got < 0.9 || got > 1.2 {
		t.Errorf("slowness %v, want that of the runs before the suspension, 1", got)
	}
}

// The speed belongs to one incarnation of the target: the next may run on another machine.
func TestRestartForgetsSpeed(t *testing.T) {
	b := newBench(t)
	for i := range speed.MinSamples {
		b.endRun(i, 200*time.Millisecond, EndDone)
	}
	if got := b.medianSlowness(); got == 0 {
		t.Fatal("slowness unknown")
	}
	b.gate.OnDeregister(b.now, testIncarnation)
	b.heartbeat(newerIncarnation, false)
	if got := b.medianSlowness(); got != 0 {
		t.Errorf("slowness %v after a restart, want it unknown", got)
	}
}

// Runs that began in the cold time are slow too if they end after it. Were they counted, a target
// full of runs at the end of its cold time would seem slow for seconds.
func TestRunsBegunColdGiveNoSpeedSample(t *testing.T) {
	b := newBench(t)
	b.gate.lifetime.cold.update(b.now, 0, 100*time.Millisecond)
	var ends []Ended
	for i := range speed.MinSamples {
		name := testRun("bb", i, 1)
		b.started(b.order(false, name))
		ends = append(ends, Ended{Number: int64(1 + i), Name: name, Kind: EndDone})
	}
	b.now += 200 * time.Millisecond
	b.hold(HoldAnswer{Finished: ends})
	if got := b.medianSlowness(); got != 0 || !b.gate.lifetime.warm {
		t.Errorf("slowness %v, cold time ended %v; want it unknown after runs that began cold", got, b.gate.lifetime.warm)
	}
	for i := range speed.MinSamples {
		b.endRun(speed.MinSamples+i, 100*time.Millisecond, EndDone)
	}
	if got := b.medianSlowness(); got < 0.9 || got > 1.2 {
		t.Errorf("slowness %v, want that of the runs after the cold time, 1", got)
	}
}

// A target that turns slow must be noticed by the progress of its runs: before the first of the
// runs that it slows down has ended, tasks would go there for the length of a run.
func TestSpeedByProgress(t *testing.T) {
	b := newBench(t)
	for i := range speed.MinSamples {
		b.endRun(i, 100*time.Millisecond, EndDone)
	}
	var names []job.RunName
	for i := range 2 * speed.MinSamples {
		name := testRun("bb", i, 1)
		b.startEstimated(name, minWatchedEstimate)
		names = append(names, name)
	}
	list := func(percent int) (lists HoldAnswer) {
		for _, name := range names {
			lists.Running = append(lists.Running, Running{Name: name, Percent: percent})
		}
		return lists
	}
	b.hold(list(10))
	b.now += 50 * time.Millisecond
	b.hold(list(20))
	if got := b.medianSlowness(); got < 2.3 || got > 2.7 {
		t.Errorf("slowness %v after 10%% of the work in a quarter of the estimate; want 2.5", got)
	}
}

// A long run gives one sample only, and short ones none by their progress: a target that has
// just a few of them would count as slow because they take longer than estimated.
func TestLongRunsDoNotFillTheWindow(t *testing.T) {
	for _, c := range []struct {
		runs     int
		estimate time.Duration
	}{{speed.MinSamples - 1, minWatchedEstimate}, {4 * speed.MinSamples, minWatchedEstimate - 1}} {
		b := newBench(t)
		var lists HoldAnswer
		for i := range c.runs {
			name := testRun("bb", i, 1)
			b.startEstimated(name, c.estimate)
			lists.Running = append(lists.Running, Running{Name: name})
		}
		for percent := range 40 {
			for i := range lists.Running {
				lists.Running[i].Percent = percent
			}
			b.now += 50 * time.Millisecond
			b.hold(lists)
		}
		if got := b.medianSlowness(); got != 0 {
			t.Errorf("slowness %v after %d runs of %v, want it unknown", got, c.runs, c.estimate)
		}
	}
}

// startEstimated starts a run with an estimate.
func (b *bench) startEstimated(name job.RunName, estimate time.Duration) {
	a, _ := b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now, Sequence: 1, Starts: []Order{
		{Name: name, Spec: "s", Need: job.Resources{CPU: 100, Memory: 64}, Estimate: estimate, BestEffort: true},
	}})
	b.started(a)
}

// The time of a short run is mostly that of its delivery where the agent is short of processor
// time: a target with many short tasks must not seem slow.
func TestShortRunsGiveNoSpeedSample(t *testing.T) {
	b := newBench(t)
	for i := range 2 * speed.MinSamples {
		b.endRun(i, 100*time.Millisecond, EndDone)
	}
	for i := range 40 {
		name := testRun("bb", i, 1)
		b.startEstimated(name, minTimedEstimate/2)
		b.runFor(100*time.Millisecond, name)
		b.hold(HoldAnswer{Finished: []Ended{{Number: int64(2*speed.MinSamples + 1 + i), Name: name, Kind: EndDone}}})
	}
	if got := b.medianSlowness(); got > 1.2 {
		t.Errorf("slowness %v after runs of 50 ms that took 50 ms longer; want that of the runs before, 1", got)
	}
}
