package owner

import (
	"slices"
	"time"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/speed"
)

// This file compares the speed of gates, for placement by speed; see chooseBySpeed.

// speeds compares the usable gates of one service, for one call of place or for the admission of
// one job. It is nil if tasks are placed by room.
type speeds struct {
	service string
	fleet   speed.Fleet
	mean    *meanEstimate
	// slowest is the slowness of the slowest gate.
	slowest float64
	// used is the share of the gates' capacity that is in use.
	used float64
	// fastCapacity is the capacity of the fast gates, as the work by estimate that they do in a
	// second, in thousandths of core-seconds.
	fastCapacity float64
	// heldSteps is the number of steps of which a task waits for a faster target in this call of
	// place, heldWork the work of these tasks in thousandths of core-seconds.
	heldSteps int
	heldWork  float64
	// lastHeld is the step of the newest of these tasks if that may go to all gates and no task
	// was placed since. The step's other tasks wait without a look at the gates.
	lastHeld *job.Step
}

// compared holds the comparisons of one call of place: one for each service that has a waiting
// task, usually a single one.
type compared []speeds

// of returns the comparison of a service's gates, which it makes when the service is first asked
// for. It returns nil if tasks are placed by room. The result is valid until the next call.
func (c *compared) of(o *Owner, usable []*gateView, service string) *speeds {
	if !o.options.Decisions.PlaceBySpeed {
		return nil
	}
	i := slices.IndexFunc(*c, func(s speeds) bool { return s.service == service })
	if i < 0 {
		i = len(*c)
		*c = append(*c, o.compareGates(usable, service))
	}
	if s := &(*c)[i]; s.fleet.Differ {
		return s
	}
	return nil
}

// compareInterval is how long a comparison holds in which no target was slow, unless a gate
// reports one meanwhile. Comparing 60 gates costs as much as placing a task among them.
const compareInterval = 50 * time.Millisecond

// maxComparisons bounds the services whose newest comparisons are kept.
const maxComparisons = 64

// comparison is the newest comparison of a service's gates.
type comparison struct {
	at    Time
	fleet speed.Fleet
}

// comparedLately returns the newest comparison of a service's gates if it still holds.
func (o *Owner) comparedLately(now Time, service string) (speed.Fleet, bool) {
	c, ok := o.comparisons[service]
	return c.fleet, ok && !c.fleet.Differ && now-c.at < compareInterval
}

// keepComparison keeps the newest comparison of a service's gates.
func (o *Owner) keepComparison(now Time, service string, f speed.Fleet) {
	if o.comparisons == nil || len(o.comparisons) >= maxComparisons {
		o.comparisons = map[string]comparison{}
	}
	o.comparisons[service] = comparison{at: now, fleet: f}
}

// noteSpeed discards the newest comparison if a report contradicts that no target is slow.
func (o *Owner) noteSpeed(r *gate.Report) {
	if c, ok := o.comparisons[r.Service]; ok && (r.Cold > 0 || c.fleet.Harmful(r.MedianSlowness)) {
		delete(o.comparisons, r.Service)
	}
}

// compareSpeeds compares the gates of a service. It returns nil unless tasks are placed by speed
// and the speeds differ.
func (o *Owner) compareSpeeds(usable []*gateView, service string) *speeds {
	var c compared
	return c.of(o, usable, service)
}

// compareGates compares the gates of a service and sets their expected slowness. Services are not
// compared with each other, since the estimates of each may be off by another factor.
func (o *Owner) compareGates(usable []*gateView, service string) speeds {
	now := o.options.Now()
	if f, ok := o.comparedLately(now, service); ok {
		return speeds{service: service, fleet: f, mean: o.meanOf(service)}
	}
	o.measured = o.measured[:0]
	cold := false
	for _, v := range usable {
		if v.report.Service == service {
			o.measured = append(o.measured, v.report.MedianSlowness)
			cold = cold || (v.report.Cold > 0 && v.report.MedianSlowness <= 0)
		}
	}
	s := speeds{service: service, fleet: speed.Compare(o.measured, cold), mean: o.meanOf(service)}
	o.keepComparison(now, service, s.fleet)
	total, used := 0.0, 0.0
	for _, v := range usable {
		if v.report.Service != service {
			continue
		}
		v.slowness, v.slownessKnown = s.fleet.Slowness(speed.Target{Measured: v.report.MedianSlowness, Cold: v.report.Cold > 0})
		if !s.fleet.Differ {
			continue
		}
		s.slowest = max(s.slowest, v.slowness)
		capacity := s.fleet.Weight(v.slowness) * float64(v.report.Capacity.CPU)
		total += capacity
		if v.report.Capacity.CPU > 0 {
			used += capacity * (1 - float64(max(0, v.free().CPU))/float64(v.report.Capacity.CPU))
		}
		if s.fleet.IsFast(v.slowness) {
			s.fastCapacity += capacity
		}
	}
	if total > 0 {
		s.used = used / total
	}
	return s
}

// capacity returns a gate's capacity in terms of work by estimate, in thousandths of a core.
func (s *speeds) capacity(v *gateView) int {
	if s == nil || v.report.Capacity.CPU == 0 {
		return v.report.Capacity.CPU
	}
	return max(1, int(s.fleet.Weight(v.slowness)*float64(v.report.Capacity.CPU)))
}

// room returns how much of a gate's free CPU counts for a task, in thousandths of a core: the
// more likely the task ends late there, the less.
func (s *speeds) room(v *gateView, longest speed.Task) int {
	free := max(0, v.free().CPU)
	if s == nil || free == 0 {
		return free
	}
	return int(float64(free) * max(0, 1-longest.Expect(s.fleet.Cautious(v.slowness), 0).Late))
}

// pace returns the slowness of a gate that an operator's policy is given.
func (o *Owner) pace(v *gateView) float64 {
	switch {
	case !o.options.Decisions.PlaceBySpeed:
		return v.report.Slowness
	case v.slownessKnown:
		return v.slowness
	}
	return 0
}
