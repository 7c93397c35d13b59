package owner

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/rowstore"
)

// fakeWriter holds the writes of an owner until a test completes them.
type fakeWriter struct {
	writes  []*rowstore.Write
	failing time.Duration
}

func (w *fakeWriter) Add(_ int, write *rowstore.Write)           { w.writes = append(w.writes, write) }
func (w *fakeWriter) Withdraw(_ int, write *rowstore.Write) bool { return false }
func (w *fakeWriter) FailingFor(int) time.Duration               { return w.failing }

// take returns the pending writes and clears them.
func (w *fakeWriter) take() []*rowstore.Write {
	all := w.writes
	w.writes = nil
	return all
}

// harness is an owner with a clock that the test sets.
type harness struct {
	t      *testing.T
	owner  *Owner
	writer *fakeWriter
	now    Time
	link   uint64
}

const testService = "engine"

func newHarness(t *testing.T) *harness {
	b := &harness{t: t, writer: &fakeWriter{}, now: time.Second}
	b.owner = New(Options{
		Incarnation: "entry~1", Parts: 1, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond, Lease: time.Second,
		KeepFinished: 2 * time.Minute, Log: logr.Discard(),
		Now:       func() Time { return b.now },
		WallClock: func() time.Time { return time.Unix(1700000000, 0) },
	}, b.writer)
	b.owner.RenewLease(time.Hour)
	return b
}

func testReport() gate.Report {
	room := job.Resources{CPU: 16000, Memory: 32768}
	return gate.Report{TargetID: "i-1", Service: testService, Capacity: room, Free: room, Open: true}
}

// connect links a gate that has an empty inventory.
func (b *harness) connect(name string) uint64 {
	b.link++
	b.owner.AddGate(name, "zone-a")
	b.owner.LinkUp(name, b.link, nil)
	b.owner.OnFrame(name, b.link, gate.Frame{Clock: b.now, Report: testReport(), Inventory: true})
	return b.link
}

// flush returns the next frame to a gate.
func (b *harness) flush(name string, link uint64) gate.OwnerFrame {
	b.t.Helper()
	f, ok := b.owner.Flush(name, link)
	if !ok {
		b.t.Fatalf("no frame for %s", name)
	}
	return f
}

func testSubmission(id job.ID, tasks int) job.Submission {
	return job.Submission{
		ID: id, Spec: "spec", BestEffort: true,
		Queue: job.Queue{Name: "checks", Service: testService, Attempts: 2, Stretch: 1.6, TargetLatencyMS: 60},
		Steps: []job.Step{{Count: tasks, Need: job.Resources{CPU: 1600, Memory: 64}, EstimateMS: 100}},
	}
}

// An inventory in the middle of a link may have been sent before a start arrived. That
// start is not lost, and its task must not start a second time.
func TestInventoryCrossesStart(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	b.owner.RunBestEffort(testSubmission("0000000000000001", 1), time.Minute, func(BestEffortResult) {})
	f := b.flush("gate-1", link)
	if len(f.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(f.Starts))
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence - 1, Report: testReport(), Inventory: true})
	if again := b.flush("gate-1", link); len(again.Starts) != 0 {
		t.Errorf("started again as run %d while the start was in transit", again.Starts[0].Name.Run)
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: testReport(), Inventory: true})
	again := b.flush("gate-1", link)
	if len(again.Starts) != 1 || again.Starts[0].Name.Run != f.Starts[0].Name.Run+1 {
		t.Errorf("a run missing from the inventory was not started again: %+v", again.Starts)
	}
}

// An insert of a job that the store carries out late, after the job has ended, does not bring its
// row back. The next owner would run the job again.
func TestLateInsertOfEndedJob(t *testing.T) {
	b := newHarness(t)
	store := rowstore.NewMemory()
	commit := func() *rowstore.Write {
		t.Helper()
		writes := b.writer.take()
		if len(writes) != 1 {
			t.Fatalf("%d writes, want 1", len(writes))
		}
		writes[0].Done(store.Transact(t.Context(), writes[0].Transaction))
		return writes[0]
	}
	link := b.connect("gate-1")
	s := testSubmission("00000000000000aa", 1)
	s.BestEffort = false
	b.owner.Submit(s, func(SubmitResult) {})
	insert := commit()
	f := b.flush("gate-1", link)
	if len(f.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(f.Starts))
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Received: f.Sequence, Report: testReport(), States: []gate.RunState{{Name: f.Starts[0].Name, End: gate.EndDone}}})
	commit()
	if state, ok := b.owner.State(s.ID); state != job.StateCompleted || !ok {
		t.Fatalf("state %v, %v", state, ok)
	}
	if _, err := store.Transact(t.Context(), insert.Transaction); !errors.Is(err, rowstore.ErrConflict) {
		t.Errorf("late insert: %v, want %v", err, rowstore.ErrConflict)
	}
}
