package node

import (
	"time"

	"rackspur/gate"
	"rackspur/owner"
)

// contactTimeout is how long a gate continues runs of durable jobs without hearing from
// their owner.
const contactTimeout = 1400 * time.Millisecond

// longestLease is the longest lease that gates request from their targets. A restarted
// gate, a restarted target and an owner that replaces runs of a lost gate all wait for it
// to expire: with leases of 15 s, a fleet served only a tenth of its requests in quiet hours.
// Gates renew it about every 0.15 s, so five renewals in a row may be lost.
const longestLease = time.Second

// lease returns the lease to request: longestLease or the limit of the platform.
func (o *Options) lease() time.Duration {
	if o.MaxLease <= 0 {
		return longestLease
	}
	return min(longestLease, o.MaxLease)
}

// LeastLease is the shortest limit on leases that is supported: gates renew after a
// quarter of the lease, and the call takes time too.
const LeastLease = 200 * time.Millisecond

// Times of best-effort jobs. Callers resubmit them to another entry box Options.ResubmitDelay
// after a lost answer; all runs that the first owner has started must have ended by then.
const (
	// defaultResubmitDelay also replaces longer delays of the platform, since owners presume
	// the runs of a silent gate ended after 2.7 s.
	defaultResubmitDelay = 1300 * time.Millisecond
	// resubmitMargin covers the gate's tick (0.1 s), the stop call, and, if that fails, the
	// rest of the target's lease (0.4 s, see package gate).
	resubmitMargin = 450 * time.Millisecond
	// minBestEffortContactTimeout exceeds the longest time between two heartbeats of a busy
	// link, 0.375 s, plus the latency of a frame.
	minBestEffortContactTimeout = 450 * time.Millisecond
)

// LeastResubmit is the shortest delay after which callers may resubmit a best-effort job
// without its earlier runs still being active.
const LeastResubmit = minBestEffortContactTimeout + resubmitMargin

// bestEffortContactTimeout returns how long a gate continues runs of best-effort jobs
// without hearing from their owner.
func (o *Options) bestEffortContactTimeout() time.Duration {
	resubmit := o.ResubmitDelay
	if resubmit <= 0 || resubmit > defaultResubmitDelay {
		resubmit = defaultResubmitDelay
	}
	return max(resubmit-resubmitMargin, minBestEffortContactTimeout)
}

// gateOptions returns the options of an agent's gate.
func gateOptions(o Options, incarnation string) gate.Options {
	return gate.Options{Node: o.Node, Incarnation: incarnation, Domain: o.Domain, Service: o.Service, Lease: o.lease(), LongestLease: o.MaxLease, ContactTimeout: contactTimeout, BestEffortContactTimeout: o.bestEffortContactTimeout(), MoveLeaving: o.MoveLeaving}
}

// ownerOptions returns the options of the owner of an incarnation.
func (e *Entry) ownerOptions(incarnation string) owner.Options {
	o := &e.options
	return owner.Options{
		Incarnation: incarnation, Parts: o.Parts, ContactTimeout: contactTimeout, BestEffortContactTimeout: o.bestEffortContactTimeout(), Lease: o.lease(),
		KeepFinished: o.KeepFinished, MaxTasks: o.MaxTasks, Log: e.log, Policy: o.Policy, Decisions: o.Decisions,
		Now:       func() time.Duration { return time.Since(e.started) },
		WallClock: time.Now,
		OnJobEnd:  func(took time.Duration) { o.Metrics.Time(metricJobTime, took.Microseconds()) },
		OnRefusal: func(retryAfter time.Duration) { o.Metrics.Sample(metricRetryAfter, retryAfter.Milliseconds()) },
	}
}
