package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"rackspur/id"
	"rackspur/wire"
)

const (
	testHome = "127.0.0.1:7000"
	testPeer = "127.0.0.1:7002"
	testStep = 30 * time.Millisecond
)

// bench drives a home by hand.
type bench struct {
	t    *testing.T
	home *Home
	now  Time
	inc  id.Incarnation
	// epochs and notes are what the home sent last to each peer.
	epochs  map[string]uint64
	notes   map[string][]*wire.HomeNote
	answers []*wire.SubmitReply
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, inc: id.NewIncarnation(), epochs: map[string]uint64{}, notes: map[string][]*wire.HomeNote{}}
	b.home = NewHome(HomeOptions{Incarnation: b.inc, Address: testHome, Target: "own", Domain: "a", Grace: time.Second, KeepBytes: 1 << 10})
	b.home.Configure(1, time.Minute)
	b.home.ledger.Issue(24 * time.Hour)
	return b
}

func (b *bench) did(actions []HomeAction) {
	for _, a := range actions {
		switch {
		case a.Hello != nil:
			b.epochs[a.Peer] = a.Hello.GetEpoch()
		case a.Note != nil:
			b.notes[a.Peer] = append(b.notes[a.Peer], a.Note)
		case a.Answer != nil:
			b.answers = append(b.answers, a.Answer.Reply)
		}
	}
}

func addrPort(text string) netip.AddrPort {
	return netip.MustParseAddrPort(text)
}

// newID mints an id of the home's first block.
func (b *bench) newID(member string) id.ID {
	key := b.home.ledger.secret.BlockKey(1)
	return id.Mint(addrPort(testHome), b.inc, 1, key[:], member)
}

func candidate(address string, slots, running uint32) *wire.Candidate {
	return &wire.Candidate{Address: address, Incarnation: make([]byte, id.IncarnationSize), Target: "t-" + address, Domain: "a",
		Load: &wire.Load{Slots: slots, Running: running, Pace: paceUnit}}
}

func (b *bench) submission(tasks int, candidates ...*wire.Candidate) *Submission {
	s := &Submission{ID: b.newID("m"), Member: "m", Kind: "k", ExpectMS: 100, Lease: time.Second,
		Deadline: 10 * time.Second, Candidates: candidates, Version: 1, Policy: Native{}}
	for i := range tasks {
		s.Tasks = append(s.Tasks, &wire.Task{Payload: []byte{'0' + byte(i)}})
	}
	return s
}

func (b *bench) submit(s *Submission) *wire.SubmitReply {
	r, actions := b.home.Submit(b.now, s)
	b.did(actions)
	return r
}

// open welcomes the home's newest session with a peer.
func (b *bench) open(peer string, known bool, revoked ...*wire.TaskKey) {
	w := &wire.Welcome{Incarnation: make([]byte, id.IncarnationSize), Known: known, Revoked: revoked}
	b.did(b.home.Opened(b.now, peer, b.epochs[peer], &wire.GateNote{Seq: 1, Welcome: w, Load: &wire.Load{Slots: 4, Pace: paceUnit}}))
}

func (b *bench) sent(peer string) []*wire.Start {
	var starts []*wire.Start
	for _, n := range b.notes[peer] {
		starts = append(starts, n.GetStarts()...)
	}
	return starts
}

func (b *bench) advance(d time.Duration) {
	b.now += d
	b.did(b.home.Tick(b.now))
}

func (b *bench) lose(peer string) {
	b.did(b.home.Lost(b.now, peer, b.epochs[peer]))
}

func TestHomeLostPeer(t *testing.T) {
	cases := []struct {
		name string
		// opened tells whether the session opened before the peer was lost.
		opened  bool
		tasks   int
		outcome wire.Outcome
	}{
		{"1 the only task was sent", true, 1, wire.Outcome_OUTCOME_FAILED},
		{"2 several tasks were sent", true, 3, wire.Outcome_OUTCOME_FAILED},
		{"3 nothing was sent", false, 1, wire.Outcome_OUTCOME_NOT_RUN},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			if r := b.submit(b.submission(tc.tasks, candidate(testPeer, 4, 0))); r != nil {
				t.Fatalf("answered at once: %v", r)
			}
			if tc.opened {
				b.open(testPeer, false)
				if n := len(b.sent(testPeer)); n != tc.tasks {
					t.Fatalf("%d tasks sent", n)
				}
			}
			b.lose(testPeer)
			for range 400 {
				b.advance(testStep)
				b.lose(testPeer)
			}
			if len(b.answers) != 1 || b.answers[0].GetOutcome() != tc.outcome {
				t.Fatalf("want %s: %v", tc.outcome, b.answers)
			}
			if tc.opened && b.now < time.Second {
				t.Errorf("given up before the grace")
			}
		})
	}
}

