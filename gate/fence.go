package gate

// firstFenceStep is the first step by which a token is raised beyond one that the target
// has seen of an earlier process, whose box's time of day was ahead; in milliseconds. Times
// of day jump by seconds, and the step doubles.
const firstFenceStep = 1000

// mostFenceStep bounds the step; an hour is beyond any jump of a time of day.
const mostFenceStep = 3_600_000

// raiseFence takes a fencing token above all that this gate has used. By the time of day
// it is above those of its earlier processes too, also those that a former life has seen
// and this one has not: late orders of theirs would be carried out otherwise. The clock of
// the target, which begins anew, does not give that.
func (g *Gate) raiseFence() {
	g.topFence = max(g.topFence+1, uint64(max(0, g.options.Unix())))
	g.fence = g.topFence
	g.ordered = false
}

// fenced takes in that the target has seen a token above the one of a call.
func (g *Gate) fenced(fence uint64) {
	if fence != g.fence {
		// Calls have borne a higher one since.
		return
	}
	if fence != 0 {
		g.topFence += g.fenceStep
		g.fenceStep = min(2*g.fenceStep, mostFenceStep)
	}
	g.raiseFence()
}
