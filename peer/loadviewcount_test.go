package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/loadview"
	"rackspur/member"
	"rackspur/owner"
)

// linkedFleet is a deployment of real owners and gates that are linked as in the product.
type linkedFleet struct {
	t      *testing.T
	now    time.Duration
	owners map[string]*owner.Owner
	gates  map[string]*gate.Gate
	// share has the gates of each entry box.
	share map[string][]member.Box
}

func newLinkedFleet(t *testing.T, entries, gates int) *linkedFleet {
	f := &linkedFleet{t: t, now: 10 * time.Second, owners: map[string]*owner.Owner{}, gates: map[string]*gate.Gate{}, share: map[string][]member.Box{}}
	names, boxes := testFleet(entries, gates)
	target := gate.Incarnation{ID: "i-1"}
	for _, b := range boxes {
		g := gate.New(gate.Options{Node: b.Node, Lease: time.Second, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond})
		g.OnHeartbeat(f.now, gate.Heartbeat{Incarnation: target, Service: "engine", Capacity: job.Resources{CPU: 32000, Memory: 32768}, ClockMS: f.now.Milliseconds(), Sequence: 1})
		for range 2 {
			g.OnHold(f.now, g.NextHold(f.now, 0), gate.Answer{ClockMS: f.now.Milliseconds(), Incarnation: target}, gate.HoldAnswer{}, nil)
		}
		f.gates[b.Node] = g
	}
	for _, e := range names {
		o := owner.New(owner.Options{
			Incarnation: e, Parts: 1, ContactTimeout: 1400 * time.Millisecond, BestEffortContactTimeout: 850 * time.Millisecond, Lease: time.Second,
			KeepFinished: time.Minute, Log: logr.Discard(), Decisions: owner.Decisions{SharedLoad: true},
			Now: func() time.Duration { return f.now }, WallClock: time.Now,
		}, nil)
		o.SetOwners(entries)
		f.owners[e] = o
		f.share[e] = testShare(e, names, boxes).own
		for _, b := range boxes {
			o.AddGate(b.Node, b.Zone)
		}
		for _, b := range f.share[e] {
			if !f.gates[b.Node].Connect(f.now, e, 1, nil) {
				t.Fatalf("%s turned %s away", b.Node, e)
			}
			o.LinkUp(b.Node, 1, nil)
		}
	}
	return f
}

// traffic is the number of bytes of the fields of the shared view in one frame of each link.
type traffic struct {
	ownerBytes, gateBytes map[string]int
	// most is the largest size of a field.
	most int
}

// exchange carries a frame over each link in both directions, and counts.
func (f *linkedFleet) exchange() traffic {
	n := traffic{ownerBytes: map[string]int{}, gateBytes: map[string]int{}}
	for e, o := range f.owners {
		for _, b := range f.share[e] {
			frame, _ := f.gates[b.Node].Flush(f.now, e, 1)
			wire := toGateFrame(frame)
			size := proto.Size(wire)
			wire.Report.OthersWaiting = nil
			n.gateBytes[b.Node] += size - proto.Size(wire)
			n.most = max(n.most, size-proto.Size(wire))
			frame.Report.Free, frame.Report.Queued = job.Resources{}, frame.Report.Capacity
			o.OnFrame(b.Node, 1, frame)
		}
	}
	for e, o := range f.owners {
		for _, b := range f.share[e] {
			frame, _ := o.Flush(b.Node, 1)
			wire := toOwnerFrame(frame)
			size := proto.Size(wire)
			f.gates[b.Node].OnFrame(f.now, e, 1, fromOwnerFrame(wire))
			wire.Waiting = nil
			n.ownerBytes[e] += size - proto.Size(wire)
			n.most = max(n.most, size-proto.Size(wire))
		}
	}
	return n
}

func (n traffic) total() (ownerMost, gateMost, all int) {
	for _, b := range n.ownerBytes {
		ownerMost = max(ownerMost, b)
		all += b
	}
	for _, b := range n.gateBytes {
		gateMost = max(gateMost, b)
		all += b
	}
	return ownerMost, gateMost, all
}

// What the shared view costs a process depends on the process's own links: a gate has an
// entry for each, and a frame has a field of bounded size. An idle fleet sends nothing.
func TestLoadViewGrowsWithLinksOnly(t *testing.T) {
	// maxField is the size of the largest field: the tag, the length, and 5 bytes for each
	// bucket and for the number of silent owners.
	const maxField = 1 + 1 + 5*(loadview.Buckets+1)
	for _, size := range []struct{ entries, gates int }{{10, 60}, {184, 800}} {
		t.Run(fmt.Sprintf("%d entries, %d gates", size.entries, size.gates), func(t *testing.T) {
			f := newLinkedFleet(t, size.entries, size.gates)
			announced := f.exchange()
			f.exchange()
			idle := f.exchange()
			if _, _, all := idle.total(); all != 0 {
				t.Errorf("%d bytes while nothing waits", all)
			}
			jobs := 0
			for _, o := range f.owners {
				for range 4 {
					jobs++
					o.RunBestEffort(job.Submission{
						ID: job.ID(fmt.Sprintf("%016x", jobs)), Spec: "spec", BestEffort: true,
						Queue: job.Queue{Name: "wide", Service: "engine", Attempts: 2, Stretch: 1.6, TargetLatencyMS: 60, Priority: jobs % 4},
						Steps: []job.Step{{Count: 8, Need: job.Resources{CPU: 2700, Memory: 64}, EstimateMS: 55 * (1 + jobs%4*4)}},
					}, time.Minute, func(owner.BestEffortResult) {})
				}
			}
			f.now += 20 * time.Millisecond
			f.exchange()
			busy := f.exchange()
			links, mostOfOwner, mostOfGate := 0, 0, 0
			linksOf := map[string]int{}
			for e, own := range f.share {
				links += len(own)
				mostOfOwner = max(mostOfOwner, len(own))
				if n := busy.ownerBytes[e]; n > len(own)*maxField {
					t.Errorf("%d bytes in the frames of %s, which has %d links", n, e, len(own))
				}
				for _, b := range own {
					linksOf[b.Node]++
				}
			}
			for g, n := range linksOf {
				mostOfGate = max(mostOfGate, n)
				if bytes := busy.gateBytes[g]; bytes > n*maxField {
					t.Errorf("%d bytes in the frames of %s, which has %d links", bytes, g, n)
				}
			}
			if mostOfGate > ownersPerGate {
				t.Errorf("a gate has %d links, and an entry for each", mostOfGate)
			}
			waiting := 0
			for _, o := range f.owners {
				if o.LoadStats().Own > 0 {
					waiting++
				}
			}
			if waiting == 0 {
				t.Error("no owner has waiting work")
			}
			ownerMost, gateMost, all := busy.total()
			_, _, first := announced.total()
			t.Logf("%d links, at most %d of an owner and %d of a gate; bytes in a frame of each link: announced %d, idle 0, busy %d in all (%.1f a frame, largest %d), at most %d of an owner and %d of a gate; %d owners with waiting work",
				links, mostOfOwner, mostOfGate, first, all, float64(all)/float64(2*links), busy.most, ownerMost, gateMost, waiting)
		})
	}
}
