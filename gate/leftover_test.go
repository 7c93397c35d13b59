package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// This file tests how a gate handles runs left over from an earlier owner of a job, from an
// earlier process of the gate, and from lost owners.

const (
	// secondOwner takes over or receives jobs of another owner.
	secondOwner = "entry-2~b"
	// callerWait is how long the caller of a best-effort job waits for a lost answer before it
	// submits the job again (the setting retransmitMs).
	callerWait = 1300 * time.Millisecond
	// keptOver is how long after the last contact with a gate its owners assume that runs of
	// durable jobs may be active: contact, longest lease and a margin.
	keptOver = 1400*time.Millisecond + 1030*time.Millisecond + 250*time.Millisecond
	// maxLeaseWatch stops a loop over leases that are renewed endlessly.
	maxLeaseWatch = 6 * time.Second
	// slowClock is the fraction by which a target's clock may run slow.
	slowClock = 0.02
)

// orderBy sends an owner's orders for best-effort runs, with the given echo.
func (b *bench) orderBy(owner string, echo Time, names ...job.RunName) Actions {
	b.t.Helper()
	f := OwnerFrame{Echo: echo, Sequence: 1}
	for _, n := range names {
		f.Starts = append(f.Starts, Order{Name: n, Spec: "s", Need: job.Resources{CPU: 1600, Memory: 64}, BestEffort: true})
	}
	a, ok := b.gate.OnFrame(b.now, owner, 1, f)
	if !ok {
		b.t.Fatal("frame rejected")
	}
	return a
}

// leaseEnd returns when a lease expires at a target with the slowest clock.
func (b *bench) leaseEnd(untilMS int64) Time {
	left := time.Duration(untilMS-b.targetClock()) * time.Millisecond
	return b.now + time.Duration(float64(left)/(1-slowClock))
}

// runningLists returns lists with the given runs as running.
func runningLists(names ...job.RunName) HoldAnswer {
	var lists HoldAnswer
	for _, n := range names {
		lists.Running = append(lists.Running, Running{Name: n, Percent: 10})
	}
	return lists
}

// latestLeaseEnd lets a target hold for some time and returns the latest end of a lease that
// the gate has requested, including leases requested after a hold that requested none.
func (b *bench) latestLeaseEnd(name job.RunName, most time.Duration) Time {
	lease := Time(0)
	for began := b.now; b.now-began < most; b.now += 9 * time.Millisecond {
		h, _ := b.hold(runningLists(name))
		if h.Call.UntilMS > 0 {
			lease = max(lease, b.leaseEnd(h.Call.UntilMS))
		}
		b.gate.Tick(b.now)
	}
	return lease
}

// leasedAfterStop orders the stop of a run whose owner stays in contact. It returns when that
// was and the latest end of a lease that the gate requests from then on.
func (b *bench) leasedAfterStop(name job.RunName) (ordered, lease Time) {
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Stops: []job.RunName{name}})
	ordered = b.now
	for b.now-ordered < 3*time.Second {
		b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 3})
		lease = max(lease, b.latestLeaseEnd(name, 50*time.Millisecond))
	}
	return ordered, lease
}

// A run is not started while an older run of its task is active on the same target, even if
// that run has another owner or is being stopped.
func TestNoStartBesideOlderRunOfTask(t *testing.T) {
	older, newer := testRun("aa", 0, 1), testRun("aa", 0, 2)
	cases := []struct {
		name  string
		owner string
		// stopped: the owner of the older run has ordered its stop.
		stopped bool
	}{
		{"the older run's owner is lost", secondOwner, false},
		{"the older run is being stopped", testOwner, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			b.gate.Connect(b.now, secondOwner, 1, nil)
			b.started(b.orderBy(testOwner, b.now, older))
			if tc.stopped {
				b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Stops: []job.RunName{older}})
			}
			b.now += 50 * time.Millisecond
			if a := b.orderBy(tc.owner, b.now, newer); len(a.Starts) != 0 {
				t.Fatalf("run %d starts while run %d of the task is active", newer.Run, older.Run)
			}
			_, a := b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: older, Kind: EndStopped}}})
			if len(a.Starts) != 1 || a.Starts[0].Name != newer {
				t.Errorf("starts %+v once the older run is over, want run %d", a.Starts, newer.Run)
			}
		})
	}
}

// An order with the name of another owner's run is started or returned, not silently dropped.
// Each owner numbers the runs of a job from 1.
func TestOrderOfKnownNameIsAnswered(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.gate.Connect(b.now, secondOwner, 1, nil)
	b.started(b.orderBy(testOwner, b.now, name))
	b.gate.Flush(b.now, secondOwner, 1)
	answered := len(b.orderBy(secondOwner, b.now, name).Starts) > 0
	if answered {
		t.Fatal("started while a run of the task is active")
	}
	_, a := b.hold(HoldAnswer{Finished: []Ended{{Number: 1, Name: name, Kind: EndStopped}}})
	answered = len(a.Starts) > 0
	for range 20 {
		b.now += tickInterval
		b.gate.OnFrame(b.now, secondOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2})
		b.hold(HoldAnswer{})
		a = b.gate.Tick(b.now)
		f, _ := b.gate.Flush(b.now, secondOwner, 1)
		answered = answered || len(a.Starts) > 0 || len(f.States) > 0
	}
	if !answered {
		t.Error("the order was neither started nor returned in 2 s")
	}
}

