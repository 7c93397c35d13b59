package test

import (
	"time"

	"rackspur/internal/standin"
	"rackspur/job"
)

// traceBefore is how long before the second of two runs the trace starts: the bounds of
// contact and lease and the callers' wait for an answer.
const traceBefore = 3500 * time.Millisecond

// traceGap is the shortest time between two holds that the trace shows as a gap; holds
// normally come at least every 150 ms.
const traceGap = 250 * time.Millisecond

// trace logs what led to a run that must not have started: the caller's calls, the orders
// to the first run's target that concern that run or its lease, and, if the second run was
// at another target or life, the first orders there.
func (r *soakRun) trace(j *soakJob, first, second standin.Span) {
	for _, line := range j.callLog {
		r.t.Logf("caller of %s: %s", j.id, line)
	}
	m, e := r.lifeOf(first)
	if e == nil {
		return
	}
	at, later := r.lifeOf(second)
	r.t.Log(r.line(first.Started, "first run %d at %s (%s, born %d), ends at %.3f", first.Name.Run, m.name, first.Life, first.Born, first.Ended.Sub(r.began).Seconds()))
	r.t.Log(r.line(second.Started, "second run %d at %s (%s, born %d), ends at %.3f", second.Name.Run, at.name, second.Life, second.Born, second.Ended.Sub(r.began).Seconds()))
	for _, o := range relevantOrders(e.Orders(), first, second) {
		r.t.Log(r.line(o.At, "%s: %v", m.name, o))
	}
	if o, ok := acknowledgingHold(e.Orders(), first); ok {
		r.t.Log(r.line(o.At, "%s, hold that acknowledges the first run's end %d: %v", m.name, first.Number, o))
	}
	if later != e {
		for _, o := range firstOrders(later.Orders(), second) {
			r.t.Log(r.line(o.At, "%s, second run's: %v", at.name, o))
		}
	}
	r.traceTurnedAway(first.Name.TaskName)
}

// acknowledgingHold returns the first hold that acknowledged the end of a run.
func acknowledgingHold(orders []standin.Order, s standin.Span) (o standin.Order, ok bool) {
	for _, o := range orders {
		if o.Kind == standin.OrderHold && o.Err == nil && s.Number > 0 && o.Seen >= s.Number && o.At.After(s.Ended) {
			return o, true
		}
	}
	return standin.Order{}, false
}

// traceTurnedAway logs how often targets refused starts of a task, by reason.
func (r *soakRun) traceTurnedAway(task job.TaskName) {
	for _, m := range r.agents {
		reasons := map[string]int{}
		for _, e := range m.allLives() {
			for _, o := range e.Orders() {
				if o.Kind == standin.OrderStart && o.Name.TaskName == task && o.Err != nil {
					reasons[o.Err.Error()]++
				}
			}
		}
		if len(reasons) > 0 {
			r.t.Logf("starts of %v refused at %s: %v", task, m.name, reasons)
		}
	}
}

// relevantOrders returns the orders for the first of two runs, and of the holds around
// the start of the second those that were refused or lie next to a gap.
func relevantOrders(orders []standin.Order, first, second standin.Span) []standin.Order {
	var relevant []standin.Order
	var last standin.Order
	for _, o := range orders {
		switch {
		case o.Name == first.Name:
			relevant = append(relevant, o)
		case o.Kind != standin.OrderHold || o.At.Before(second.Started.Add(-traceBefore)) || (!first.Ended.IsZero() && o.At.After(first.Ended)):
		case o.Err != nil || o.At.Sub(last.At) > traceGap:
			if !last.At.IsZero() {
				relevant = append(relevant, last)
			}
			relevant = append(relevant, o)
			last = o
		default:
			last = o
		}
	}
	if !last.At.IsZero() {
		relevant = append(relevant, last)
	}
	return relevant
}

// tracedOrders is how many orders to the second run's target are logged.
const tracedOrders = 10

// firstOrders returns the first orders to a target up to the start of a run there.
func firstOrders(orders []standin.Order, run standin.Span) []standin.Order {
	for i, o := range orders {
		if i == tracedOrders || o.At.After(run.Started) {
			return orders[:i]
		}
	}
	return orders
}

// lifeOf returns the life of a target that had a run, and its box.
func (r *soakRun) lifeOf(s standin.Span) (*box, incarnation) {
	for _, m := range r.agents {
		for _, e := range m.allLives() {
			if life := e.Incarnation(); life.ID == s.Life && life.Born == s.Born {
				return m, e
			}
		}
	}
	return nil, nil
}