// TestHomeConfirmsLeaving has a gate leave: the home confirms that at once, and
// sends nothing over a session that opens with that word.
func TestHomeConfirmsLeaving(t *testing.T) {
	leaving := &wire.Load{Slots: 4, Pace: paceUnit, Leaving: true}
	t.Run("open session", func(t *testing.T) {
		b := newBench(t)
		b.submit(b.submission(1, candidate(testPeer, 4, 0)))
		b.open(testPeer, false)
		b.did(b.home.Received(b.now, testPeer, b.epochs[testPeer], &wire.GateNote{Seq: 2, Load: leaving}))
		if ack := b.lastNote(testPeer).GetAck(); ack != 2 {
			t.Errorf("confirmed up to %d, want 2", ack)
		}
	})
	t.Run("session that opens", func(t *testing.T) {
		b := newBench(t)
		b.submit(b.submission(1, candidate(testPeer, 4, 0)))
		w := &wire.Welcome{Incarnation: make([]byte, id.IncarnationSize)}
		b.did(b.home.Opened(b.now, testPeer, b.epochs[testPeer], &wire.GateNote{Seq: 1, Welcome: w, Load: leaving}))
		if n := len(b.sent(testPeer)); n != 0 {
			t.Errorf("%d tasks sent to a gate that leaves", n)
		}
		if ack := b.lastNote(testPeer).GetAck(); ack != 1 {
			t.Errorf("confirmed up to %d, want 1", ack)
		}
	})
}

func TestHomeSettlesSession(t *testing.T) {
	cases := []struct {
		name    string
		known   bool
		revoked bool
		outcome wire.Outcome
		sends   int
	}{
		{"1 revoked by the same gate runs again", true, true, wire.Outcome_OUTCOME_UNSPECIFIED, 2},
		{"2 lost by the same gate fails", true, false, wire.Outcome_OUTCOME_FAILED, 1},
		{"3 unknown to the gate fails", false, true, wire.Outcome_OUTCOME_FAILED, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			b.submit(b.submission(1, candidate(testPeer, 4, 0)))
			b.open(testPeer, false)
			first := b.sent(testPeer)
			b.lose(testPeer)
			b.advance(testStep)
			var revoked []*wire.TaskKey
			if tc.revoked {
				revoked = append(revoked, first[0].GetKey())
			}
			b.open(testPeer, tc.known, revoked...)
			if tc.outcome != wire.Outcome_OUTCOME_UNSPECIFIED && (len(b.answers) != 1 || b.answers[0].GetOutcome() != tc.outcome) {
				t.Fatalf("want %s: %v", tc.outcome, b.answers)
			}
			if tc.sends == 2 {
				b.did(b.home.Received(b.now, testPeer, b.epochs[testPeer], &wire.GateNote{Seq: 2, Grants: 1, Load: &wire.Load{Slots: 4, Pace: paceUnit}}))
			}
			if n := len(b.sent(testPeer)); n != tc.sends {
				t.Errorf("sent %d times, want %d", n, tc.sends)
			}
		})
	}
}

// refuse has a peer refuse everything sent since the given number of starts.
func (b *bench) refuse(peer string, seq uint64, from int) {
	n := &wire.GateNote{Seq: seq, Load: &wire.Load{Slots: 4, Running: 4, Pace: paceUnit}}
	for _, s := range b.sent(peer)[from:] {
		n.Refused = append(n.Refused, s.GetKey())
	}
	b.did(b.home.Received(b.now, peer, b.epochs[peer], n))
}

// grant has a peer reserve a slot.
func (b *bench) grant(peer string, seq uint64) {
	b.did(b.home.Received(b.now, peer, b.epochs[peer], &wire.GateNote{Seq: seq, Grants: 1, Load: &wire.Load{Slots: 4, Running: 3, Reserved: 1, Pace: paceUnit}}))
}

// openFull welcomes a session with a gate that has no free slot.
func (b *bench) openFull(peer string) {
	w := &wire.Welcome{Incarnation: make([]byte, id.IncarnationSize)}
	b.did(b.home.Opened(b.now, peer, b.epochs[peer], &wire.GateNote{Seq: 1, Welcome: w, Load: &wire.Load{Slots: 4, Running: 4, Pace: paceUnit}}))
}

