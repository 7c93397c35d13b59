package gate

import (
	"slices"
	"testing"
	"time"
)

const thirdOwner = "entry-3~a"

// newLoadBench returns a gate with three linked owners that take part in the shared view.
func newLoadBench(t *testing.T) *bench {
	b := newBench(t)
	for _, o := range []string{secondOwner, thirdOwner} {
		b.gate.Connect(b.now, o, 1, func() {})
	}
	for _, o := range []string{testOwner, secondOwner, thirdOwner} {
		b.waiting(o, 1, 0)
		b.others(o, 1)
	}
	return b
}

// waiting sends a frame of an owner with its waiting work.
func (b *bench) waiting(owner string, link uint64, work ...int) {
	b.t.Helper()
	if _, ok := b.gate.OnFrame(b.now, owner, link, OwnerFrame{Echo: b.now, DurableEcho: b.now, Sequence: 1, Waiting: work}); !ok {
		b.t.Fatalf("frame of %s rejected", owner)
	}
}

// others returns what the next frame reports to an owner of the others' work.
func (b *bench) others(owner string, link uint64) []int {
	b.t.Helper()
	f, ok := b.gate.Flush(b.now, owner, link)
	if !ok {
		b.t.Fatalf("no frame to %s", owner)
	}
	return f.Report.OthersWaiting
}

func (b *bench) wantOthers(owner string, link uint64, want ...int) {
	b.t.Helper()
	if got := b.others(owner, link); !slices.Equal(got, want) {
		b.t.Errorf("%s is told %v, want %v", owner, got, want)
	}
}

// Each owner is told the work of the others without its own, which it would count twice.
func TestOthersWaiting(t *testing.T) {
	b := newLoadBench(t)
	b.waiting(testOwner, 1, 1, 2)
	b.waiting(secondOwner, 1, 10)
	b.waiting(thirdOwner, 1, 0, 0, 100)
	b.wantOthers(testOwner, 1, 10, 0, 100)
	b.wantOthers(secondOwner, 1, 1, 2, 100)
	b.wantOthers(thirdOwner, 1, 11, 2)
	b.waiting(secondOwner, 1)
	b.wantOthers(testOwner, 1, 0, 0, 100)
}

// Work that is no longer reported is dropped: with the link, with the owner and with age.
func TestOthersWaitingDropped(t *testing.T) {
	ends := map[string]func(b *bench){
		"link closed": func(b *bench) { b.gate.Disconnect(secondOwner, 1) },
		"owner ended": func(b *bench) {
			b.gate.OnFrame(b.now, thirdOwner, 1, OwnerFrame{Echo: b.now, Adopt: []string{secondOwner}})
		},
		"report too old": func(b *bench) { b.now += time.Second + time.Millisecond },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newLoadBench(t)
			b.waiting(secondOwner, 1, 10)
			b.wantOthers(testOwner, 1, 10)
			end(b)
			b.wantOthers(testOwner, 1)
		})
	}
}

// The end of a link that was replaced does not drop what came over the newest one.
func TestOthersWaitingOverNewLink(t *testing.T) {
	b := newLoadBench(t)
	b.waiting(secondOwner, 1, 10)
	b.gate.Connect(b.now, secondOwner, 2, func() {})
	b.wantOthers(testOwner, 1, 0, 0, 0, 0, 0, 0, 1)
	b.waiting(secondOwner, 2, 20)
	b.gate.Disconnect(secondOwner, 1)
	b.wantOthers(testOwner, 1, 20)
	if n := b.gate.load.Len(); n != 3 {
		t.Errorf("%d entries for 3 links", n)
	}
}

// A changed view triggers neither a report nor a frame: it changes with nearly every frame of
// every owner, and each report wakes all owners of the gate.
func TestOthersWaitingWakesNobody(t *testing.T) {
	b := newLoadBench(t)
	woken := false
	b.gate.OnReport(func() { woken = true })
	b.gate.owners[testOwner].wake = func() { woken = true }
	before := b.gate.Reported()
	for i := range 10 {
		b.waiting(secondOwner, 1, 10*i)
		b.waiting(thirdOwner, 1, 5*i)
	}
	if woken || b.gate.Reported() != before || b.gate.Pending(testOwner) {
		t.Errorf("woken %v, %d reports, frame pending %v", woken, b.gate.Reported()-before, b.gate.Pending(testOwner))
	}
	b.wantOthers(testOwner, 1, 135)
}

// Owners that do not use the shared view send nothing and are told nothing.
func TestOthersWaitingOff(t *testing.T) {
	b := newBench(t)
	b.gate.Connect(b.now, secondOwner, 1, func() {})
	for range 3 {
		b.waiting(testOwner, 1)
		b.waiting(secondOwner, 1)
		b.wantOthers(testOwner, 1)
		b.wantOthers(secondOwner, 1)
	}
}

// The waiting work is the owners', so it outlives an incarnation of the target.
func TestOthersWaitingOutlivesTarget(t *testing.T) {
	b := newRestartBench(t)
	b.gate.Connect(b.now, secondOwner, 1, func() {})
	b.waiting(testOwner, 1, 1)
	b.waiting(secondOwner, 1, 10)
	b.wantOthers(testOwner, 1, 10)
	b.restart(secondIncarnation, behindClockAt)
	b.sendHeartbeat(false)
	b.answer(HoldAnswer{})
	if b.gate.current != secondIncarnation {
		t.Fatalf("incarnation %+v", b.gate.current)
	}
	b.wantOthers(testOwner, 1, 10)
}
