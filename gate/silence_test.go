package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// fullOrder returns an order that takes the whole capacity of the test target.
func fullOrder(id job.ID) Order {
	return Order{Name: testRun(id, 0, 1), Need: job.Resources{CPU: 16000}, Estimate: 100 * time.Millisecond, BestEffort: true}
}

// orderTwo orders run a1, which starts, and run a2, which is queued.
func (b *bench) orderTwo() Actions {
	b.gate.Flush(b.now, testOwner, 1)
	a, _ := b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 1, Starts: []Order{fullOrder("a1")}})
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 2, Starts: []Order{fullOrder("a2")}})
	return a
}

// ends returns how the runs reported to the owner have ended.
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

// While its target answers nothing, a gate returns its queue and accepts no orders.
func TestSilentExecutorClosesGate(t *testing.T) {
	b := newBench(t)
	b.started(b.orderTwo())
	b.now += silentAfter + time.Millisecond
	b.gate.Tick(b.now)
	if ends := b.ends(); ends["a2"] != EndRejected {
		t.Errorf("the waiting run was not returned: %v", ends)
	}
	if b.open() {
		t.Error("open beside a silent target")
	}
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, Sequence: 3, Starts: []Order{fullOrder("a3")}})
	if ends := b.ends(); ends["a3"] != EndRejected {
		t.Errorf("an order was accepted: %v", ends)
	}
	b.hold(HoldAnswer{Running: []Running{{Name: testRun("a1", 0, 1)}}})
	if !b.open() {
		t.Error("closed though the target has answered")
	}
}

// A gate closes as soon as no connection to its target can be established.
func TestUnreachedExecutorClosesGate(t *testing.T) {
	b := newBench(t)
	a := b.orderTwo()
	a = b.gate.OnStart(b.now, a.Incarnation, a.Starts[0], Answer{}, ErrUnreachable)
	if len(a.Starts) > 0 {
		t.Errorf("started %v there", a.Starts[0].Name)
	}
	if ends := b.ends(); ends["a1"] != EndRejected || ends["a2"] != EndRejected {
		t.Errorf("runs were not returned: %v", ends)
	}
	if b.open() {
		t.Error("open though the target can't be reached")
	}
	b.hold(HoldAnswer{})
	if !b.open() {
		t.Error("closed though the target has answered")
	}
}

// After its process was suspended, a gate reads the waiting frames of its owners before it
// stops runs of silent ones.
func TestGateThatWokeReadsFramesFirst(t *testing.T) {
	b := newBench(t)
	name := testRun("aa", 0, 1)
	b.started(b.orderBy(testOwner, b.now, name))
	b.hold(runningLists(name))
	b.now += 200 * time.Millisecond
	b.gate.Tick(b.now)
	b.now += 680 * time.Millisecond // The process is suspended; the lease stays valid.
	if a := b.gate.Tick(b.now); len(a.Stops) != 0 {
		t.Errorf("stopped %+v before the owner's frames could be read", a.Stops)
	}
	b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now - 200*time.Millisecond, Sequence: 2})
}
