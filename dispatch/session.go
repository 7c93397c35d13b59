package dispatch

import (
	"rackspur/wire"
)

// This file holds the home's side of its sessions with gates.

// Opened handles the welcome of a gate, the first note of a session.
func (h *Home) Opened(now Time, address string, epoch uint64, n *wire.GateNote) []HomeAction {
	p := h.peers[address]
	if p == nil || p.epoch != epoch || p.state != peerConnecting {
		return nil
	}
	w := n.GetWelcome()
	h.settle(now, p, w, n.GetResults())
	p.incarnation = w.GetIncarnation()
	p.state = peerOpen
	p.downSince = 0
	p.retries = 0
	p.grantsSeen, p.grants, p.wantSent, p.seq, p.acked = 0, 0, 0, 0, 0
	h.take(now, p, n)
	h.handPending(now, p)
	h.mark(p)
	return h.flush()
}

// handPending sends the tasks that waited for the session; a gate that leaves
// gets none of them.
func (h *Home) handPending(now Time, p *peer) {
	pending := p.pending
	p.pending = nil
	for _, t := range pending {
		if !p.leaving() {
			h.hand(now, p, t)
			continue
		}
		h.putBack(t)
		if !t.job.over() {
			h.replace(now, t.job)
		}
	}
}

// settle decides about the tasks that were outstanding when the last session
// broke. Only the same incarnation, with its memory, can say that a task never
// started; in every other case the task counts as started.
func (h *Home) settle(now Time, p *peer, w *wire.Welcome, results []*wire.Result) {
	if len(p.outstanding) == 0 {
		return
	}
	if !p.same(w.GetIncarnation()) || !w.GetKnown() {
		h.giveUp(p, "the process at "+p.target+" is gone")
		return
	}
	sure := map[taskKey]bool{}
	for _, k := range w.GetRunning() {
		sure[keyOf(k)] = true
	}
	for _, r := range results {
		sure[keyOf(r.GetKey())] = true
	}
	for _, k := range w.GetRevoked() {
		sure[keyOf(k)] = true
		if t := p.outstanding[keyOf(k)]; t != nil {
			delete(p.outstanding, keyOf(k))
			h.putBack(t)
		}
	}
	for key, t := range p.outstanding {
		if !sure[key] {
			delete(p.outstanding, key)
			h.fail(t.job, reasonLost, "the outcome of a task at "+p.target+" is lost")
		}
	}
}

// giveUp fails the jobs with tasks outstanding at a peer.
func (h *Home) giveUp(p *peer, detail string) {
	lost := p.outstanding
	p.outstanding = map[taskKey]*task{}
	for _, t := range lost {
		h.fail(t.job, reasonTargetLost, detail)
	}
}

// Received handles a note of a gate's open session.
func (h *Home) Received(now Time, address string, epoch uint64, n *wire.GateNote) []HomeAction {
	p := h.peers[address]
	if p == nil || p.epoch != epoch || p.state != peerOpen {
		return nil
	}
	h.take(now, p, n)
	return h.flush()
}

// take handles the parts of a gate note.
func (h *Home) take(now Time, p *peer, n *wire.GateNote) {
	p.version = n.GetConfigVersion()
	p.setLoad(n.GetLoad())
	if n.GetSeq()-p.acked >= ackBacklog || n.GetLoad().GetLeaving() {
		h.noteFor(p)
	}
	for _, r := range n.GetResults() {
		h.result(p, r)
	}
	for _, k := range n.GetRefused() {
		h.refused(now, p, k)
	}
	granted := int(n.GetGrants())
	p.grantsSeen += uint64(granted)
	p.wantSent = max(0, p.wantSent-granted)
	p.grants += granted
	p.seq = n.GetSeq()
	h.useGrants(now, p)
	if p.leaving() {
		h.leaveOff(p)
	}
}

// result takes the end of a task.
func (h *Home) result(p *peer, r *wire.Result) {
	key := keyOf(r.GetKey())
	t := p.outstanding[key]
	if t == nil {
		return
	}
	delete(p.outstanding, key)
	j := t.job
	if j.over() {
		return
	}
	t.result = r
	j.sent--
	j.done++
	if r.GetStatus() != wire.TaskStatus_TASK_STATUS_DONE {
		t.state = taskFailed
		h.fail(j, reasonTaskFailed, "task failed at "+p.target+": "+r.GetError())
		return
	}
	t.state = taskDone
	if j.done == len(j.tasks) {
		h.end(j, wire.Outcome_OUTCOME_COMPLETE, "", "", j.results())
	}
}

// refused takes back a task that a gate did not and will not start.
func (h *Home) refused(now Time, p *peer, k *wire.TaskKey) {
	t := p.outstanding[keyOf(k)]
	if t == nil {
		return
	}
	delete(p.outstanding, keyOf(k))
	p.free = 0
	h.Counts.TasksRefused++
	t.refusals++
	h.putBack(t)
	j := t.job
	if j.over() {
		return
	}
	v := j.sub.Policy.Retry(RetryView{Submission: j.sub.ID.String(), Kind: j.sub.Kind, Refusals: t.refusals, LeftMS: millis(j.deadline - now)})
	switch {
	case !v.Again:
		h.fail(j, reasonRetries, "too many targets refused a task")
	case v.AfterMS > 0:
		h.pause(now, j, v.AfterMS)
	default:
		h.replace(now, j)
	}
}

