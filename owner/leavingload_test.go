package owner

import (
	"fmt"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// Times of a leavingFleet.
const (
	leavingStep = 5 * time.Millisecond
	// leavingStop is how long a simulated target takes to carry out a stop.
	leavingStop = 50 * time.Millisecond
	leavingHold = 50 * time.Millisecond
)

// leavingFleet is an owner with real gates beside simulated targets, since gates decide which runs
// can't end. simFleet has simulated gates and several owners, for loads of thousands of runs.
type leavingFleet struct {
	*harness
	sites []*site
	// takes returns how long a run takes.
	takes func(name job.RunName) time.Duration
}

// site is a gate and its target.
type site struct {
	name string
	gate *gate.Gate
	link uint64
	// deadAt is when the target's process ends; 0 for never. hold is when the next hold is sent.
	deadAt, hold Time
	// cut is set while no frame passes between the gate and the owner.
	cut      bool
	runs     map[job.RunName]*siteRun
	finished []gate.Ended
	ends     int64
}

// siteRun is a run on a target; it ends by itself at ends, or at stopAt if it is stopped.
type siteRun struct {
	began, ends, stopAt Time
}

func newLeavingFleet(t *testing.T, gates int, move bool) *leavingFleet {
	f := &leavingFleet{harness: newHarness(t)}
	for i := range gates {
		s := &site{name: fmt.Sprintf("gate-%d", i), runs: map[job.RunName]*siteRun{}}
		s.gate = gate.New(gate.Options{
			Node: s.name, Lease: time.Second, ContactTimeout: durableContact, BestEffortContactTimeout: bestEffortContact, MoveLeaving: move,
		})
		s.gate.OnHeartbeat(f.now, f.heartbeat(s, 1))
		f.sites = append(f.sites, s)
		f.list(s)
		f.list(s)
		f.link++
		s.link = f.link
		if !s.gate.Connect(f.now, "entry~1", s.link, nil) {
			t.Fatal("link not accepted")
		}
		f.owner.AddGate(s.name, "zone-a")
		f.owner.LinkUp(s.name, s.link, nil)
	}
	f.proceed(100 * time.Millisecond)
	return f
}

func (f *leavingFleet) heartbeat(s *site, sequence int64) gate.Heartbeat {
	return gate.Heartbeat{
		Incarnation: gate.Incarnation{ID: s.name + "-i"}, Service: testService, Capacity: job.Resources{CPU: 16000, Memory: 32768},
		ClockMS: f.now.Milliseconds(), Sequence: sequence,
	}
}

// leave makes a target drain whose process ends after notice; told is what its heartbeat says.
func (f *leavingFleet) leave(s *site, notice, told time.Duration) gate.Heartbeat {
	h := f.heartbeat(s, 2)
	h.Draining, h.Remaining = true, told
	s.deadAt = f.now + notice
	s.gate.OnHeartbeat(f.now, h)
	return h
}

// longTasks submits a job of which each seventh task takes seven times its estimate, and returns
// the target that runs most of these, since placement is random, and how many.
func (f *leavingFleet) longTasks(tasks int, result func(BestEffortResult)) (most *site, long int) {
	f.takes = func(name job.RunName) time.Duration {
		if name.Index%7 == 0 {
			return 6300 * time.Millisecond
		}
		return 900 * time.Millisecond
	}
	s := testSubmission(leavingJob, tasks)
	s.Steps[0].EstimateMS = 900
	s.Queue.Stretch = 20
	f.owner.RunBestEffort(s, time.Minute, result)
	f.proceed(200 * time.Millisecond)
	for _, s := range f.sites {
		n := 0
		for name := range s.runs {
			if name.Index%7 == 0 {
				n++
			}
		}
		if n > long {
			most, long = s, n
		}
	}
	return most, long
}

// openAt returns the number of tasks with a run at a gate, as the owner sees it.
func (f *leavingFleet) openAt(s *site) int {
	n := 0
	for _, task := range f.owner.jobs[leavingJob].tasks {
		if task.hasOpenRun() && task.gate == s.name {
			n++
		}
	}
	return n
}

// list sends a hold to a target and delivers its answer.
func (f *leavingFleet) list(s *site) {
	h := s.gate.NextHold(f.now, 0)
	if s.deadAt != 0 && f.now >= s.deadAt {
		f.carryOut(s, s.gate.OnHold(f.now, h, gate.Answer{}, gate.HoldAnswer{}, gate.ErrUnreachable))
		return
	}
	var lists gate.HoldAnswer
	for name, r := range s.runs {
		kind := gate.EndKind(0)
		switch {
		case f.now >= r.ends:
			kind = gate.EndDone
		case r.stopAt != 0 && f.now >= r.stopAt:
			kind = gate.EndStopped
		}
		if kind != 0 {
			s.ends++
			s.finished = append(s.finished, gate.Ended{Number: s.ends, Name: name, Kind: kind})
			delete(s.runs, name)
			continue
		}
		lists.Running = append(lists.Running, gate.Running{Name: name, Percent: int(100 * (f.now - r.began) / (r.ends - r.began))})
	}
	for len(s.finished) > 0 && s.finished[0].Number <= h.Call.Seen {
		s.finished = s.finished[1:]
	}
	lists.Finished = s.finished
	answer := gate.Answer{ClockMS: f.now.Milliseconds(), Incarnation: gate.Incarnation{ID: s.name + "-i"}}
	f.carryOut(s, s.gate.OnHold(f.now, h, answer, lists, nil))
}

// carryOut carries out a gate's calls.
func (f *leavingFleet) carryOut(s *site, a gate.Actions) {
	dead := s.deadAt != 0 && f.now >= s.deadAt
	answer := gate.Answer{ClockMS: f.now.Milliseconds()}
	for _, c := range a.Starts {
		if dead {
			f.t.Fatalf("a start at %s after its target's end", s.name)
		}
		s.runs[c.Name] = &siteRun{began: f.now, ends: f.now + f.takes(c.Name)}
		f.carryOut(s, s.gate.OnStart(f.now, a.Incarnation, c, answer, nil))
	}
	for _, c := range a.Stops {
		if r := s.runs[c.Name]; r != nil && !dead && r.stopAt == 0 {
			r.stopAt = f.now + leavingStop
			s.gate.OnStop(f.now, a.Incarnation, c, answer, nil)
		}
	}
}

// proceed lets time pass.
func (f *leavingFleet) proceed(most time.Duration) {
	for until := f.now + most; f.now < until; {
		f.now += leavingStep
		for _, s := range f.sites {
			if f.now >= s.hold {
				s.hold = f.now + leavingHold
				f.list(s)
			}
			f.carryOut(s, s.gate.Tick(f.now))
			if s.cut {
				continue
			}
			if frame, ok := s.gate.Flush(f.now, "entry~1", s.link); ok {
				f.owner.OnFrame(s.name, s.link, frame)
			}
			a, _ := s.gate.OnFrame(f.now, "entry~1", s.link, f.flush(s.name, s.link))
			f.carryOut(s, a)
		}
		f.owner.Tick()
	}
}

const (
	leavingGates  = 7
	leavingTasks  = 56
	leavingNotice = 2 * time.Second
)

// A seventh of the targets leaves with 2 s notice while long tasks run, some of which take seven
// times as long. Those on the leaving target must go on elsewhere before its end; with the setting
// off they only do once the lease of the lost target is over. Runs that end in time are not moved.
func TestTargetLeavesUnderLongTasks(t *testing.T) {
	// play returns how long after the target's end the job has ended.
	play := func(move bool) time.Duration {
		var ended Time
		f := newLeavingFleet(t, leavingGates, move)
		leaves, running := f.longTasks(leavingTasks, func(BestEffortResult) { ended = f.now })
		f.leave(leaves, leavingNotice, leavingNotice)
		f.proceed(leavingNotice)
		dead, late := f.now, f.openAt(leaves)
		f.proceed(15 * time.Second)
		if ended == 0 {
			t.Fatal("the job has not ended")
		}
		t.Logf("move %v: %d long runs on the leaving target, %d there at its end, job ended %v after its end",
			move, running, late, ended-dead)
		moved, lost := running, 0
		if !move {
			moved, lost = lost, moved
		}
		stats := f.owner.Stats()
		if late != lost || stats.MovedLeaving != int64(moved) || stats.Lost != int64(lost) || stats.Moved != 0 {
			t.Errorf("%d tasks there at its end, %d moved, %d lost, %d behind, want %d lost, %d moved (move %v)", late, stats.MovedLeaving, stats.Lost, stats.Moved, lost, moved, move)
		}
		return ended - dead
	}
	if on, off := play(true), play(false); on >= off-leavingNotice/2 {
		t.Errorf("the job ended %v after the target's end, %v with the setting off", on, off)
	}
}

// A target that drains without telling its end, or tells nonsense, which is decoded as 0, is
// treated as with the setting off: its runs may all end in time.
func TestTargetLeavesWithoutTelling(t *testing.T) {
	for _, move := range []bool{true, false} {
		f := newLeavingFleet(t, leavingGates, move)
		leaves, running := f.longTasks(leavingTasks, func(BestEffortResult) {})
		f.leave(leaves, leavingNotice, 0)
		f.proceed(leavingNotice)
		late := f.openAt(leaves)
		f.proceed(2 * time.Second)
		if s := f.owner.Stats(); late != running || s.MovedLeaving != 0 || s.Lost != int64(running) {
			t.Errorf("%d tasks there at its end, %d moved, %d lost, want %d lost (move %v)", late, s.MovedLeaving, s.Lost, running, move)
		}
	}
}

// Heartbeats that arrive late and tell more time than is left must not leave runs to die with the
// target: here they arrive in each interval between two lists.
func TestLateHeartbeatsOfLeavingTarget(t *testing.T) {
	for _, withClock := range []bool{true, false} {
		f := newLeavingFleet(t, leavingGates, true)
		leaves, running := f.longTasks(leavingTasks, func(BestEffortResult) {})
		h := f.leave(leaves, 600*time.Millisecond, 600*time.Millisecond)
		if !withClock {
			h.ClockMS = 0
		}
		for range 12 {
			f.proceed(50 * time.Millisecond)
			h.Sequence++
			leaves.gate.OnHeartbeat(f.now, h)
		}
		late := f.openAt(leaves)
		f.proceed(2 * time.Second)
		s := f.owner.Stats()
		if late != 0 || s.MovedLeaving < int64(running) || s.Lost != 0 {
			t.Errorf("%d tasks there at its end, %d moved, %d lost, want at least %d moved (clock in heartbeats %v)", late, s.MovedLeaving, s.Lost, running, withClock)
		}
	}
}

// While the owner doesn't answer, the runs of its task go on and die with the target. Their tasks
// start again once that is known.
func TestOwnerThatDoesNotAnswerBesideLeavingTarget(t *testing.T) {
	f := newLeavingFleet(t, leavingGates, true)
	ended := false
	leaves, running := f.longTasks(leavingTasks, func(r BestEffortResult) { ended = r.State == job.StateCompleted })
	leaves.cut = true
	f.leave(leaves, leavingNotice, leavingNotice)
	f.proceed(leavingNotice)
	if late, s := f.openAt(leaves), f.owner.Stats(); late < running || s.MovedLeaving != 0 {
		t.Errorf("%d tasks there at its end, %d moved, want %d and 0", late, s.MovedLeaving, running)
	}
	f.proceed(15 * time.Second)
	if s := f.owner.Stats(); !ended || s.PresumedOver < int64(running) {
		t.Errorf("job completed %v, %d runs presumed over, want at least %d", ended, s.PresumedOver, running)
	}
}