// lastNote returns what the home sent last to a peer.
func (b *bench) lastNote(peer string) *wire.HomeNote {
	notes := b.notes[peer]
	if len(notes) == 0 {
		return nil
	}
	return notes[len(notes)-1]
}

// TestHomePausedJobWantsNothing has a task refused so often that the policy
// holds it back. A slot granted meanwhile goes back, and no other is asked for:
// asking again made the gate of the own box and the home pass the slot to and
// fro without end.
func TestHomePausedJobWantsNothing(t *testing.T) {
	b := newBench(t)
	b.submit(b.submission(1, candidate(testPeer, 4, 0)))
	b.open(testPeer, false)
	seq := uint64(1)
	for i := range pauseAfter {
		b.refuse(testPeer, seq+1, i)
		if i == 0 {
			b.openFull(testHome)
		}
		if want := b.lastNote(testHome).GetWant(); i < pauseAfter-1 && want != 1 {
			t.Fatalf("after %d refusals the job wants %d slots", i+1, want)
		}
		if i < pauseAfter-1 {
			b.grant(testPeer, seq+2)
		}
		seq += 2
	}
	if want := b.lastNote(testHome).GetWant(); want != 0 {
		t.Errorf("a job that is held back wants %d slots", want)
	}
	before := len(b.notes[testHome])
	b.grant(testHome, 2)
	notes := b.notes[testHome]
	if len(notes) != before+1 || notes[before].GetReturned() != 1 || notes[before].GetWant() != 0 {
		t.Fatalf("the slot did not go back: %v", notes[before:])
	}
	b.advance(time.Second)
	if want := b.lastNote(testHome).GetWant(); want != 1 {
		t.Errorf("after the pause the job wants %d slots", want)
	}
}

// sharing is the built-in policy, eager or not.
type sharing struct {
	Native
	eager bool
}

func (p sharing) Place(j JobView, targets []TargetView) Plan {
	plan := p.Native.Place(j, targets)
	plan.Eager = p.eager
	return plan
}

// TestHomeWishesShares has a queue that waits at several targets. Others are
// asked for their shares, and for nothing once nothing waits.
func TestHomeWishesShares(t *testing.T) {
	cases := []struct {
		name  string
		eager bool
		other uint32
	}{{"1 eager", true, 5}, {"2 not eager", false, 4}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			b.home.SelfLoad(&wire.Load{Slots: 4, Running: 4, Pace: paceUnit})
			s := b.submission(9, candidate(testPeer, 4, 4))
			s.Policy = sharing{eager: tc.eager}
			b.submit(s)
			b.openFull(testHome)
			b.openFull(testPeer)
			if own, other := b.lastNote(testHome).GetWant(), b.lastNote(testPeer).GetWant(); own != 8 || other != tc.other {
				t.Errorf("own gate asked for %d of 9, the other for %d", own, other)
			}
			for seq := uint64(2); b.home.Waiting() > 0; seq++ {
				b.grant(testHome, seq)
			}
			b.grant(testPeer, 2)
			if n := b.lastNote(testPeer); n.GetReturned() != 1 || n.GetWant() != 0 {
				t.Errorf("a slot for nobody: %v", n)
			}
		})
	}
}

// TestHomeFollowsUse has many gates come and go. Sessions without use end, and
// peers that are long gone are forgotten.
func TestHomeFollowsUse(t *testing.T) {
	b := newBench(t)
	b.home.SelfLoad(&wire.Load{Slots: 1, Running: 1, Pace: paceUnit})
	closed := 0
	for i := range 200 {
		peer := fmt.Sprintf("127.0.0.2:%d", 1000+i)
		b.submit(b.submission(1, candidate(peer, 4, 0)))
		b.open(peer, false)
		sent := b.sent(peer)
		done := &wire.Result{Key: sent[0].GetKey(), Status: wire.TaskStatus_TASK_STATUS_DONE}
		b.did(b.home.Received(b.now, peer, b.epochs[peer], &wire.GateNote{Seq: 2, Results: []*wire.Result{done}}))
		b.now += 20 * time.Second
		for _, a := range b.home.Tick(b.now) {
			if a.Close {
				closed++
				b.lose(a.Peer)
			}
		}
	}
	if closed < 190 {
		t.Errorf("%d of 200 sessions were ended", closed)
	}
	if n := len(b.home.peers); n > 50 {
		t.Errorf("%d peers are remembered", n)
	}
}