// An owner can stop a found run that it has not claimed yet.
func TestStopOfUnclaimedRun(t *testing.T) {
	b := newBench(t)
	found := testRun("aa", 0, 1)
	b.hold(runningLists(found))
	a, _ := b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 1, Stops: []job.RunName{found}})
	if len(a.Stops) != 1 {
		t.Errorf("stops %+v, want the run that was found", a.Stops)
	}
}

// stopTime returns when a gate stops a found run. If claimed, the run is claimed after 0.25 s
// by an owner without a valid lease in the store.
func stopTime(t *testing.T, claimed bool) Time {
	t.Helper()
	b := newBench(t)
	found := testRun("aa", 0, 1)
	b.hold(runningLists(found))
	began := b.now
	for sent := false; b.now-began < 4*time.Second; b.now += 10 * time.Millisecond {
		if claimed && b.now-began >= 250*time.Millisecond {
			f := OwnerFrame{Echo: b.now, Sequence: 1}
			if !sent {
				b.gate.Connect(b.now, secondOwner, 1, nil)
				f.Verdicts = []Verdict{{Name: found, Kind: VerdictClaim}}
				sent = true
			}
			b.gate.OnFrame(b.now, secondOwner, 1, f)
		}
		_, a := b.hold(runningLists(found))
		if len(a.Stops)+len(b.gate.Tick(b.now).Stops) > 0 {
			return b.now - began
		}
	}
	t.Fatal("not stopped in 4 s")
	return 0
}

// A new link is no proof that the owner's lease in the store is valid: a run claimed over it is
// stopped no later than an unclaimed one.
func TestLinkProvesNoLease(t *testing.T) {
	if unclaimed, claimed := stopTime(t, false), stopTime(t, true); claimed > unclaimed {
		t.Errorf("stopped after %v, want %v at the latest as without the claim", claimed, unclaimed)
	}
}

// Before its target has listed its runs, a restarted gate does not extend the lease. Otherwise
// it would accept links while runs of its earlier process are still active.
func TestUnsurveyedGateExtendsNoLease(t *testing.T) {
	b := &bench{t: t, now: 900 * time.Millisecond, clock: 100000}
	b.gate = New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond})
	b.heartbeat(testIncarnation, false)
	b.hold(HoldAnswer{}) // Reads the clock only.
	h := b.gate.NextHold(b.now, 0)
	lease := b.leaseEnd(h.Call.UntilMS)
	// The hold is carried out but its answer is lost.
	b.now += 300 * time.Millisecond
	b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrUnanswered)
	if b.gate.Connect(b.now, testOwner, 1, nil) && b.now < lease {
		t.Errorf("link accepted at %v without a list of runs, whose lease was extended to %v", b.now, lease)
	}
}

// A run is not started under a lease, granted for another owner's run, that ends later than the
// run itself may be active by its owner's last contact.
func TestStartUnderLongerLease(t *testing.T) {
	for _, age := range []time.Duration{600 * time.Millisecond, 950 * time.Millisecond} {
		b := newBench(t)
		// A second owner, which stays in contact, has a run that justifies a long lease.
		b.gate.Connect(b.now, secondOwner, 1, nil)
		other, name := testRun("bb", 0, 1), testRun("aa", 0, 1)
		b.started(b.orderBy(secondOwner, b.now, other))
		echo := b.now
		lease := b.now
		for b.now-echo < age {
			b.gate.OnFrame(b.now, secondOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2})
			h, _ := b.hold(runningLists(other))
			lease = max(lease, b.leaseEnd(h.Call.UntilMS))
			b.now += 49 * time.Millisecond
		}
		if a := b.orderBy(testOwner, echo, name); len(a.Starts) > 0 && lease > echo+callerWait {
			t.Errorf("last contact %v ago: started under a lease that ends %v after it, want %v at most", age, lease-echo, callerWait)
		}
	}
}

// A delayed heartbeat of an older incarnation ends no runs and does not close the gate for good
// while the target is briefly silent.
func TestHeartbeatAloneEndsNoRuns(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.orderBy(testOwner, b.now, name))
	b.hold(runningLists(name))
	b.states()
	b.now += silentAfter + time.Millisecond
	b.heartbeat(olderIncarnation, false)
	if s := b.states()[name]; s.End != 0 {
		t.Errorf("reported %+v while the lease of the run is valid", s)
	}
	// The target answers again, as the same incarnation.
	h := b.gate.NextHold(b.now, 0)
	if h.Incarnation != testIncarnation && h.Incarnation != (Incarnation{}) {
		b.gate.OnHold(b.now, h, Answer{}, HoldAnswer{}, ErrOtherIncarnation)
	}
	for range 3 {
		h = b.gate.NextHold(b.now, 0)
		b.now += time.Millisecond
		b.gate.OnHold(b.now, h, Answer{ClockMS: b.targetClock(), Incarnation: testIncarnation}, runningLists(name), nil)
	}
	b.heartbeat(testIncarnation, false)
	if !b.open() {
		t.Error("closed for good to the answering incarnation")
	}
}

