package owner

import (
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
)

// restartedGate is a gate whose process has just restarted and found a run.
type restartedGate struct {
	*harness
	gate *gate.Gate
	run  job.RunName
	link uint64
}

const (
	restartedName = "gate-1"
	// bestEffortContact is how long a gate lets a best-effort run go on without contact
	// to its owner, durableContact the same for durable jobs (package node).
	bestEffortContact = 850 * time.Millisecond
	durableContact    = 1400 * time.Millisecond
	// gateTick is the interval between two ticks of a gate (package gate).
	gateTick = 100 * time.Millisecond
)

// restartGate has the owner place a best-effort task, restarts the gate's process while
// the task runs, and has the owner claim the run.
func restartGate(b *harness) *restartedGate {
	b.t.Helper()
	link := b.connect(restartedName)
	b.owner.RunBestEffort(testSubmission("00000000000000aa", 1), time.Minute, func(BestEffortResult) {})
	f := b.flush(restartedName, link)
	if len(f.Starts) != 1 {
		b.t.Fatalf("%d starts, want 1", len(f.Starts))
	}
	r := &restartedGate{harness: b, run: f.Starts[0].Name, link: link + 1}
	r.gate = gate.New(gate.Options{Node: restartedName, Lease: time.Second, ContactTimeout: durableContact, BestEffortContactTimeout: bestEffortContact})
	r.gate.OnHeartbeat(b.now, gate.Heartbeat{Incarnation: gate.Incarnation{ID: "i-1"}, Service: testService, Capacity: job.Resources{CPU: 16000, Memory: 32768}, Sequence: 1})
	r.hold()
	r.hold()
	if !r.gate.Connect(b.now, "entry~1", r.link, nil) {
		b.t.Fatal("link not accepted")
	}
	b.owner.LinkUp(restartedName, r.link, nil)
	r.exchange()
	return r
}

// hold makes the target list the run as running.
func (r *restartedGate) hold() gate.Actions {
	h := r.gate.NextHold(r.now, 0)
	r.now += time.Millisecond
	lists := gate.HoldAnswer{Running: []gate.Running{{Name: r.run, Percent: 10}}}
	return r.gate.OnHold(r.now, h, gate.Answer{ClockMS: r.now.Milliseconds(), Incarnation: gate.Incarnation{ID: "i-1"}}, lists, nil)
}

// exchange carries a frame from the gate to the owner and one back.
func (r *restartedGate) exchange() {
	r.t.Helper()
	f, ok := r.gate.Flush(r.now, "entry~1", r.link)
	if !ok {
		r.t.Fatal("the gate has no frame to send")
	}
	r.owner.OnFrame(restartedName, r.link, f)
	if _, ok := r.gate.OnFrame(r.now, "entry~1", r.link, r.flush(restartedName, r.link)); !ok {
		r.t.Fatal("frame not accepted")
	}
}

// stopped advances the time and returns after how long the gate stops the run.
func (r *restartedGate) stopped(most time.Duration, inContact bool) (after time.Duration, ok bool) {
	began := r.now
	for r.now-began < most {
		stops := len(r.hold().Stops)
		r.now += 49 * time.Millisecond
		if inContact {
			r.exchange()
		}
		if stops+len(r.gate.Tick(r.now).Stops) > 0 {
			return r.now - began, true
		}
	}
	return 0, false
}

// A best-effort run that a restarted gate has found must end after the contact time of
// best-effort jobs, not of durable ones, when its owner is lost.
func TestClaimedBestEffortRunOfLostOwner(t *testing.T) {
	r := restartGate(newHarness(t))
	if after, ok := r.stopped(3*time.Second, false); !ok || after > bestEffortContact+gateTick {
		t.Errorf("stopped %v after the owner's last frame (%v), want at most %v", after, ok, bestEffortContact+gateTick)
	}
}

// A best-effort run that a restarted gate has found must not be stopped while its owner
// is in contact, even if the owner holds no lease in the store.
func TestClaimedBestEffortRunOfOwnerWithoutLife(t *testing.T) {
	b := newHarness(t)
	b.now += 2 * time.Hour // After the lease that newHarness sets.
	r := restartGate(b)
	if after, ok := r.stopped(3*time.Second, true); ok {
		t.Errorf("stopped after %v though its owner is in contact", after)
	}
}
