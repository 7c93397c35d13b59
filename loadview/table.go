package loadview

import "time"

// Table is a gate's record of the waiting work of its linked owners. The zero value is empty.
type Table struct {
	entries map[string]*entry
}

// entry is the newest report of an owner.
type entry struct {
	work Work
	at   time.Duration
	// reports is set once the owner has sent a report over its link. Until then its waiting
	// work is unknown: it may be of an earlier build, or have the shared view turned off.
	reports bool
	// answered is set once the owner was told that the gate takes part.
	answered bool
}

// Link adds an owner that has a new link. Reports over a former link are discarded.
func (t *Table) Link(owner string) {
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	t.entries[owner] = &entry{}
}

// Drop removes an owner whose link is closed or that has ended.
func (t *Table) Drop(owner string) { delete(t.entries, owner) }

// Report records the waiting work in a frame of an owner. An empty field clears earlier work.
func (t *Table) Report(now time.Duration, owner string, field []int) {
	e := t.entries[owner]
	if e == nil {
		return
	}
	e.reports = e.reports || len(field) > 0
	e.work = decode(field)
	e.at = now
}

// Others returns the field of a frame to an owner: the sum of what the other owners have
// reported, nil if there is nothing to report. An owner that does not report gets nothing.
func (t *Table) Others(now time.Duration, owner string) []int {
	to := t.entries[owner]
	if to == nil || !to.reports {
		return nil
	}
	var sum Others
	for name, e := range t.entries {
		switch {
		case name == owner:
		case !e.reports:
			sum.Silent++
		case now-e.at <= MaxAge:
			sum.Work = sum.Work.plus(e.work)
		}
	}
	field := sum.encode()
	if len(field) == 0 && !to.answered {
		field = Announcement()
	}
	to.answered = true
	return field
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Others is the waiting work of the other owners of a gate.
type Others struct {
	Work Work
	// Silent is the number of linked owners whose waiting work is not known.
	Silent int
}

// encode returns the field of a frame; the number of silent owners follows the buckets.
func (o Others) encode() []int {
	if o.Silent == 0 {
		return o.Work.Encode()
	}
	return append(o.Work[:], o.Silent)
}

// DecodeOthers returns the work in a field of a gate's frame.
func DecodeOthers(field []int) Others {
	o := Others{Work: decode(field)}
	if len(field) > Buckets {
		o.Silent = max(0, field[Buckets])
	}
	return o
}
