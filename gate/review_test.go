package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// newProductBench is newBench with the bound that the product has with callers that come
// back after 1.3 s (package node).
func newProductBench(t *testing.T) *bench {
	b := newBench(t)
	b.gate.options.BestEffortContact = 850 * time.Millisecond
	return b
}

// mostLeased lets a target hold for some time and returns the end of the longest lease
// that the gate has asked for. Unlike a loop that ends with the lease it also sees leases
// that are asked for after a hold that asks for none.
func (b *bench) mostLeased(name job.RunName, most time.Duration, tick bool) Time {
	lease := Time(0)
	for began := b.now; b.now-began < most; b.now += 9 * time.Millisecond {
		h, _ := b.hold(working(name))
		if h.Call.UntilMS > 0 {
			lease = max(lease, b.leaseEnd(h.Call.UntilMS))
		}
		if tick {
			b.gate.Tick(b.now)
		}
	}
	return lease
}

// As TestLeaseOfStoppedRunEnds, whose loop ends after its first hold. The owner stays in
// touch, so that only the stop ends the lease.
func TestLeaseOfStoppedRunEndsWithOwnerInTouch(t *testing.T) {
	b := newProductBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.orderBy(testOwner, b.now, name))
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Stops: []job.RunName{name}})
	ordered, lease := b.now, Time(0)
	for b.now-ordered < 3*time.Second {
		b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 3})
		lease = max(lease, b.mostLeased(name, 50*time.Millisecond, true))
	}
	if lease == 0 || lease-ordered > callerWait {
		t.Errorf("leased for %v after its stop was ordered, want %v at most, and some", lease-ordered, callerWait)
	}
}

// As TestKeptLeaseEndsBeforeRunsCountAsOver, whose loop ends after its first hold.
func TestKeptLeaseEndsBeforeRunsCountAsOverWhole(t *testing.T) {
	b := newProductBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.order(true, name))
	contact := b.now
	if lease := b.mostLeased(name, mostLease, true); lease == 0 || lease-contact > keptOver {
		t.Errorf("leased for %v after the owner's last word, want %v at most, and some", lease-contact, keptOver)
	}
}

// A start got no answer and is stopped for that; the target carries it out late, and
// answers no stop. Then the owner gives its job up, and the caller comes back elsewhere
// after 1.3 s: from the order on the lease is bounded as for any other stop.
func TestOrderedStopOfUnansweredStart(t *testing.T) {
	b := newProductBench(t)
	name := testRun("aa", 0, 1)
	a := b.orderBy(testOwner, b.now, name)
	b.now += orderTimeout
	b.gate.OnStart(b.now, a.Life, a.Starts[0], Answer{}, ErrUnanswered)
	b.now += time.Millisecond
	if _, a = b.hold(HoldAnswer{}); len(a.Stops) != 1 {
		t.Fatalf("stops %+v, want one since the start was not answered", a.Stops)
	}
	b.now += 50 * time.Millisecond
	b.hold(working(name)) // Carried out late.
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Stops: []job.RunName{name}})
	ordered, lease := b.now, Time(0)
	for b.now-ordered < 3*time.Second {
		b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 3})
		lease = max(lease, b.mostLeased(name, 50*time.Millisecond, true))
	}
	if lease-ordered > callerWait {
		t.Errorf("leased for %v after the owner has given the run up, want %v at most", lease-ordered, callerWait)
	}
}

// The same for a run of an earlier process that was stopped since nobody claimed it, and
// is claimed a moment later.
func TestOrderedStopOfRunClaimedLate(t *testing.T) {
	b := newProductBench(t)
	name := testRun("aa", 0, 1)
	b.hold(working(name))
	b.now += unclaimedPatience + time.Millisecond
	b.hold(working(name))
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 1, Verdicts: []Verdict{{Name: name, Kind: VerdictClaim, BestEffort: true}}})
	b.now += 50 * time.Millisecond
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Stops: []job.RunName{name}})
	ordered, lease := b.now, Time(0)
	for b.now-ordered < 3*time.Second {
		b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 3})
		lease = max(lease, b.mostLeased(name, 50*time.Millisecond, true))
	}
	if lease-ordered > callerWait {
		t.Errorf("leased for %v after the owner has given the run up, want %v at most", lease-ordered, callerWait)
	}
}

// A hold that was lost has given no lease. The next one asks for as much again, also if
// it may ask for no more than that.
func TestLostHoldIsMadeGood(t *testing.T) {
	b := newProductBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.orderBy(testOwner, b.now, name))
	contact := b.now
	given := int64(0)
	for b.now-contact < 300*time.Millisecond {
		h, _ := b.hold(working(name))
		given = max(given, h.Call.UntilMS)
		b.now += 99 * time.Millisecond
	}
	lost := b.gate.NextHold(b.now, 0)
	b.now += 30 * time.Millisecond
	b.gate.OnHold(b.now, lost, Answer{}, HoldAnswer{}, ErrUnanswered)
	next := b.gate.NextHold(b.now, 0)
	if lost.Call.UntilMS <= given {
		t.Fatalf("the lost hold asks for %d, no more than the %d before", lost.Call.UntilMS, given)
	}
	if next.Call.UntilMS < lost.Call.UntilMS-10 {
		t.Errorf("the next hold asks for %d, the lost one for %d; the target has %d", next.Call.UntilMS, lost.Call.UntilMS, given)
	}
}

// A gate that has itself stood still does not know how long its owners have been silent:
// their frames wait to be read. Its lease bounds the runs meanwhile.
func TestGateThatWokeReadsFramesFirst(t *testing.T) {
	b := newProductBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.orderBy(testOwner, b.now, name))
	b.hold(working(name))
	b.now += 200 * time.Millisecond
	b.gate.Tick(b.now)
	b.now += 680 * time.Millisecond // It stands still; its lease holds.
	if a := b.gate.Tick(b.now); len(a.Stops) != 0 {
		t.Errorf("stopped %+v before the owner's frames could be read", a.Stops)
	}
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now - 200*time.Millisecond, Sequence: 2})
}

// An order whose owner's proof is too old for the lease that was given waits by itself:
// it does not hold up those of owners in touch.
func TestOldProofHoldsUpNobodyElse(t *testing.T) {
	b := newProductBench(t)
	b.gate.Connect(b.now, secondOwner, 1, nil)
	b.started(b.orderBy(secondOwner, b.now, testRun("bb", 0, 1)))
	old := b.now
	for b.now-old < 600*time.Millisecond {
		b.gate.OnFrame(b.now, secondOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2})
		b.hold(working(testRun("bb", 0, 1)))
		b.now += 49 * time.Millisecond
	}
	if a := b.orderBy(testOwner, old, testRun("aa", 0, 1)); len(a.Starts) != 0 {
		t.Fatal("started under a lease that is too long for its owner's proof")
	}
	if a := b.orderBy(secondOwner, b.now, testRun("cc", 0, 1)); len(a.Starts) != 1 {
		t.Errorf("%d starts of the owner in touch, want 1", len(a.Starts))
	}
}
