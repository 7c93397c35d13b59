package owner

import (
	"fmt"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// fill reports a gate without free room.
func (b *harness) fill(name string, link uint64) {
	r := testReport()
	r.Free = job.Resources{}
	r.Queued = job.Resources{CPU: r.Capacity.CPU}
	b.owner.OnFrame(name, link, gate.Frame{Clock: b.now, Report: r})
}

// submit submits a best-effort job and returns its result, or nil if it has none yet.
func (b *harness) submit(id int, tasks int) *BestEffortResult {
	result := new(*BestEffortResult)
	b.owner.RunBestEffort(testSubmission(job.ID(fmt.Sprintf("%016x", id)), tasks), time.Minute, func(r BestEffortResult) { *result = &r })
	if *result != nil {
		return *result
	}
	return nil
}

func TestAdmission(t *testing.T) {
	b := newHarness(t)
	if r := b.submit(1, 1); r != nil {
		t.Errorf("answered %+v within linkGrace", *r)
	}
	b.now += linkGrace
	if r := b.submit(3, 1); r == nil || !r.Refused {
		t.Error("accepted though no gate has been open for linkGrace")
	}
	link := b.connect("gate-1")
	if r := b.submit(2, 1); r != nil {
		t.Errorf("answered %+v though there is room", *r)
	}
	b.fill("gate-1", link)
	taken := 0
	for i := range 200 {
		if r := b.submit(100+i, 8); r == nil {
			taken++
		}
	}
	if taken == 0 || taken == 200 {
		t.Errorf("%d of 200 jobs accepted with a full gate, want those that can start in time", taken)
	}
}

// A job of which no task was placed is refused before it has waited for long, and
// nothing of it starts afterwards.
func TestRefusedWhileUntried(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	b.fill("gate-1", link)
	var got *BestEffortResult
	s := testSubmission("00000000000000aa", 8)
	b.owner.RunBestEffort(s, time.Minute, func(r BestEffortResult) { got = &r })
	if got != nil {
		t.Fatalf("answered %+v on arrival", *got)
	}
	objective := 220 * time.Millisecond
	for b.now < time.Second+2*objective && got == nil {
		b.now += 10 * time.Millisecond
		b.owner.Tick()
	}
	if got == nil || !got.Refused || got.State != "" {
		t.Fatalf("answer %+v, want refused", got)
	}
	if waited := b.now - time.Second; waited > objective {
		t.Errorf("refused after %v", waited)
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Report: testReport()})
	if f := b.flush("gate-1", link); len(f.Starts) != 0 {
		t.Error("started after it was refused")
	}
}

// Best-effort jobs need no lease in the store, so they run during its outage.
func TestBestEffortWithoutLease(t *testing.T) {
	b := newHarness(t)
	b.owner.leaseUntil = 0
	link := b.connect("gate-1")
	if r := b.submit(1, 1); r != nil {
		t.Fatalf("answered %+v", *r)
	}
	f := b.flush("gate-1", link)
	if len(f.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(f.Starts))
	}
	if f.Echo == 0 || f.DurableEcho != 0 {
		t.Errorf("echo %v, kept echo %v; want only the first", f.Echo, f.DurableEcho)
	}
	refused := false
	durable := testSubmission("00000000000000bb", 1)
	durable.BestEffort = false
	b.owner.Submit(durable, func(r SubmitResult) { refused = r == SubmitRefused })
	if !refused {
		t.Error("a durable job was accepted without a lease")
	}
}

// Jobs that can't end in time come after those that can.
func TestLateJobsWait(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	b.fill("gate-1", link)
	b.submit(1, 8)
	j := b.owner.jobs["0000000000000001"]
	j.placed = true
	b.now = j.startBy + time.Millisecond
	b.owner.Tick()
	if !j.late {
		t.Fatal("not marked late")
	}
	b.submit(2, 8)
	if first := b.owner.waiting.items[0].job; first == j {
		t.Error("a late job comes first")
	}
}

// A caller that leaves while another one waits for the same job must not be told that the
// job will not run.
func TestOneOfTwoCallersLeaves(t *testing.T) {
	b := newHarness(t)
	link := b.connect("gate-1")
	b.fill("gate-1", link)
	s := testSubmission("00000000000000ab", 1)
	var first, second *BestEffortResult
	ticket := b.owner.RunBestEffort(s, time.Minute, func(r BestEffortResult) { first = &r })
	b.owner.RunBestEffort(s, time.Minute, func(r BestEffortResult) { second = &r })
	b.owner.RemoveCaller(s.ID, ticket)
	if first == nil || first.Refused {
		t.Errorf("the caller that left was told %+v, want neither a state nor a refusal", first)
	}
	b.owner.OnFrame("gate-1", link, gate.Frame{Clock: b.now, Report: testReport()})
	if f := b.flush("gate-1", link); len(f.Starts) != 1 || second != nil {
		t.Errorf("%d starts, answer %+v; want the job to go on for the other caller", len(f.Starts), second)
	}
}
