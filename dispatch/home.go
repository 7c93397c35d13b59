package dispatch

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"rackspur/id"
	"rackspur/wire"
)

const (
	// leaseMargin is how long after the end of a lease the home waits for word.
	leaseMargin = 250 * time.Millisecond
	// reconnectPause is the time between two tries to reach a gate again.
	reconnectPause = 25 * time.Millisecond
	// ackBacklog is how many results may wait for an acknowledgement that
	// travels with something else.
	ackBacklog = 256
	// sessionIdle is how long a session stays open without use, peerRetention how
	// long a peer is remembered. By then its gate has forgotten this home too, so
	// that epochs may begin anew.
	sessionIdle   = time.Minute
	peerRetention = 5 * sessionRetention
	// retryHintMS is the advice to callers whose submission was refused for load.
	retryHintMS = 250
)

// Reasons that callers are told. Programs may name others.
const (
	// ReasonOverloaded: the expected wait leaves no time to run.
	ReasonOverloaded = "overloaded"

	reasonNoTarget   = "no-target"
	reasonLeaving    = "leaving"
	reasonLeft       = "left"
	reasonExpired    = "expired"
	reasonDropped    = "dropped"
	reasonNoSuchID   = "no-such-id"
	reasonWrongHome  = "wrong-home"
	reasonReused     = "id-reused"
	reasonUnseen     = "unseen"
	reasonRunning    = "running"
	reasonCancelled  = "cancelled"
	reasonDeadline   = "deadline"
	reasonLease      = "lease"
	reasonLost       = "lost"
	reasonTargetLost = "target-lost"
	reasonTaskFailed = "task-failed"
	reasonRetries    = "retries"
)

// Home judges the submissions whose ids it issued and runs their jobs.
type Home struct {
	incarnation id.Incarnation
	self        string
	domain      string
	grace       Time
	ledger      *Ledger
	queue       *fairQueue
	peers       map[string]*peer
	marked      []*peer
	timers      timers
	active      int
	// asked counts the peers at which tasks wait.
	asked int
	// eager is set by the last plan that had tasks wait.
	eager bool
	// tidied is when sessions and peers were last looked through.
	tidied  Time
	leaving bool
	version uint64
	maxWait float64
	rng     *rand.Rand
	out     []HomeAction
	// Counts are running totals for observation.
	Counts HomeCounts
}

// HomeCounts are totals since the start of the process.
type HomeCounts struct {
	Accepted, Joined, Refused, Complete, Failed, TasksSent, TasksRefused int64
}

// HomeOptions are the parts of a home that its surroundings decide.
type HomeOptions struct {
	Incarnation id.Incarnation
	// Address is where other processes reach this home and its gate.
	Address string
	// Target is the name of the target on the same box, Domain its failure domain.
	Target, Domain string
	// Grace is how long a gate may be out of reach before its tasks count as lost.
	Grace time.Duration
	// KeepBytes bounds the results kept for callers that ask again.
	KeepBytes int
}

// NewHome returns a home without submissions.
func NewHome(o HomeOptions) *Home {
	h := &Home{
		incarnation: o.Incarnation,
		self:        o.Address,
		domain:      o.Domain,
		grace:       o.Grace,
		ledger:      NewLedger(o.Incarnation, o.KeepBytes),
		queue:       newFairQueue(),
		peers:       map[string]*peer{},
		rng:         rand.New(rand.NewPCG(binary.BigEndian.Uint64(o.Incarnation[:]), 0)),
	}
	own := h.peer(o.Address)
	own.target = o.Target
	own.domain = o.Domain
	own.incarnation = o.Incarnation[:]
	return h
}

// Ledger returns the home's ledger.
func (h *Home) Ledger() *Ledger {
	return h.ledger
}

// Configure sets the configuration version and the longest wait that is admitted.
func (h *Home) Configure(version uint64, maxWait time.Duration) {
	h.version = version
	h.maxWait = millis(maxWait)
}

// Waiting returns the number of tasks in the queue.
func (h *Home) Waiting() int {
	return h.queue.tasks
}

// Active returns the number of submissions without a final answer.
func (h *Home) Active() int {
	return h.active
}

// Wake returns the time of the next thing to do, or false if there is none.
func (h *Home) Wake() (Time, bool) {
	return h.timers.next()
}

// Tick does what is due.
func (h *Home) Tick(now Time) []HomeAction {
	h.timers.run(now)
	if now > h.tidied+sessionIdle {
		h.tidy(now)
	}
	return h.flush()
}

