package dispatch

import (
	"encoding/binary"
	"fmt"
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

// learn takes the loads that the entry box has sent along.
func (h *Home) learn(candidates []*wire.Candidate) {
	for _, c := range candidates {
		if c.GetAddress() == h.self {
			continue
		}
		h.peer(c.GetAddress()).observe(c)
	}
}

func (h *Home) peer(address string) *peer {
	p := h.peers[address]
	if p == nil {
		p = &peer{address: address, outstanding: map[taskKey]*task{}}
		h.peers[address] = p
	}
	return p
}

// targets returns the peers a job may use: the proposed ones and the home's own.
func (h *Home) targets(sub *Submission) ([]*peer, []TargetView) {
	var peers []*peer
	var views []TargetView
	add := func(p *peer) {
		if p.leaving() || p.downSince != 0 {
			return
		}
		peers = append(peers, p)
		views = append(views, p.view(p.address == h.self, h.rng.Float64()))
	}
	add(h.peers[h.self])
	for _, c := range sub.Candidates {
		if c.GetAddress() != h.self {
			add(h.peer(c.GetAddress()))
		}
	}
	return peers, views
}

// view returns what a policy sees of a job.
func (h *Home) view(sub *Submission) JobView {
	v := JobView{
		Submission:  sub.ID.String(),
		Member:      sub.Member,
		Kind:        sub.Kind,
		Tasks:       len(sub.Tasks),
		DeadlineMS:  millis(sub.Deadline),
		HomeWaiting: h.queue.tasks,
		MaxWaitMS:   h.maxWait,
		Domain:      h.domain,
	}
	if m := h.queue.members[sub.Member]; m != nil {
		for _, j := range m.jobs {
			v.MemberWaiting += len(j.waiting)
		}
	}
	total := 0.0
	for _, t := range sub.Tasks {
		expect := float64(sub.expectMS(t))
		total += expect
		v.LongestMS = max(v.LongestMS, expect)
	}
	v.ExpectMS = total / float64(len(sub.Tasks))
	h.viewLoad(sub, &v)
	return v
}

// viewLoad fills in what the known loads say of the wait.
func (h *Home) viewLoad(sub *Submission, v *JobView) {
	_, targets := h.targets(sub)
	waiting, service := float64(h.queue.tasks), 0.0
	for _, t := range targets {
		v.Slots += t.Slots
		v.Free += t.Free
		service += t.ServiceMS * float64(t.Slots)
		if !t.Self {
			waiting += float64(t.Waiting)
		}
	}
	if v.Slots == 0 {
		return
	}
	service /= float64(v.Slots)
	if service == 0 {
		service = v.ExpectMS
	}
	v.ExpectedWaitMS = max(0, waiting-float64(v.Free)) * service / float64(v.Slots)
}

// begin places the tasks of a new job.
func (h *Home) begin(now Time, j *job) {
	h.Counts.Accepted++
	h.active++
	h.queue.push(j)
	h.updateWanted(j)
	peers, views := h.targets(j.sub)
	plan := j.sub.Policy.Place(h.view(j.sub), views)
	for _, share := range plan.Start {
		for range share.N {
			if len(j.waiting) == 0 {
				break
			}
			h.send(now, j, peers[share.Target])
		}
	}
	if len(plan.Wait) > 0 {
		h.eager = plan.Eager
	}
	for _, i := range plan.Wait {
		h.waitAt(j, peers[i])
	}
	if len(j.wait) == 0 && len(j.waiting) > 0 {
		h.waitAnywhere(j, peers)
	}
	h.timers.add(j.deadline, func(now Time) { h.overdue(j) })
}

// waitAt registers the waiting tasks of a job at a peer.
func (h *Home) waitAt(j *job, p *peer) {
	for _, other := range j.wait {
		if other == p {
			return
		}
	}
	j.wait = append(j.wait, p)
	h.addWanting(p, j.wanted)
}

// send gives the first waiting task of a job to a peer.
func (h *Home) send(now Time, j *job, p *peer) {
	t := &j.tasks[j.waiting[0]]
	j.waiting = j.waiting[1:]
	h.queue.took(j)
	h.updateWanted(j)
	p.free--
	t.state = taskAssigned
	t.peer = p
	p.used = now
	if p.state == peerOpen {
		h.hand(now, p, t)
		return
	}
	p.pending = append(p.pending, t)
	h.mark(p)
}

// hand puts a task into the next note to an open peer.
func (h *Home) hand(now Time, p *peer, t *task) {
	sub := t.job.sub
	t.state = taskSent
	t.job.sent++
	p.outstanding[t.key()] = t
	note := h.noteFor(p)
	h.Counts.TasksSent++
	note.Starts = append(note.Starts, &wire.Start{
		Key:         t.key().wire(),
		Member:      sub.Member,
		Kind:        sub.Kind,
		Payload:     sub.Tasks[t.index].GetPayload(),
		LeaseMs:     uint32(sub.Lease.Milliseconds()),
		ExpectMs:    sub.expectMS(sub.Tasks[t.index]),
		Traceparent: sub.Trace,
	})
	h.timers.add(now+sub.Lease+leaseMargin, func(Time) { h.lapsed(t, p) })
}

// lapsed gives up a job whose task has outlived its lease without word.
func (h *Home) lapsed(t *task, p *peer) {
	if t.job.over() || t.state != taskSent || t.peer != p {
		return
	}
	h.fail(t.job, reasonLease, fmt.Sprintf("task %d got no result within its lease at %s", t.index, p.target))
}

// overdue gives up a job at its deadline.
func (h *Home) overdue(j *job) {
	if j.over() {
		return
	}
	h.fail(j, reasonDeadline, "the deadline passed")
}

// fail ends a job at once. What waits never starts; what runs is cancelled.
func (h *Home) fail(j *job, reason, detail string) {
	if j.over() {
		return
	}
	h.unsend(j)
	if !j.started() {
		h.end(j, wire.Outcome_OUTCOME_NOT_RUN, reason, detail, nil)
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskSent && t.peer.state == peerOpen {
			note := h.noteFor(t.peer)
			note.Cancels = append(note.Cancels, t.key().wire())
		}
	}
	h.end(j, wire.Outcome_OUTCOME_FAILED, reason, detail, j.results())
}

// unsend takes back the tasks of a job that have not left this process.
func (h *Home) unsend(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskAssigned {
			continue
		}
		t.peer.dropPending(t)
		h.putBack(t)
	}
}

