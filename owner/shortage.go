package owner

import "time"

// shortAfter is how long tasks must have waited for room for the linked gates to count
// as too few. It is several runs of a short task, so that room that is about to become
// free does not count as missing.
const shortAfter = 200 * time.Millisecond

// updateShortage records since when tasks have been waiting for room.
func (o *Owner) updateShortage(now Time) {
	if o.waiting.len() == 0 {
		o.shortSince = 0
		return
	}
	if o.shortSince == 0 {
		o.shortSince = now
	}
}

// ShortOfRoom reports whether tasks are waiting because the linked gates have no room.
func (o *Owner) ShortOfRoom() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shortSince != 0 && o.options.Now()-o.shortSince > shortAfter
}

// ownersPerGate estimates how many owners share each linked gate: a gate is linked to
// some of the owners only.
func (o *Owner) ownersPerGate() float64 {
	linked := 0
	for _, v := range o.activeGates {
		if v.linked {
			linked++
		}
	}
	if linked == 0 {
		return float64(o.owners)
	}
	return max(1, float64(o.owners)*float64(linked)/float64(len(o.gates)))
}
