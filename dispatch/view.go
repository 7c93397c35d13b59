package dispatch

import "rackspur/wire"

// This file holds what a home tells its policies.

// learn takes the loads that the entry box has sent along.
func (h *Home) learn(candidates []*wire.Candidate) {
	for _, c := range candidates {
		if c.GetAddress() == h.self {
			continue
		}
		h.peer(c.GetAddress()).observe(c)
	}
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