// If a lost owner's run is not stopped by the target, its lease ends before the owner of the
// job assumes it to be over and starts it again.
func TestKeptLeaseEndsBeforeRunsCountAsOver(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.order(true, name))
	contact, lease := b.now, b.now
	for b.now <= lease && b.now-contact < maxLeaseWatch {
		h, _ := b.hold(runningLists(name))
		if h.Call.UntilMS > 0 {
			lease = max(lease, b.leaseEnd(h.Call.UntilMS))
		}
		b.now += 9 * time.Millisecond
		if (b.now-contact).Truncate(10*time.Millisecond)%tickInterval == 0 {
			b.gate.Tick(b.now)
		}
	}
	if lease-contact > keptOver {
		t.Errorf("leased for %v after the owner's last contact, want %v at most", lease-contact, keptOver)
	}
}

// The same as TestKeptLeaseEndsBeforeRunsCountAsOver, whose loop ends after its first hold, but
// over the whole time.
func TestKeptLeaseEndsBeforeRunsCountAsOverWhole(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.order(true, name))
	contact := b.now
	if lease := b.latestLeaseEnd(name, maxLeaseWatch); lease == 0 || lease-contact > keptOver {
		t.Errorf("leased for %v after the owner's last contact, want %v at most, and some", lease-contact, keptOver)
	}
}

// The lease of a run whose ordered stop is not carried out ends before its caller submits the
// job again, also if its owner is lost afterwards.
func TestLeaseOfStoppedRunEnds(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.orderBy(testOwner, b.now, name))
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Stops: []job.RunName{name}})
	ordered, lease := b.now, b.now
	for b.now <= lease && b.now-ordered < maxLeaseWatch {
		h, _ := b.hold(runningLists(name))
		if h.Call.UntilMS > 0 {
			lease = max(lease, b.leaseEnd(h.Call.UntilMS))
		}
		b.now += 9 * time.Millisecond
		b.gate.Tick(b.now)
	}
	if lease-ordered > callerWait {
		t.Errorf("leased for %v after its stop was ordered, want %v at most", lease-ordered, callerWait)
	}
}

// The same as TestLeaseOfStoppedRunEnds, whose loop ends after its first hold, but over the
// whole time and with an owner that stays in contact, so that only the stop ends the lease.
func TestLeaseOfStoppedRunEndsWithOwnerInTouch(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.orderBy(testOwner, b.now, name))
	ordered, lease := b.leasedAfterStop(name)
	if lease == 0 || lease-ordered > callerWait {
		t.Errorf("leased for %v after its stop was ordered, want %v at most, and some", lease-ordered, callerWait)
	}
}

// A stop ordered by the owner bounds the lease, also if the run is already being stopped
// because its start was not answered.
func TestOrderedStopOfUnansweredStart(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	a := b.orderBy(testOwner, b.now, name)
	b.now += minOrderTimeout
	b.gate.OnStart(b.now, a.Incarnation, a.Starts[0], Answer{}, ErrUnanswered)
	b.now += time.Millisecond
	if _, a = b.hold(HoldAnswer{}); len(a.Stops) != 1 {
		t.Fatalf("stops %+v, want one since the start was not answered", a.Stops)
	}
	b.now += 50 * time.Millisecond
	b.hold(runningLists(name)) // The start is carried out late.
	ordered, lease := b.leasedAfterStop(name)
	if lease-ordered > callerWait {
		t.Errorf("leased for %v after the owner has given up the run, want %v at most", lease-ordered, callerWait)
	}
}

// A stop ordered by the owner bounds the lease, also if the run is already being stopped
// because it was claimed late.
func TestOrderedStopOfRunClaimedLate(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.hold(runningLists(name))
	b.now += unclaimedWait + time.Millisecond
	b.hold(runningLists(name))
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 1, Verdicts: []Verdict{{Name: name, Kind: VerdictClaim, BestEffort: true}}})
	b.now += 50 * time.Millisecond
	ordered, lease := b.leasedAfterStop(name)
	if lease-ordered > callerWait {
		t.Errorf("leased for %v after the owner has given up the run, want %v at most", lease-ordered, callerWait)
	}
}

// An owner that takes over jobs may declare their runs unknown before it has read the jobs. The
// runs continue.
func TestForeignWordStopsNoAdoptedRun(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.order(true, name))
	b.gate.Connect(b.now, secondOwner, 1, nil)
	b.gate.OnFrame(b.now, secondOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now, Sequence: 1, Adopt: []string{testOwner}})
	a, _ := b.gate.OnFrame(b.now, secondOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now, Sequence: 2, Verdicts: []Verdict{{Name: name, Kind: VerdictUnknown}}})
	if len(a.Stops) != 0 {
		t.Errorf("stopped %+v", a.Stops)
	}
}
