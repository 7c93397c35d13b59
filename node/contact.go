package node

import (
	"time"

	"rackspur/gate"
	"rackspur/owner"
)

// contact is how long a gate lets runs of kept jobs go on without word from their owner.
const contact = 1400 * time.Millisecond

// longestLease is the longest lease that gates ask their targets for. Whatever waits until
// something is surely over waits for it: a new process of a gate, a new life of a target,
// the owner of runs whose gate is lost (2.7 s with the contact time). With leases of 15 s
// quiet hours of a fleet served a tenth of their requests. It is renewed about every
// 0.15 s, so that five holds in a row may be lost.
const longestLease = time.Second

// lease is the longest lease to ask for: our own, or as much as the platform allows.
func (o *Options) lease() time.Duration {
	if o.MaxHold <= 0 {
		return longestLease
	}
	return min(longestLease, o.MaxHold)
}

// LeastLease is the shortest lease of the platform that can be kept: a hold each quarter of
// it, and the time of a call.
const LeastLease = 200 * time.Millisecond

// Times around jobs that are not kept. Their callers hand them in again elsewhere,
// Options.Resubmit after they have lost their answer; by then all that the first owner
// has started must be over.
const (
	// defaultResubmit holds where the platform names no time, and where it names a longer
	// one: owners hold the runs of a silent gate to be over after 2.7 s.
	defaultResubmit = 1300 * time.Millisecond
	// resubmitMargin is left for the look at the times (0.1 s), the stop, and, if that
	// does not take, for what is left of the lease (0.4 s, see package gate): with a
	// resubmission after 1.3 s the target's lease ends 1.25 s after the newest proof of
	// the owner's life.
	resubmitMargin = 450 * time.Millisecond
	// leastBestEffortContact is above what the heartbeats of a busy link can be apart,
	// 0.375 s, with the time of a frame.
	leastBestEffortContact = 450 * time.Millisecond
)

// LeastResubmit is the shortest time after which callers may hand in a job that is not
// kept again, for its earlier runs to be surely over.
const LeastResubmit = leastBestEffortContact + resubmitMargin

// bestEffortContact is how long a gate lets runs of jobs that are not kept go on without
// word from their owner.
func (o *Options) bestEffortContact() time.Duration {
	resubmit := o.Resubmit
	if resubmit <= 0 || resubmit > defaultResubmit {
		resubmit = defaultResubmit
	}
	return max(resubmit-resubmitMargin, leastBestEffortContact)
}

// gateOptions returns the bounds of an agent's gate.
func gateOptions(o Options, incarnation string) gate.Options {
	return gate.Options{Node: o.Node, Incarnation: incarnation, Domain: o.Zone, Service: o.Service, Lease: o.lease(), LongestLease: o.MaxHold, Contact: contact, BestEffortContact: o.bestEffortContact()}
}

// ownerOptions returns the bounds of the owner of a life.
func (e *Entry) ownerOptions(incarnation string) owner.Options {
	o := &e.options
	return owner.Options{
		Incarnation: incarnation, Parts: o.Parts, Contact: contact, BestEffortContact: o.bestEffortContact(), Lease: o.lease(),
		KeepFinished: o.KeepFinished, Log: e.log, Policy: o.Policy,
		Now:       func() time.Duration { return time.Since(e.started) },
		WallClock: time.Now,
		Ended:     func(took time.Duration) { o.Metrics.Time(metricJobTime, took.Microseconds()) },
	}
}