// replace tries a refused task at a target that seems to have a slot, the own
// one first. If there is none, the job waits.
func (h *Home) replace(now Time, j *job) {
	peers, views := h.targets(j.sub)
	best, most := -1, 0.0
	for i, v := range views {
		weight := float64(v.Free) * v.Tie
		if v.Self && v.Free > 0 {
			best = i
			break
		}
		if v.Free > 0 && weight > most {
			best, most = i, weight
		}
	}
	if best >= 0 {
		h.send(now, j, peers[best])
		return
	}
	if len(j.wait) == 0 {
		h.waitAnywhere(j, peers)
	}
}

// waitAnywhere has a job wait at the own target or, if that takes no work, at
// all others.
func (h *Home) waitAnywhere(j *job, peers []*peer) {
	if own := h.peers[h.self]; !own.leaving() {
		h.waitAt(j, own)
		return
	}
	for _, p := range peers {
		h.waitAt(j, p)
	}
	if len(j.wait) == 0 {
		h.fail(j, reasonNoTarget, "no target takes new work")
	}
}

// pause holds the waiting tasks of a job back for a while.
func (h *Home) pause(now Time, j *job, afterMS float64) {
	j.paused++
	h.updateWanted(j)
	h.timers.add(now+fromMillis(afterMS), func(now Time) {
		j.paused--
		h.updateWanted(j)
		if j.paused == 0 && !j.over() && len(j.waiting) > 0 {
			h.replace(now, j)
		}
	})
}

// useGrants starts waiting tasks on the slots reserved at a peer.
func (h *Home) useGrants(now Time, p *peer) {
	for p.grants > 0 {
		j := h.queue.next()
		if j == nil {
			break
		}
		p.grants--
		h.send(now, j, p)
	}
	if p.grants > 0 {
		h.noteFor(p).Returned += uint32(p.grants)
		p.grants = 0
	}
}

// leaveOff stops waiting for a peer that takes no new work, and makes sure
// that the jobs concerned wait somewhere else.
func (h *Home) leaveOff(p *peer) {
	p.wantSent = 0
	if p.wanting == 0 {
		return
	}
	for _, j := range h.queue.all() {
		h.moveWait(j, p)
	}
}

func (h *Home) moveWait(j *job, from *peer) {
	kept := j.wait[:0]
	for _, p := range j.wait {
		if p != from {
			kept = append(kept, p)
			continue
		}
		h.addWanting(from, -j.wanted)
	}
	j.wait = kept
	if len(j.wait) > 0 {
		return
	}
	peers, _ := h.targets(j.sub)
	h.waitAnywhere(j, peers)
}

// Lost tells that the session with a gate broke or could not be opened.
func (h *Home) Lost(now Time, address string, epoch uint64) []HomeAction {
	p := h.peers[address]
	if p == nil || p.epoch != epoch || p.state == peerClosed {
		return nil
	}
	p.state = peerClosed
	p.note = nil
	if p.downSince == 0 {
		p.downSince = now
	}
	pending := p.pending
	p.pending = nil
	for _, t := range pending {
		h.putBack(t)
		if !t.job.over() {
			h.replace(now, t.job)
		}
	}
	h.leaveOff(p)
	h.reconnect(now, p)
	return h.flush()
}

// reconnect tries again while tasks are outstanding, until the grace is over.
func (h *Home) reconnect(now Time, p *peer) {
	if len(p.outstanding) == 0 {
		p.downSince = 0
		p.free = 0
		return
	}
	if now-p.downSince > h.grace {
		h.giveUp(p, p.target+" can't be reached")
		p.downSince = 0
		p.free = 0
		return
	}
	p.retries++
	h.timers.add(now+reconnectPause, func(now Time) {
		if p.state == peerClosed {
			h.connect(p)
		}
	})
}

// connect asks the shell to open a session.
func (h *Home) connect(p *peer) {
	p.state = peerConnecting
	p.epoch++
	hello := &wire.Hello{Address: h.self, Home: h.incarnation[:], Epoch: p.epoch}
	for key := range p.outstanding {
		hello.Outstanding = append(hello.Outstanding, key.wire())
	}
	h.out = append(h.out, HomeAction{Peer: p.address, Hello: hello})
}

// mark notes that a peer may have to be told something after this event.
func (h *Home) mark(p *peer) {
	if p.marked {
		return
	}
	p.marked = true
	h.marked = append(h.marked, p)
}

// noteFor returns the note to be sent to an open peer after this event.
func (h *Home) noteFor(p *peer) *wire.HomeNote {
	if p.note == nil {
		p.note = &wire.HomeNote{}
	}
	h.mark(p)
	return p.note
}

// flush returns the actions of this event, one note for each peer at most.
func (h *Home) flush() []HomeAction {
	for i := 0; i < len(h.marked); i++ {
		h.settleNote(h.marked[i])
	}
	h.marked = h.marked[:0]
	out := h.out
	h.out = nil
	return out
}

func (h *Home) settleNote(p *peer) {
	p.marked = false
	wish := h.wish(p)
	if p.state == peerClosed && p.downSince == 0 && (wish > 0 || len(p.pending) > 0) {
		h.connect(p)
		return
	}
	if p.state != peerOpen {
		return
	}
	begins := p.wantSent == 0 && wish > 0
	ends := p.wantSent > 0 && p.wanting == 0
	if p.note == nil && !begins && !ends {
		return
	}
	note := p.note
	if note == nil {
		note = &wire.HomeNote{}
	}
	p.note = nil
	note.Want = uint32(wish)
	note.GrantedSeen = p.grantsSeen
	note.Ack = p.seq
	p.acked = p.seq
	p.wantSent = wish
	h.out = append(h.out, HomeAction{Peer: p.address, Note: note})
}
