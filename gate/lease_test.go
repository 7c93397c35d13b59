package gate

import (
	"testing"
	"time"
)

// While a run that was found is unclaimed, the gate neither extends the lease nor starts
// anything. Otherwise the run could outlive its lost owner until the caller has resubmitted the
// job.
func TestNoLeaseForUnclaimedRuns(t *testing.T) {
	b := newBench(t)
	found, next := testRun("aa", 0, 1), testRun("bb", 0, 1)
	b.hold(runningLists(found))
	granted := b.gate.grantedMS
	if a := b.order(true, next); len(a.Starts) != 0 {
		t.Fatalf("started %v beside an unclaimed run", a.Starts)
	}
	for b.now-time.Second < unclaimedWait {
		h, a := b.hold(runningLists(found))
		if h.Call.UntilMS != 0 || b.gate.grantedMS != granted || len(a.Starts) != 0 {
			t.Fatalf("lease asked for up to %d, starts %v", h.Call.UntilMS, a.Starts)
		}
		b.now += 20 * time.Millisecond
	}
	b.verdict(found, VerdictClaim)
	if h, _ := b.hold(runningLists(found)); h.Call.UntilMS <= granted {
		t.Errorf("lease up to %d once the run is claimed, want more than %d", h.Call.UntilMS, granted)
	}
}

// A run that is not claimed in time is stopped.
func TestUnclaimedRunsAreStopped(t *testing.T) {
	b := newBench(t)
	found := testRun("aa", 0, 1)
	b.hold(runningLists(found))
	began := b.now
	var a Actions
	for len(a.Stops) == 0 && b.now-began < unclaimedWait+tickInterval {
		b.now += 20 * time.Millisecond
		_, a = b.hold(runningLists(found))
	}
	if len(a.Stops) != 1 || a.Stops[0].Name != found {
		t.Fatalf("stops %+v, want one", a.Stops)
	}
	if e := b.gate.TakeEvents(); len(e) == 0 || e[len(e)-1].Reason != StopUnclaimed {
		t.Errorf("events %+v", e)
	}
}

// With regular contact, at most 0.375 s apart, the lease is nearly as long as the target
// grants.
func TestLeaseInCalmIsWhole(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.order(false, name))
	b.hold(runningLists(name))
	b.now += 375 * time.Millisecond
	h := b.gate.NextHold(b.now, 0)
	left := time.Duration(h.Call.UntilMS-b.targetClock()) * time.Millisecond
	if least := 800 * time.Millisecond; left < least {
		t.Errorf("a lease of %v, want %v at least", left, least)
	}
}

// The lease requested by a lost hold is requested again by the next one instead of counting as
// granted.
func TestLostHoldIsMadeGood(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.orderBy(testOwner, b.now, name))
	contact := b.now
	given := int64(0)
	for b.now-contact < 300*time.Millisecond {
		h, _ := b.hold(runningLists(name))
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

// A queued run whose owner's last contact is too old for the granted lease waits without
// blocking the runs of other owners.
func TestOldProofHoldsUpNobodyElse(t *testing.T) {
	b := newBench(t)
	b.gate.Connect(b.now, secondOwner, 1, nil)
	b.started(b.orderBy(secondOwner, b.now, testRun("bb", 0, 1)))
	old := b.now
	for b.now-old < 600*time.Millisecond {
		b.gate.OnFrame(b.now, secondOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2})
		b.hold(runningLists(testRun("bb", 0, 1)))
		b.now += 49 * time.Millisecond
	}
	if a := b.orderBy(testOwner, old, testRun("aa", 0, 1)); len(a.Starts) != 0 {
		t.Fatal("started under a lease that is too long for its owner's last contact")
	}
	if a := b.orderBy(secondOwner, b.now, testRun("cc", 0, 1)); len(a.Starts) != 1 {
		t.Errorf("%d starts of the owner in contact, want 1", len(a.Starts))
	}
}

// With a short lease a hold waits only for a fraction of it, so that the next hold arrives in
// time.
func TestHoldWaitsForPartOfShortLease(t *testing.T) {
	b := newBench(t)
	for _, tc := range []struct {
		lease time.Duration
		most  int
	}{
		{time.Second, 150},
		{200 * time.Millisecond, 50},
	} {
		b.gate.options.Lease = tc.lease
		if h := b.gate.NextHold(b.now, 150*time.Millisecond); h.Call.WaitMS > tc.most {
			t.Errorf("lease of %v: a hold waits %d ms, want %d at most", tc.lease, h.Call.WaitMS, tc.most)
		}
	}
}