// tidy ends sessions without use and forgets peers that are long gone, so that
// a home's streams and memory follow what it uses and not the size of the fleet.
func (h *Home) tidy(now Time) {
	h.tidied = now
	for address, p := range h.peers {
		if address == h.self || !p.idle() {
			continue
		}
		if p.state == peerOpen && now > p.used+sessionIdle {
			h.out = append(h.out, HomeAction{Peer: address, Close: true})
		}
		if p.state == peerClosed && now > p.used+peerRetention {
			delete(h.peers, address)
		}
	}
}

// SelfLoad takes the load of the home's own gate.
func (h *Home) SelfLoad(l *wire.Load) {
	h.peers[h.self].setLoad(l)
}

// Leave closes the home: ids not seen so far are refused, jobs of which a task
// has started go on, and the policy decides about the others.
func (h *Home) Leave(p Policy) []HomeAction {
	h.leaving = true
	var idle []*job
	v := DrainView{}
	for _, j := range h.queue.all() {
		if !j.started() {
			idle = append(idle, j)
			v.Jobs++
			v.Waiting += len(j.waiting)
		}
	}
	verdict := p.Drain(v)
	if verdict.Move {
		return h.flush()
	}
	for _, j := range idle {
		h.fail(j, verdict.Reason, "the home leaves")
	}
	return h.flush()
}

// Submit judges a submission. It returns the answer if there is one already;
// otherwise the answer comes as an action.
func (h *Home) Submit(now Time, sub *Submission) (*wire.SubmitReply, []HomeAction) {
	refused, e := h.ledger.check(sub.ID, sub.Member)
	if refused != nil {
		return refused, nil
	}
	print := sub.fingerprint()
	if e != nil {
		return h.join(e, print), nil
	}
	if h.ledger.expired(sub.ID, now) {
		return reply(wire.Outcome_OUTCOME_FORGOTTEN, reasonExpired, "the id has expired; its outcome is no longer known"), nil
	}
	e = &entry{fingerprint: print}
	h.ledger.put(sub.ID, e)
	if r := h.judge(sub); r != nil {
		return h.refuse(e, sub, r), nil
	}
	e.job = newJob(now, sub, e)
	h.begin(now, e.job)
	return nil, h.flush()
}

// join answers a submission whose id was seen before; nil means it still runs.
func (h *Home) join(e *entry, print uint64) *wire.SubmitReply {
	h.Counts.Joined++
	if e.fingerprint != print && e.fingerprint != 0 {
		return reply(wire.Outcome_OUTCOME_UNSPECIFIED, reasonReused, "another job was sent under this id")
	}
	return e.reply
}

// judge decides whether a new submission may run.
func (h *Home) judge(sub *Submission) *Refusal {
	if sub.Refusal != nil {
		return sub.Refusal
	}
	if h.leaving {
		return &Refusal{Reason: reasonLeaving, Detail: "the home of this id is leaving", RetryAfterMS: 1}
	}
	h.learn(sub.Candidates)
	v := sub.Policy.Admit(h.view(sub))
	if v.Admit {
		return nil
	}
	return &Refusal{Reason: v.Reason, Detail: "refused by the admission policy", RetryAfterMS: v.RetryAfterMS}
}

// refuse writes a refusal into the ledger before it is sent, so that the id
// can never run later.
func (h *Home) refuse(e *entry, sub *Submission, why *Refusal) *wire.SubmitReply {
	h.Counts.Refused++
	r := reply(wire.Outcome_OUTCOME_NOT_RUN, why.Reason, why.Detail)
	r.RetryAfterMs = why.RetryAfterMS
	r.HandledVersion = sub.Version
	h.ledger.keep(e, r)
	return r
}

func (h *Home) peer(address string) *peer {
	p := h.peers[address]
	if p == nil {
		p = &peer{address: address, outstanding: map[taskKey]*task{}}
		h.peers[address] = p
	}
	return p
}

// Ask answers a question about a submission, or cancels it.
func (h *Home) Ask(now Time, v id.ID, member string, cancel bool) (*wire.SubmitReply, []HomeAction) {
	refused, e := h.ledger.check(v, member)
	if refused != nil {
		return refused, nil
	}
	if e == nil && !cancel {
		return reply(wire.Outcome_OUTCOME_UNSEEN, reasonUnseen, "no job was sent under this id so far"), nil
	}
	if e == nil {
		e = &entry{}
		h.ledger.put(v, e)
		h.Counts.Refused++
		h.ledger.keep(e, reply(wire.Outcome_OUTCOME_NOT_RUN, reasonCancelled, "cancelled before a job was sent"))
	}
	if e.reply == nil && cancel {
		h.fail(e.job, reasonCancelled, "cancelled by the caller")
	}
	if e.reply == nil {
		return reply(wire.Outcome_OUTCOME_RUNNING, reasonRunning, ""), nil
	}
	return e.reply, h.flush()
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func fromMillis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
