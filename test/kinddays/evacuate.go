package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// domainKinds are the kinds of trouble that strike a failure domain. They are not part of
// kinds, so that the seeds of long days keep their meaning.
var domainKinds = []kind{
	{name: "evacuate", planned: true, inDomain: true, variants: []string{"", "warm"}},
	{name: "zone_loss", inDomain: true, variants: []string{""}},
	{name: "zone_cut", inDomain: true, variants: []string{""}},
}

// Times and numbers of a day with evacuations; times in seconds.
const (
	// evacuateLength is the length of a day with evacuations.
	evacuateLength = 34
	// pastEnd is longer than the day: the evacuation is never revoked.
	pastEnd           = 60
	maxEvacuations    = 4
	minTroubles       = 3
	maxTroubles       = 8
	minEvacuated      = 0.4
	maxEvacuated      = 12
	evacuateShortOdds = 3
)

// evacuateDay returns the file of a day with random evacuations among other troubles. The
// evacuations may be short or long, overlap, or never be revoked.
func evacuateDay(seed uint64, zones []string) string {
	r := rand.New(rand.NewPCG(seed, seed))
	var planned, faults strings.Builder
	for range 2 + r.IntN(maxEvacuations-1) {
		planned.WriteString(evacuation(r, zones))
	}
	for range minTroubles + r.IntN(maxTroubles-minTroubles+1) {
		k := kinds[r.IntN(len(kinds))]
		if r.IntN(5) == 0 {
			k = domainKinds[1+r.IntN(len(domainKinds)-1)]
		}
		out := &faults
		if k.planned {
			out = &planned
		}
		out.WriteString(k.randomEntry(r, evacuateLength-maxDuration, zones))
	}
	return dayFile(fmt.Sprintf("evacuate-%d", seed), seed, planned.String(), faults.String())
}

// evacuation returns the entry of a random evacuation.
func evacuation(r *rand.Rand, zones []string) string {
	at := r.Float64() * (evacuateLength - 2)
	lasts := minEvacuated + r.Float64()*(maxEvacuated-minEvacuated)
	switch r.IntN(evacuateShortOdds) {
	case 0:
		lasts = minEvacuated + r.Float64()
	case 1:
		if at > evacuateLength/2 {
			lasts = pastEnd
		}
	}
	how := []string{"", "warm"}[r.IntN(2)]
	return fmt.Sprintf("  { kind = \"evacuate\", at = %.2f, for_s = %.1f, zone = %q, how = %q },\n", at, lasts, zones[r.IntN(len(zones))], how)
}
