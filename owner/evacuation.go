package owner

import (
	"slices"

	"rackspur/evacuation"
	"rackspur/gate"
)

// UpdateEvacuations updates which failure domains are evacuated, as of a time on the
// owner's clock. The owner only forwards this to its gates with each frame. A gate may
// have newer news from other owners, and its report says whether it accepts orders.
func (o *Owner) UpdateEvacuations(n evacuation.News) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.evacuations.Domains
	o.evacuations = o.evacuations.Join(n)
	if slices.Equal(before, o.evacuations.Domains) {
		return
	}
	o.log.Info("Evacuated failure domains changed.", "domains", o.evacuations.Domains, "before", before, "version", o.evacuations.Version)
	o.wakeAll()
}

// evacuationsFor returns the news with its time converted to a gate's clock. The
// conversion uses the echo, at which the owner was certainly alive.
func (o *Owner) evacuationsFor(now Time, v *gateView) evacuation.News {
	n := o.evacuations
	n.AsOf = max(0, gate.Time(o.echo(v)-(now-n.AsOf)))
	return n
}

// allEvacuated reports whether all linked gates of a service are in evacuated failure
// domains, so that no job for it can start until one of the evacuations ends.
func (o *Owner) allEvacuated(service string) bool {
	found := false
	for _, v := range o.activeGates {
		if !v.linked || v.report.Service != service {
			continue
		}
		if !v.report.Evacuated {
			return false
		}
		found = true
	}
	return found
}
