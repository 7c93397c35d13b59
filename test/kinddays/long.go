package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Times of a long day, in seconds.
const (
	longLength = 72
	// lastChange is the time of the last change of the configuration.
	lastChange = 69
	// lastTrouble is the latest start of a trouble: it ends before the day does.
	lastTrouble = 62
	minDuration = 2
	maxDuration = 9
)

// removed is the variant in which boxes are removed for good. Its share is limited, since
// by default all are removed.
const (
	removed      = "remove"
	removedShare = 0.3
)

// Bounds of the number of troubles of a long day.
const (
	minEntries = 7
	maxEntries = 14
)

// longDay returns the file of a long day: random troubles, and a change of the
// configuration each second.
func longDay(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, seed))
	var planned, faults strings.Builder
	for at := 1; at <= lastChange; at++ {
		how := []string{"timeout", "route", "idle"}[r.IntN(3)]
		fmt.Fprintf(&planned, "  { kind = \"config_change\", at = %d.0, how = %q },\n", at, how)
	}
	for range minEntries + r.IntN(maxEntries-minEntries+1) {
		k := kinds[r.IntN(len(kinds))]
		if k.healthOnly {
			continue
		}
		out := &faults
		if k.planned {
			out = &planned
		}
		out.WriteString(k.randomEntry(r, lastTrouble, nil))
	}
	return dayFile(fmt.Sprintf("long-%d", seed), seed, planned.String(), faults.String())
}

// randomEntry returns an entry with a random variant, start (up to until) and duration.
func (k kind) randomEntry(r *rand.Rand, until float64, zones []string) string {
	at := 2 + r.Float64()*(until-2)
	lasts := minDuration + r.Float64()*(maxDuration-minDuration)
	how := k.variants[r.IntN(len(k.variants))]
	line := fmt.Sprintf("  { kind = %q, at = %.2f, for_s = %.1f", k.name, at, lasts)
	if how != "" {
		line += fmt.Sprintf(", how = %q", how)
	}
	if how == removed {
		line += fmt.Sprintf(", share = %.1f", removedShare)
	}
	if k.inDomain {
		line += fmt.Sprintf(", zone = %q", zones[r.IntN(len(zones))])
	}
	return line + " },\n"
}
