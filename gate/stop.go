package gate

// StopReason says why a gate stops a run.
type StopReason string

// The reasons for a stop.
const (
	StopOrdered     StopReason = "ordered by its owner"
	StopOwnerSilent StopReason = "no contact with its owner"
	StopOwnerOver   StopReason = "its owner's life is over"
	StopUnclaimed   StopReason = "claimed by no owner"
	StopDiscarded   StopReason = "its end must not count"
	StopUnanswered  StopReason = "start unanswered, run not listed"
)

// overdueReason says why a run that is overdue is stopped.
func overdueReason(r *run) StopReason {
	if r.owner == "" {
		return StopUnclaimed
	}
	return StopOwnerSilent
}

// stopRun has a run stopped; the calls follow with stopWhatMust. From the first stop that
// somebody counts on, the lease is bounded by what mustEndBy gives then. Nobody counts on
// the stop of a start that got no answer: its owner waits for the gate's word.
func (g *Gate) stopRun(now Time, r *run, reason StopReason) {
	if reason != StopUnanswered {
		g.fixEnd(r)
	}
	if r.stop {
		return
	}
	r.stop = true
	g.record(now, EventStop, r, reason)
}

// fixEnd keeps when a run that is to be stopped must be over, once; later proofs that its
// owner lives don't put that off. Of a run without an owner it is not known yet.
func (g *Gate) fixEnd(r *run) {
	if r.stopBy != 0 {
		return
	}
	if by, ok := g.mustEndBy(r); ok {
		r.stopBy = by
	}
}

// stopWhatMust sends the stops that are due.
func (g *Gate) stopWhatMust(now Time, a Actions) Actions {
	a.Life = g.life
	for _, r := range g.runs {
		if !r.atWork() || !r.stop {
			continue
		}
		if r.stopSent != 0 && now-r.stopSent < resend {
			continue
		}
		r.stopSent = now
		a.Stops = append(a.Stops, StopCall{Name: r.RunName, Fence: g.fence})
	}
	return a
}
