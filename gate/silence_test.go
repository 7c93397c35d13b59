package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// wide returns an order that takes all of the test executor's room.
func wide(id job.ID) Order {
	return Order{Name: testRun(id, 0, 1), Need: job.Resources{CPU: 16000}, Estimate: 100 * time.Millisecond, BestEffort: true}
}

// orderTwo orders the runs a1, which starts, and a2, which waits for its room.
func (b *bench) orderTwo() Actions {
	b.gate.Flush(b.now, testOwner, 1)
	a, _ := b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 1, Starts: []Order{wide("a1")}})
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Starts: []Order{wide("a2")}})
	return a
}

// ends returns how the runs that the owner was told of have ended.
func (b *bench) ends() map[job.ID]EndKind {
	b.t.Helper()
	f, ok := b.gate.Flush(b.now, testOwner, 1)
	if !ok {
		b.t.Fatal("no frame")
	}
	ends := map[job.ID]EndKind{}
	for _, s := range f.States {
		ends[s.Name.Job] = s.End
	}
	return ends
}

func (b *bench) open() bool {
	f, _ := b.gate.Flush(b.now, testOwner, 1)
	return f.Report.Open
}

// A gate whose executor answers nothing gives its queue back and takes no more
// orders until the executor answers again.
func TestSilentExecutorClosesGate(t *testing.T) {
	b := newBench(t)
	b.started(b.orderTwo())
	b.now += silentAfter + time.Millisecond
	b.gate.Tick(b.now)
	if ends := b.ends(); ends["a2"] != EndRejected {
		t.Errorf("the waiting run was not given back: %v", ends)
	}
	if b.open() {
		t.Error("open beside a silent executor")
	}
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 3, Starts: []Order{wide("a3")}})
	if ends := b.ends(); ends["a3"] != EndRejected {
		t.Errorf("an order was taken: %v", ends)
	}
	b.hold(HoldAnswer{Running: []Running{{Name: testRun("a1", 0, 1)}}})
	if !b.open() {
		t.Error("closed though the executor has answered")
	}
}

// An executor to which no connection can be made gets no more orders at once.
func TestUnreachedExecutorClosesGate(t *testing.T) {
	b := newBench(t)
	a := b.orderTwo()
	a = b.gate.OnStart(b.now, a.Life, a.Starts[0], Answer{}, ErrUnreached)
	if len(a.Starts) > 0 {
		t.Errorf("started %v there", a.Starts[0].Name)
	}
	if ends := b.ends(); ends["a1"] != EndRejected || ends["a2"] != EndRejected {
		t.Errorf("runs were not given back: %v", ends)
	}
	if b.open() {
		t.Error("open though the executor can't be reached")
	}
	b.hold(HoldAnswer{})
	if !b.open() {
		t.Error("closed though the executor has answered")
	}
}

// Symptom: runs of owners in touch are stopped.
//
// Sequence: the gate itself stands still for a time and wakes; its owners' frames wait to
// be read.
//
// Cause: it looked for silent owners first. The lease bounds the runs meanwhile.
func TestGateThatWokeReadsFramesFirst(t *testing.T) {
	b := newBench(t)
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
