package gate

// minFenceStep is the first step, in milliseconds, by which the token is raised above one that
// the target has seen from an earlier process on a box whose clock was ahead. The step doubles.
const minFenceStep = 1000

// maxFenceStep bounds the step, in milliseconds.
const maxFenceStep = 3_600_000

// raiseFence takes a fencing token above all that this gate has used. As it is derived from the
// wall clock it is also above those of earlier processes, including ones that only the target's
// previous incarnation has seen. Otherwise their late orders would be carried out. The target's
// clock would not do, since it starts anew with each incarnation.
func (g *Gate) raiseFence() {
	g.fence = g.nextFence()
	g.ordered = false
}

// nextFence returns a token above all that were used, and counts it as used.
func (g *Gate) nextFence() uint64 {
	g.maxFence = max(g.maxFence+1, uint64(max(0, g.options.Unix())))
	return g.maxFence
}

// onFenced handles the rejection of a call because the target has seen a higher token.
func (g *Gate) onFenced(fence uint64) {
	if fence != g.fence && (g.fence != 0 || fence != g.probeFence) {
		// The token has been raised since.
		return
	}
	if fence != 0 {
		g.maxFence += g.fenceStep
		g.fenceStep = min(2*g.fenceStep, maxFenceStep)
	}
	g.raiseFence()
}
