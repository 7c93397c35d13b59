package test

import (
	"time"

	"rackspur/internal/standin"
	"rackspur/job"
)

// traceBefore is how long before the second of two runs the trace begins: the bounds of
// contact and lease together, and the callers' wait.
const traceBefore = 3500 * time.Millisecond

// traceGap is the least time between two holds that the trace tells of: a hold each
// 150 ms or less is the rule.
const traceGap = 250 * time.Millisecond

// trace logs what led to two runs of a task that should not be: what the job's caller did, the
// orders to the executor of the first run that are about it or the lease, and the first
// orders to the executor of the second one, if it is another.
func (r *soakRun) trace(j *soakJob, first, second standin.Span) {
	for _, line := range j.story {
		r.t.Logf("caller of %s: %s", j.id, line)
	}
	m, e := r.lifeOf(first)
	if e == nil {
		return
	}
	at, later := r.lifeOf(second)
	r.t.Log(r.line(first.Started, "first run %d at %s (%s, born %d), ends at %.3f", first.Name.Run, m.name, first.Life, first.Born, first.Ended.Sub(r.began).Seconds()))
	r.t.Log(r.line(second.Started, "second run %d at %s (%s, born %d), ends at %.3f", second.Name.Run, at.name, second.Life, second.Born, second.Ended.Sub(r.began).Seconds()))
	for _, o := range telling(e.Orders(), first, second) {
		r.t.Log(r.line(o.At, "%s: %v", m.name, o))
	}
	if o, ok := notingHold(e.Orders(), first); ok {
		r.t.Log(r.line(o.At, "%s, notes the first run's end %d: %v", m.name, first.Number, o))
	}
	if later != e {
		for _, o := range firstOrders(later.Orders(), second) {
			r.t.Log(r.line(o.At, "%s, second run's: %v", at.name, o))
		}
	}
	r.traceTurnedAway(first.Name.TaskName)
}

// notingHold returns the hold that had a target note the end of a run.
func notingHold(orders []standin.Order, s standin.Span) (o standin.Order, ok bool) {
	for _, o := range orders {
		if o.Kind == standin.OrderHold && o.Err == nil && s.Number > 0 && o.Seen >= s.Number && o.At.After(s.Ended) {
			return o, true
		}
	}
	return standin.Order{}, false
}

// traceTurnedAway logs how often executors have turned starts of a task away, and why.
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
			r.t.Logf("starts of %v turned away at %s: %v", task, m.name, reasons)
		}
	}
}

// telling returns the orders that are about the first of two runs, and the holds near
// the second one that were turned away or are the first or last for a while.
func telling(orders []standin.Order, first, second standin.Span) []standin.Order {
	var told []standin.Order
	var last standin.Order
	for _, o := range orders {
		switch {
		case o.Name == first.Name:
			told = append(told, o)
		case o.Kind != standin.OrderHold || o.At.Before(second.Started.Add(-traceBefore)) || (!first.Ended.IsZero() && o.At.After(first.Ended)):
		case o.Err != nil || o.At.Sub(last.At) > traceGap:
			if !last.At.IsZero() {
				told = append(told, last)
			}
			told = append(told, o)
			last = o
		default:
			last = o
		}
	}
	if !last.At.IsZero() {
		told = append(told, last)
	}
	return told
}

// tracedOrders is how many orders to the executor of a second run are told.
const tracedOrders = 10

// firstOrders returns the first orders to an executor up to the start of a run there.
func firstOrders(orders []standin.Order, run standin.Span) []standin.Order {
	for i, o := range orders {
		if i == tracedOrders || o.At.After(run.Started) {
			return orders[:i]
		}
	}
	return orders
}

// lifeOf returns the life of an executor that had a run, and its machine.
func (r *soakRun) lifeOf(s standin.Span) (*machine, *standin.Executor) {
	for _, m := range r.agents {
		for _, e := range m.allLives() {
			if e.Life == s.Life && e.Born == s.Born {
				return m, e
			}
		}
	}
	return nil, nil
}
