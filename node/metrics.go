package node

import (
	"rackspur/gate"
	"rackspur/owner"
)

// Names of the metrics of an entry box.
const (
	metricJobTime    = "jobs.time_us"
	metricRetryAfter = "jobs.retry_after_ms"
)

// gauges registers the counters of the current owner, the version and age of the
// configuration, the evacuated failure domains and the linked gates.
func (e *Entry) gauges() {
	registerOwner := func(name string, read func(*owner.Owner) int64) {
		e.options.Metrics.Gauge(name, func() int64 {
			t := e.current.Load()
			if t == nil {
				return 0
			}
			return read(t.owner)
		})
	}
	register := func(name string, read func(owner.Stats) int64) {
		registerOwner(name, func(o *owner.Owner) int64 { return read(o.Stats()) })
	}
	register("jobs.accepted", func(s owner.Stats) int64 { return s.Accepted })
	register("jobs.refused", func(s owner.Stats) int64 { return s.Refused })
	register("jobs.returned", func(s owner.Stats) int64 { return s.Returned })
	register("runs.resumed", func(s owner.Stats) int64 { return s.Resumed })
	register("jobs.completed", func(s owner.Stats) int64 { return s.Completed })
	register("jobs.failed", func(s owner.Stats) int64 { return s.Failed })
	register("jobs.cancelled", func(s owner.Stats) int64 { return s.Cancelled })
	register("jobs.given_up", func(s owner.Stats) int64 { return s.Dropped })
	register("jobs.late", func(s owner.Stats) int64 { return s.Late + s.VeryLate })
	register("jobs.adopted", func(s owner.Stats) int64 { return s.Adopted })
	register("tasks.placed", func(s owner.Stats) int64 { return s.Placed })
	register("tasks.placed_slow", func(s owner.Stats) int64 { return s.PlacedSlow })
	register("tasks.held_for_speed", func(s owner.Stats) int64 { return s.HeldForSpeed })
	register("tasks.rejected", func(s owner.Stats) int64 { return s.Rejected })
	register("tasks.failed", func(s owner.Stats) int64 { return s.EndedFailed })
	register("tasks.lost", func(s owner.Stats) int64 { return s.Lost })
	register("jobs.failed_by_crashes", func(s owner.Stats) int64 { return s.FailedByCrashes })
	register("tasks.presumed_over", func(s owner.Stats) int64 { return s.PresumedOver })
	register("tasks.discarded", func(s owner.Stats) int64 { return s.Discarded })
	register("tasks.moved", func(s owner.Stats) int64 { return s.Moved })
	register("tasks.moved_leaving", func(s owner.Stats) int64 { return s.MovedLeaving })

	register("jobs.admitted_by_view", func(s owner.Stats) int64 { return s.AdmittedByView })
	register("jobs.refused_by_view", func(s owner.Stats) int64 { return s.RefusedByView })
	registerOwner("load.own_core_ms", func(o *owner.Owner) int64 { return o.LoadStats().Own })
	registerOwner("load.others_core_ms", func(o *owner.Owner) int64 { return o.LoadStats().Others })
	register("tasks.stalled", func(s owner.Stats) int64 { return s.Stalled })
	if e.options.Decisions.FairShares {
		register("jobs.share_lifted", func(s owner.Stats) int64 { return s.ShareLifted })
		registerOwner("share.worst_served", func(o *owner.Owner) int64 { return o.ShareStats().Worst })
		registerOwner("share.served", func(o *owner.Owner) int64 { return o.ShareStats().Served })
	}
	e.options.Metrics.Gauge("config.version", func() int64 {
		if t := e.routes.Current(); t != nil {
			return int64(t.Version)
		}
		return 0
	})
	// -1 until the first configuration is read.
	e.options.Metrics.Gauge("config.age_ms", func() int64 {
		age, ok := e.routes.Age()
		if !ok {
			return -1
		}
		return age.Milliseconds()
	})
	e.options.Metrics.Gauge("domains.evacuated", func() int64 { return int64(len(e.evacuations.News().Domains)) })
	e.options.Metrics.Gauge("gates.linked", func() int64 {
		if t := e.current.Load(); t != nil {
			return int64(t.links.Linked())
		}
		return 0
	})
}

// gauges registers the gate's counters, whether it knows its failure domain to be
// evacuated, and the age of that information, or -1 if there is none yet.
func (a *Agent) gauges() {
	register := func(name string, read func(gate.Counts) int64) {
		a.options.Metrics.Gauge(name, func() int64 { return read(a.driver.Counts()) })
	}
	register("gate.lists_passed_over", func(c gate.Counts) int64 { return c.ListsSkipped })
	register("gate.heartbeats_passed_over", func(c gate.Counts) int64 { return c.HeartbeatsSkipped })
	register("gate.target_restarts", func(c gate.Counts) int64 { return c.Restarts })
	register("gate.runs_lost", func(c gate.Counts) int64 { return c.RunsLost })
	register("gate.runs_leaving", func(c gate.Counts) int64 { return c.RunsLeaving })
	register("gate.ends_discarded", func(c gate.Counts) int64 { return c.EndsDiscarded })
	register("gate.lapses", func(c gate.Counts) int64 { return c.Lapses })
	register("gate.second_owners", func(c gate.Counts) int64 { return c.SecondOwners })

	// In thousandths; 0 while it is unknown.
	a.options.Metrics.Gauge("gate.median_slowness", func() int64 { return int64(a.driver.MedianSlowness() * 1000) })
	a.options.Metrics.Gauge("gate.evacuated", func() int64 {
		if _, evacuated, _ := a.driver.EvacuationsAge(); evacuated {
			return 1
		}
		return 0
	})
	a.options.Metrics.Gauge("gate.evacuations_age_ms", func() int64 {
		age, _, known := a.driver.EvacuationsAge()
		if !known {
			return -1
		}
		return age.Milliseconds()
	})
}
