package gate

// StopReason is why a gate stops a run.
type StopReason string

// Reasons for a stop.
const (
	StopOrdered      StopReason = "ordered by its owner"
	StopOwnerSilent  StopReason = "no contact with its owner"
	StopOwnerEnded   StopReason = "its owner has ended"
	StopUnclaimed    StopReason = "claimed by no owner"
	StopDiscarded    StopReason = "its end is discarded"
	StopUnanswered   StopReason = "start unanswered, run not listed"
	StopDeregistered StopReason = "its target has deregistered"
)

// overdueReason returns why an overdue run is stopped.
func overdueReason(r *run) StopReason {
	if r.owner == "" {
		return StopUnclaimed
	}
	return StopOwnerSilent
}

// requestStop marks a run to be stopped; sendStops sends the calls. The first stop that
// somebody depends on fixes the time by which the run has to have ended, and with it the lease.
// Nobody depends on the stop of an unanswered start: its owner waits for the gate to report the
// end.
func (g *Gate) requestStop(now Time, r *run, reason StopReason) {
	if reason != StopUnanswered {
		g.setStopBy(r)
	}
	if r.mustStop {
		return
	}
	r.mustStop = true
	g.record(now, EventStop, r, reason)
}

// setStopBy sets, once, when a run that is being stopped must have ended; later contact with
// its owner does not postpone that. Without a known owner the time is not known yet.
func (g *Gate) setStopBy(r *run) {
	if r.stopBy != 0 {
		return
	}
	if by, ok := g.mustEndBy(r); ok {
		r.stopBy = by
	}
}

// sendStops sends the stops that are due.
func (g *Gate) sendStops(now Time, a Actions) Actions {
	a.Incarnation = g.current
	for _, r := range g.runs {
		if !r.active() || !r.mustStop {
			continue
		}
		if r.stopSent != 0 && now-r.stopSent < stopInterval {
			continue
		}
		r.stopSent = now
		a.Stops = append(a.Stops, StopCall{Name: r.RunName, Fence: g.fence})
	}
	return a
}
