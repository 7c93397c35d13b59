package dispatch

import (
	"fmt"

	"rackspur/wire"
)

// This file holds the course of a job at its home.

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

// fail ends a job at once. What waits never starts. What runs is left to run: a
// target has no way to stop a task that tells when its slot is free.
func (h *Home) fail(j *job, reason, detail string) {
	if j.over() {
		return
	}
	h.unsend(j)
	if !j.started() {
		h.end(j, wire.Outcome_OUTCOME_NOT_RUN, reason, detail, nil)
		return
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
