package loadview

import "time"

// View sums up what an owner's linked gates have reported. The zero value is a view without
// gates.
type View struct {
	linked, fresh                 int
	linkedCapacity, freshCapacity int
	others                        Others
	oldest                        time.Duration
}

// Gate is the newest report of a linked gate.
type Gate struct {
	// TakesPart says that the gate has reported the work of others over its current link.
	TakesPart bool
	// Age is the time since the report arrived.
	Age time.Duration
	// Capacity is the CPU of the target.
	Capacity int
	// Others is what the gate has reported, as encoded by Table.Others.
	Others []int
}

// Add adds a linked gate.
func (v *View) Add(g Gate) {
	v.linked++
	v.linkedCapacity += g.Capacity
	if !g.TakesPart || g.Age > MaxAge {
		return
	}
	o := DecodeOthers(g.Others)
	v.fresh++
	v.freshCapacity += g.Capacity
	v.others.Work = v.others.Work.plus(o.Work)
	v.others.Silent += o.Silent
	v.oldest = max(v.oldest, g.Age)
}

// Usable reports whether the view is known well enough to decide by it: at least half of the
// linked gates have reported lately.
func (v *View) Usable() bool {
	return v.fresh > 0 && 2*v.fresh >= v.linked && v.freshCapacity > 0
}

// Oldest returns the age of the oldest report that counts.
func (v *View) Oldest() time.Duration { return v.oldest }

// Ahead returns the work ahead of a job at the linked gates, in core-milliseconds: the
// owner's own, and that of the other owners up to the job's bucket. The view must be usable.
//
// Gates without a fresh report are assumed to have as much work for their capacity as the
// others. An owner that does not report is assumed to have as much work as this one.
func (v *View) Ahead(own float64, bucket int) float64 {
	silent := float64(v.others.Silent) / float64(v.fresh)
	return own*(1+silent) + v.scaled(v.others.Work.UpTo(bucket))
}

// OthersTotal returns the waiting work of the other owners at the linked gates, in
// core-milliseconds, as far as it is reported; 0 if the view is not usable.
func (v *View) OthersTotal() float64 {
	if !v.Usable() {
		return 0
	}
	return v.scaled(v.others.Work.Total())
}

// scaled extrapolates an amount from the gates with a fresh report to all linked gates.
func (v *View) scaled(n int) float64 {
	return float64(n) * float64(v.linkedCapacity) / float64(v.freshCapacity)
}
