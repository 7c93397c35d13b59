package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Times of a long day, in seconds.
const (
	longLength = 72
	// longChanges is when the last change of the configuration comes.
	longChanges = 69
	// longTroubles is when the last trouble begins: it is over before the day is.
	longTroubles = 62
	leastLasts   = 2
	mostLasts    = 9
)

// removed is the variant in which machines leave for good. By default all do, and
// nobody is left to serve.
const (
	removed      = "remove"
	removedShare = 0.3
)

// Numbers of entries of a long day.
const (
	leastEntries = 7
	mostEntries  = 14
)

// longDay returns the file of a long day.
func longDay(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, seed))
	var planned, faults strings.Builder
	for at := 1; at <= longChanges; at++ {
		how := []string{"timeout", "route", "idle"}[r.IntN(3)]
		fmt.Fprintf(&planned, "  { kind = \"config_change\", at = %d.0, how = %q },\n", at, how)
	}
	for range leastEntries + r.IntN(mostEntries-leastEntries+1) {
		k := kinds[r.IntN(len(kinds))]
		if k.healthOnly {
			continue
		}
		out := &faults
		if k.planned {
			out = &planned
		}
		out.WriteString(k.entryIn(r, longTroubles, nil))
	}
	return dayFile(fmt.Sprintf("long-%d", seed), seed, planned.String(), faults.String())
}

// entryIn returns an entry of a random day: a variant at any moment up to a time, for any
// time.
func (k kind) entryIn(r *rand.Rand, until float64, zones []string) string {
	at := 2 + r.Float64()*(until-2)
	lasts := leastLasts + r.Float64()*(mostLasts-leastLasts)
	how := k.variants[r.IntN(len(k.variants))]
	line := fmt.Sprintf("  { kind = %q, at = %.2f, for_s = %.1f", k.name, at, lasts)
	if how != "" {
		line += fmt.Sprintf(", how = %q", how)
	}
	if how == removed {
		line += fmt.Sprintf(", share = %.1f", removedShare)
	}
	if k.inZone {
		line += fmt.Sprintf(", zone = %q", zones[r.IntN(len(zones))])
	}
	return line + " },\n"
}
