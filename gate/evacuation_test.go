package gate

import (
	"testing"
	"time"

	"rackspur/evacuation"
)

const testDomain = "domain-a"

// newEvacuationBench returns a bench whose gate is in testDomain.
func newEvacuationBench(t *testing.T) *bench {
	b := newBench(t)
	b.gate.options.Domain = testDomain
	return b
}

// news tells the gate which domains are evacuated as of a version of the store.
func (b *bench) news(version uint64, domains ...string) Actions {
	return b.gate.UpdateEvacuations(b.now, evacuation.News{Domains: domains, Version: version, AsOf: b.now})
}

// rejected returns the reasons for runs returned to the owner since its last frame.
func (b *bench) rejected() []string {
	b.t.Helper()
	f, ok := b.gate.Flush(b.now, testOwner, 1)
	if !ok {
		b.t.Fatal("no frame")
	}
	var reasons []string
	for _, s := range f.States {
		if s.End == EndRejected {
			reasons = append(reasons, s.Reason)
		}
	}
	return reasons
}

// In an evacuated failure domain queued runs are returned, nothing is started, and active runs
// continue.
func TestEvacuatedGateStartsNothing(t *testing.T) {
	b := newEvacuationBench(t)
	first := b.order(false, testRun("j1", 0, 1), testRun("j1", 1, 1))
	if len(first.Starts) != 2 {
		t.Fatalf("%d starts before the evacuation, want 2", len(first.Starts))
	}
	b.started(first)
	// 10 runs of 1600 fit into 16000; one more is queued.
	b.order(false, testRun("j2", 0, 1), testRun("j2", 1, 1), testRun("j2", 2, 1), testRun("j2", 3, 1), testRun("j2", 4, 1),
		testRun("j2", 5, 1), testRun("j2", 6, 1), testRun("j2", 7, 1), testRun("j2", 8, 1))
	b.rejected()

	a := b.news(5, testDomain)
	if len(a.Starts) != 0 || len(a.Stops) != 0 {
		t.Errorf("%d starts and %d stops after the evacuation, want none", len(a.Starts), len(a.Stops))
	}
	if got := b.rejected(); len(got) != 1 {
		t.Errorf("returned %v, want the one that waited", got)
	}
	if a := b.order(false, testRun("j3", 0, 1)); len(a.Starts) != 0 {
		t.Error("an order was carried out in an evacuated failure domain")
	}
	if got := b.rejected(); len(got) != 1 {
		t.Errorf("returned %v, want the new order", got)
	}
	b.now += 200 * time.Millisecond
	if a := b.gate.Tick(b.now); len(a.Starts) != 0 {
		t.Error("a tick starts something")
	}
	if f, _ := b.gate.Flush(b.now, testOwner, 1); f.Report.Open || !f.Report.Evacuated {
		t.Errorf("report %+v, want closed and evacuated", f.Report)
	}
}

// The newest version of the store counts, regardless of its source and the order of arrival.
func TestEvacuationNewestCounts(t *testing.T) {
	b := newEvacuationBench(t)
	steps := []struct {
		name string
		news evacuation.News
		open bool
	}{
		{"another domain", evacuation.News{Domains: []string{"domain-b"}, Version: 3}, true},
		{"this domain too", evacuation.News{Domains: []string{testDomain, "domain-b"}, Version: 5}, false},
		{"an owner that is behind", evacuation.News{Domains: []string{"domain-b"}, Version: 4, AsOf: time.Hour}, false},
		{"an owner that knows nothing", evacuation.News{}, false},
		{"evacuation revoked", evacuation.News{Domains: []string{"domain-b"}, Version: 8}, true},
		{"the evacuation, repeated late", evacuation.News{Domains: []string{testDomain, "domain-b"}, Version: 6}, true},
		{"evacuated again", evacuation.News{Domains: []string{testDomain}, Version: 9}, false},
	}
	for _, step := range steps {
		b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{Echo: b.now, DurableEcho: b.now, Evacuations: step.news})
		if got := b.gate.Open(b.now); got != step.open {
			t.Errorf("%s: open %v, want %v", step.name, got, step.open)
		}
	}
}

// News that arrives in the same frame as a start is applied before the start.
func TestEvacuationBeforeStarts(t *testing.T) {
	b := newEvacuationBench(t)
	order := Order{Name: testRun("j1", 0, 1), Spec: "s", BestEffort: true}
	a, _ := b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{
		Echo: b.now, DurableEcho: b.now, Starts: []Order{order}, Evacuations: evacuation.News{Domains: []string{testDomain}, Version: 7},
	})
	if len(a.Starts) != 0 {
		t.Error("an order was carried out that came with the news of the evacuation")
	}
	order.Name.Run = 2
	a, _ = b.gate.OnFrame(b.now, testOwner, 1, OwnerFrame{
		Echo: b.now, DurableEcho: b.now, Starts: []Order{order}, Evacuations: evacuation.News{Version: 8},
	})
	if len(a.Starts) != 1 {
		t.Error("an order was not carried out that came with the end of the evacuation")
	}
}

// The evacuation of the failure domain also applies to the next incarnation of the target.
func TestEvacuationOutlivesTarget(t *testing.T) {
	b := newEvacuationBench(t)
	b.news(5, testDomain)
	b.gate.OnDeregister(b.now, testIncarnation)
	b.heartbeat(Incarnation{ID: "i-2"}, false)
	b.hold(HoldAnswer{})
	b.hold(HoldAnswer{})
	if a := b.order(false, testRun("j1", 0, 1)); len(a.Starts) != 0 || b.gate.Open(b.now) {
		t.Error("a new incarnation of the target takes work in an evacuated failure domain")
	}
	b.news(6)
	if !b.gate.Open(b.now) {
		t.Error("the gate stays closed after the evacuation was revoked")
	}
}

// An evacuation and its revocation each record an event with the age of the news.
func TestEvacuationEvents(t *testing.T) {
	b := newEvacuationBench(t)
	b.gate.TakeEvents()
	b.gate.UpdateEvacuations(b.now, evacuation.News{Domains: []string{testDomain}, Version: 5, AsOf: b.now - 40*time.Millisecond})
	b.news(6, testDomain)
	b.news(7)
	events := b.gate.TakeEvents()
	if len(events) != 2 || events[0].Kind != EventEvacuated || events[0].NewsAge != 40*time.Millisecond || events[1].Kind != EventRevoked {
		t.Errorf("events %+v", events)
	}
}