func (p *peer) dropPending(t *task) {
	for i, other := range p.pending {
		if other == t {
			p.pending = append(p.pending[:i], p.pending[i+1:]...)
			return
		}
	}
}

// end writes the final answer of a job.
func (h *Home) end(j *job, o wire.Outcome, reason, detail string, results []*wire.TaskResult) {
	h.queue.remove(j)
	r := reply(o, reason, detail)
	r.Results = results
	r.HandledVersion = j.sub.Version
	r.Home = h.incarnation[:]
	switch o {
	case wire.Outcome_OUTCOME_COMPLETE:
		h.Counts.Complete++
	case wire.Outcome_OUTCOME_FAILED:
		h.Counts.Failed++
	case wire.Outcome_OUTCOME_NOT_RUN:
		h.Counts.Refused++
		r.RetryAfterMs = retryHintMS
	}
	h.active--
	h.ledger.keep(j.entry, r)
	h.updateWanted(j)
	j.wait = nil
	h.out = append(h.out, HomeAction{Answer: &Answered{Submission: j.sub.ID.Key(), Reply: r}})
}

// updateWanted asks the peers that a job waits at for as many slots as it wants.
// What is asked for must be just what a slot could start: a slot that comes and
// finds nothing goes back, and would be granted again at once.
func (h *Home) updateWanted(j *job) {
	more := j.wants() - j.wanted
	if more == 0 {
		return
	}
	j.wanted += more
	for _, p := range j.wait {
		h.addWanting(p, more)
	}
}

// addWanting changes the number of tasks that wait at a peer.
func (h *Home) addWanting(p *peer, n int) {
	was := p.wanting > 0
	p.wanting += n
	switch is := p.wanting > 0; {
	case is && !was:
		h.asked++
	case was && !is:
		h.asked--
	}
	h.mark(p)
}

// wish returns how many slots a peer is to be asked for. The own gate, where
// asking costs no message, is asked for all. Each other one is asked for its
// share only, so that a wish is used up before the queue has drained and need
// not be withdrawn.
func (h *Home) wish(p *peer) int {
	most := 2 * max(1, int(p.load.GetSlots()))
	if p.wanting == 0 {
		return 0
	}
	if p.address == h.self {
		return min(p.wanting, most)
	}
	share := p.wanting / h.asked
	if h.eager || h.peers[h.self].wanting == 0 {
		share = (p.wanting + h.asked - 1) / h.asked
	}
	return min(share, most)
}

// putBack makes a task that did not start wait again, ahead of the job's others.
func (h *Home) putBack(t *task) {
	j := t.job
	if t.state == taskSent {
		j.sent--
	}
	t.state = taskWaiting
	t.peer = nil
	if j.over() {
		return
	}
	if len(j.waiting) > 0 {
		h.queue.tasks++
		j.waiting = append([]uint32{t.index}, j.waiting...)
	} else {
		j.waiting = []uint32{t.index}
		h.queue.push(j)
	}
	h.updateWanted(j)
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
