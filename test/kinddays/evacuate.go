package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// placesKinds come where failure domains are lost, cut off and evacuated. They stand apart
// from kinds, so that a long day's seed keeps its meaning.
var placesKinds = []kind{
	{name: "evacuate", planned: true, inZone: true, variants: []string{"", "warm"}},
	{name: "zone_loss", inZone: true, variants: []string{""}},
	{name: "zone_cut", inZone: true, variants: []string{""}},
}

// Times and numbers of a day with evacuations; times in seconds.
const (
	// evacuateLength is the length of the users' days.
	evacuateLength = 34
	// toTheEnd outlasts the day: the evacuation is never taken back.
	toTheEnd          = 60
	mostEvacuations   = 4
	leastOthers       = 3
	mostOthers        = 8
	leastEvacuated    = 0.4
	mostEvacuated     = 12
	evacuateShortOdds = 3
)

// evacuateDay returns the file of a day with random evacuations among other trouble: short
// and long ones, two domains at once, one that is given again at once or never taken back.
func evacuateDay(seed uint64, zones []string) string {
	r := rand.New(rand.NewPCG(seed, seed))
	var planned, faults strings.Builder
	for range 2 + r.IntN(mostEvacuations-1) {
		planned.WriteString(evacuation(r, zones))
	}
	for range leastOthers + r.IntN(mostOthers-leastOthers+1) {
		k := kinds[r.IntN(len(kinds))]
		if r.IntN(5) == 0 {
			k = placesKinds[1+r.IntN(len(placesKinds)-1)]
		}
		out := &faults
		if k.planned {
			out = &planned
		}
		out.WriteString(k.entryIn(r, evacuateLength-mostLasts, zones))
	}
	return dayFile(fmt.Sprintf("evacuate-%d", seed), seed, planned.String(), faults.String())
}

// evacuation returns an entry of an evacuation.
func evacuation(r *rand.Rand, zones []string) string {
	at := r.Float64() * (evacuateLength - 2)
	lasts := leastEvacuated + r.Float64()*(mostEvacuated-leastEvacuated)
	switch r.IntN(evacuateShortOdds) {
	case 0:
		lasts = leastEvacuated + r.Float64()
	case 1:
		if at > evacuateLength/2 {
			lasts = toTheEnd
		}
	}
	how := []string{"", "warm"}[r.IntN(2)]
	return fmt.Sprintf("  { kind = \"evacuate\", at = %.2f, for_s = %.1f, zone = %q, how = %q },\n", at, lasts, zones[r.IntN(len(zones))], how)
}
