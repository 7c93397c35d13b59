package dispatch

import (
	"time"

	"rackspur/id"
	"rackspur/wire"
)

const (
	// grantTimeout is how long a slot stays reserved for a home that does not use it.
	grantTimeout = 100 * time.Millisecond
	// sessionRetention is how long a gate remembers a home that is gone.
	sessionRetention = 2 * time.Minute
	// grantRun is how many grants in a row go to the home whose task just ended:
	// the grant then travels with the result and costs no message of its own.
	grantRun = 4
	// paceUnit is the pace of a target that runs tasks in the expected time.
	paceUnit = 1000
	// smoothing is the weight of the newest sample in a moving average.
	smoothing = 0.1
)

// Gate starts tasks on one target and tells their homes what became of them.
type Gate struct {
	incarnation id.Incarnation
	slots       int
	// busy counts slots that may be in use by tasks of an earlier process.
	busy int
	// held counts slots of tasks whose end nobody told; see Hold.
	held     int
	running  int
	reserved int
	leaving  bool
	pace     float64
	service  float64
	sessions map[id.Incarnation]*session
	// waiters are the sessions that want slots, in their order of service.
	waiters []*session
	lastRun int
	dirty   []*session
	out     []GateAction
	// Counts are running totals for observation.
	Counts GateCounts
}

// GateCounts are totals since the start of the process.
type GateCounts struct {
	Started, Refused, Duplicates, Grants, GrantsReturned, GrantsLapsed int64
}

// session is what a gate knows of one home.
type session struct {
	home      id.Incarnation
	epoch     uint64
	connected bool
	lostAt    Time
	seq       uint64
	records   map[taskKey]*record
	finished  []taskKey
	want      int
	granted   uint64
	reserved  int
	lapse     Time
	note      *wire.GateNote
	// leaveSeq is the first note that told the home of the gate's leaving, 0
	// before; acked is the newest note that the home has handled.
	leaveSeq uint64
	acked    uint64
}

// record remembers a task that started, until its home has the result.
type record struct {
	result *wire.Result
	seq    uint64
}

// NewGate returns a gate for a target with the given number of slots. All of
// them count as busy until SetBusy says otherwise.
func NewGate(n id.Incarnation, slots int) *Gate {
	return &Gate{
		incarnation: n,
		slots:       slots,
		busy:        slots,
		pace:        paceUnit,
		sessions:    map[id.Incarnation]*session{},
	}
}

// SetBusy tells how many slots are held by tasks that this process did not start.
func (g *Gate) SetBusy(n int) []GateAction {
	g.busy = n
	g.grantFree(nil)
	return g.flush()
}

// Hold keeps a slot from use: its task ended for its home without an answer of
// the target, which may run it until the end of its lease.
func (g *Gate) Hold() {
	g.held++
}

// Release ends a Hold.
func (g *Gate) Release(now Time) []GateAction {
	g.held--
	g.grantFree(nil)
	return g.flushAt(now)
}

// Free returns the number of slots that can take a task now.
func (g *Gate) Free() int {
	if g.leaving {
		return 0
	}
	return max(0, g.slots-g.busy-g.held-g.running-g.reserved)
}

// Running returns the number of tasks in flight.
func (g *Gate) Running() int {
	return g.running
}

// Load returns the gate's part of a load report.
func (g *Gate) Load() *wire.Load {
	return &wire.Load{
		Slots:     uint32(g.slots),
		Running:   uint32(g.running + g.busy + g.held),
		Reserved:  uint32(g.reserved),
		Pace:      uint32(g.pace),
		ServiceUs: uint32(g.service),
		Leaving:   g.leaving,
	}
}

// Leave closes the gate: nothing more starts; what runs goes on. All homes are told.
func (g *Gate) Leave() []GateAction {
	if g.leaving {
		return nil
	}
	g.leaving = true
	for _, s := range g.sessions {
		s.want = 0
		g.touch(s)
	}
	g.waiters = nil
	return g.flush()
}

// Settled says whether each home with an open session has handled the word that
// the gate leaves, and so sends no more starts, and all results.
func (g *Gate) Settled() bool {
	for _, s := range g.sessions {
		told := s.leaveSeq != 0 && s.acked >= s.leaveSeq
		if s.connected && (!told || len(s.finished) > 0) {
			return false
		}
	}
	return true
}

// Return opens a gate that was closed by a declaration since withdrawn.
func (g *Gate) Return() {
	g.leaving = false
	for _, s := range g.sessions {
		s.leaveSeq = 0
	}
}

// Hello opens a session. It reports false for an epoch that is not newer than
// the session's last: such a session is a left-over and must be dropped.
func (g *Gate) Hello(now Time, h *wire.Hello) ([]GateAction, bool) {
	home, ok := id.IncarnationOf(h.GetHome())
	if !ok {
		return nil, false
	}
	s, known := g.sessions[home]
	if known && h.GetEpoch() <= s.epoch {
		return nil, false
	}
	if !known {
		s = &session{home: home, records: map[taskKey]*record{}}
		g.sessions[home] = s
	}
	g.release(s)
	s.epoch = h.GetEpoch()
	s.connected = true
	s.leaveSeq = 0
	s.granted = 0
	s.note = nil
	note := g.touch(s)
	note.Welcome = g.welcome(s, h, known)
	return g.flush(), true
}

