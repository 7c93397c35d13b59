package dispatch

// This file holds how a home asks gates for slots.

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