// welcome sorts the tasks that the home is unsure of. Anything without a record
// never started, and never will: starts of older epochs are not obeyed.
func (g *Gate) welcome(s *session, h *wire.Hello, known bool) *wire.Welcome {
	w := &wire.Welcome{Incarnation: g.incarnation[:], Known: known}
	if !known {
		return w
	}
	for _, k := range h.GetOutstanding() {
		r := s.records[keyOf(k)]
		switch {
		case r == nil:
			w.Revoked = append(w.Revoked, k)
		case r.result == nil:
			w.Running = append(w.Running, k)
		default:
			g.report(s, r)
		}
	}
	return w
}

// Note handles a note of a home's session.
func (g *Gate) Note(now Time, home id.Incarnation, epoch uint64, n *wire.HomeNote) []GateAction {
	s := g.sessions[home]
	if s == nil || s.epoch != epoch {
		g.Counts.Duplicates++
		return nil
	}
	s.acked = max(s.acked, n.GetAck())
	s.forget(n.GetAck())
	g.takeBack(s, int(n.GetReturned()))
	for _, start := range n.GetStarts() {
		g.start(s, start)
	}
	g.setWant(s, int(n.GetWant())-int(s.granted-n.GetGrantedSeen()))
	g.grantFree(nil)
	if s.reserved > 0 {
		s.lapse = now + grantTimeout
	}
	return g.flushAt(now)
}

func (g *Gate) start(s *session, start *wire.Start) {
	key := keyOf(start.GetKey())
	if s.records[key] != nil {
		g.Counts.Duplicates++
		return
	}
	if g.leaving || (s.reserved == 0 && g.Free() == 0) {
		g.Counts.Refused++
		note := g.touch(s)
		note.Refused = append(note.Refused, start.GetKey())
		return
	}
	if s.reserved > 0 {
		s.reserved--
		g.reserved--
	}
	s.records[key] = &record{}
	g.running++
	g.Counts.Started++
	g.out = append(g.out, GateAction{Start: &Run{Home: s.home, Start: start}})
}

// Done tells that a task has ended.
func (g *Gate) Done(now Time, run *Run, result *wire.Result) []GateAction {
	g.running--
	g.observe(run, result)
	s := g.sessions[run.Home]
	if s == nil {
		g.grantFree(nil)
		return g.flushAt(now)
	}
	key := keyOf(run.Start.GetKey())
	r := s.records[key]
	r.result = result
	g.report(s, r)
	s.finished = append(s.finished, key)
	g.grantFree(s)
	return g.flushAt(now)
}

func (g *Gate) observe(run *Run, result *wire.Result) {
	took := float64(result.GetRunUs())
	if g.service == 0 {
		g.service = took
	}
	g.service += smoothing * (took - g.service)
	expect := float64(run.Start.GetExpectMs()) * 1000
	if expect <= 0 {
		return
	}
	g.pace += smoothing * (paceUnit*took/expect - g.pace)
}

// report puts a result into the next note to the session's home.
func (g *Gate) report(s *session, r *record) {
	note := g.touch(s)
	note.Results = append(note.Results, r.result)
	r.seq = s.seq + 1
}

// forget drops the records whose results the home has handled.
func (s *session) forget(ack uint64) {
	kept := s.finished[:0]
	for _, key := range s.finished {
		if r := s.records[key]; r.seq > ack {
			kept = append(kept, key)
			continue
		}
		delete(s.records, key)
	}
	s.finished = kept
}

// Lost tells that a session's connection broke.
func (g *Gate) Lost(now Time, home id.Incarnation, epoch uint64) []GateAction {
	s := g.sessions[home]
	if s == nil || s.epoch != epoch {
		return nil
	}
	s.connected = false
	s.lostAt = now
	s.note = nil
	g.release(s)
	g.grantFree(nil)
	return g.flushAt(now)
}

// release takes back what a session held or waited for.
func (g *Gate) release(s *session) {
	g.reserved -= s.reserved
	s.reserved = 0
	g.setWant(s, 0)
}

// Tick lets unused reservations lapse and forgets homes that are long gone.
func (g *Gate) Tick(now Time) []GateAction {
	for home, s := range g.sessions {
		if s.reserved > 0 && now > s.lapse {
			g.Counts.GrantsLapsed += int64(s.reserved)
			g.reserved -= s.reserved
			s.reserved = 0
		}
		if !s.connected && now > s.lostAt+sessionRetention {
			delete(g.sessions, home)
		}
	}
	g.grantFree(nil)
	return g.flushAt(now)
}

// touch returns the note to be sent to the session's home after this event.
func (g *Gate) touch(s *session) *wire.GateNote {
	if s.note == nil {
		s.note = &wire.GateNote{}
		g.dirty = append(g.dirty, s)
	}
	return s.note
}

func (g *Gate) flushAt(now Time) []GateAction {
	for _, s := range g.dirty {
		if s.note != nil && s.note.GetGrants() > 0 {
			s.lapse = now + grantTimeout
		}
	}
	return g.flush()
}

// flush returns the actions of this event, one note for each home at most.
func (g *Gate) flush() []GateAction {
	for _, s := range g.dirty {
		note := s.note
		s.note = nil
		if note == nil || !s.connected {
			continue
		}
		s.seq++
		if g.leaving && s.leaveSeq == 0 {
			s.leaveSeq = s.seq
		}
		note.Seq = s.seq
		note.Load = g.Load()
		g.out = append(g.out, GateAction{Home: s.home, Note: note})
	}
	g.dirty = g.dirty[:0]
	out := g.out
	g.out = nil
	return out
}
