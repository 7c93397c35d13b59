// Command kinddays writes day files for the users' bench, one for each variant of each
// kind of trouble. The trouble occurs twice, at its default strength, the second time 3 s
// after the end of the first. docs/MEASUREMENT.md has a table of the results.
//
//	go run ./test/kinddays -out DIR
//
// With -long N it writes N long days instead: random, overlapping troubles of all kinds
// and a change of the configuration each second. They need a copy of a site file with
// length_s = 72.
//
//	go run ./test/kinddays -out DIR -long 40 -seed 1
//
// With -evacuate N it writes N days with evacuations among random troubles. These days,
// and the kinds that strike a failure domain, need the names of the site's domains:
//
//	go run ./test/kinddays -out DIR -evacuate 40 -zones lhr-a,lhr-b,lhr-c
//
// The names of kinds and variants are the bench's own (`fleetbench kinds SITE`).
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Times of a day, in seconds.
const (
	firstAt  = 4
	duration = 5
	pause    = 3
)

// kind is a kind of trouble with its variants; "" is the default one.
type kind struct {
	name     string
	planned  bool
	variants []string
	// healthOnly marks kinds that occur only where the contract "health" is open.
	healthOnly bool
	// inDomain marks kinds whose entries name a failure domain.
	inDomain bool
}

var kinds = []kind{
	{name: "burst", variants: []string{""}},
	{name: "hot_key", variants: []string{""}},
	{name: "shift", variants: []string{""}},
	{name: "give_up", variants: []string{""}},
	{name: "srv_crash", variants: []string{"", "dark", "gone", "domain", "rack"}},
	{name: "srv_slow", variants: []string{""}},
	{name: "srv_grey", variants: []string{"", "errors", "shed", "busy", "hang", "reset", "mute", "slow"}},
	{name: "srv_flap", healthOnly: true, variants: []string{""}},
	{name: "srv_lying_health", healthOnly: true, variants: []string{"", "hang"}},
	{name: "srv_cut", variants: []string{"", "some", "one_way", "reset", "fronts"}},
	{name: "applied_late", variants: []string{"", "all"}},
	{name: "answer_lost", variants: []string{""}},
	{name: "node_kill", variants: []string{"", "power", "leader race", "leader race drain", "meet drain"}},
	{name: "node_freeze", variants: []string{"", "renewed"}},
	{name: "node_slow", variants: []string{""}},
	{name: "node_cut", variants: []string{"", "all", "reset", "servers", "meet", "race"}},
	{name: "herd_kill", variants: []string{"", "power"}},
	{name: "after_ack_kill", variants: []string{"", "kill", "timed", "taken"}},
	{name: "replace_core", variants: []string{"", "planned"}},
	{name: "core_cut", variants: []string{"", "all", "near", "one_way", "reset", "leader race", "lure", "relieve", "seeds"}},
	{name: "clock_step", variants: []string{"", "back", "ahead"}},
	{name: "lossy", variants: []string{""}},
	{name: "reset_conns", variants: []string{"", "silent"}},
	{name: "hup", variants: []string{""}},
	{name: "platform_down", variants: []string{"", "busy", "reset", "silent lapse", "nodes", "nodes busy", "nodes many", "nodes leader", "nodes reset revoke", "nodes revoke meet"}},
	{name: "platform_slow", variants: []string{""}},
	{name: "platform_lost", variants: []string{"", "late"}},
	{name: "platform_compact", variants: []string{"", "drain"}},
	{name: "poison", variants: []string{""}},
	{name: "cloud_down", variants: []string{"silent"}},
	{name: "cloud_slow", variants: []string{""}},
	{name: "scale_out", planned: true, variants: []string{""}},
	{name: "scale_in", planned: true, variants: []string{"", "spot"}},
	{name: "release", planned: true, variants: []string{""}},
	{name: "roll_term", planned: true, variants: []string{"", "busy", "remove"}},
	{name: "add_nodes", planned: true, variants: []string{""}},
	{name: "config_change", planned: true, variants: []string{"route", "weights", "timeout", "idle"}},
	{name: "big_config", planned: true, variants: []string{""}},
}

func main() {
	out := flag.String("out", "", "folder that the days are written to")
	long := flag.Int("long", 0, "write that many long days with random troubles")
	evacuate := flag.Int("evacuate", 0, "write that many days with evacuations")
	zoneList := flag.String("zones", "", "failure domains of the site, separated by commas")
	seed := flag.Uint64("seed", 1, "seed of the first long day, or day with evacuations")
	flag.Parse()
	zones := strings.FieldsFunc(*zoneList, func(r rune) bool { return r == ',' })
	if *out == "" {
		log.Fatal("kinddays: -out names no folder")
	}
	if err := os.MkdirAll(*out, 0o755); err != nil {
		log.Fatal(err)
	}
	if *long > 0 {
		for i := range uint64(*long) {
			write(*out, fmt.Sprintf("long-%d", *seed+i), longDay(*seed+i))
		}
		log.Printf("kinddays: play the days on a copy of a site file with length_s = %d", longLength)
		return
	}
	if *evacuate > 0 {
		if len(zones) == 0 {
			log.Fatal("kinddays: -evacuate needs -zones")
		}
		for i := range uint64(*evacuate) {
			write(*out, fmt.Sprintf("evacuate-%d", *seed+i), evacuateDay(*seed+i, zones))
		}
		return
	}
	all := kinds
	if len(zones) > 0 {
		all = append(slices.Clone(kinds), domainKinds...)
	}
	for i, k := range all {
		for _, v := range k.variants {
			name := strings.Join(append([]string{k.name}, strings.Fields(v)...), "-")
			write(*out, name, k.day(name, v, i, zones))
		}
	}
}

// write writes a day to a file in a folder.
func write(folder, name, day string) {
	if err := os.WriteFile(filepath.Join(folder, name+".toml"), []byte(day), 0o644); err != nil {
		log.Fatal(err)
	}
}

// day returns the file of a day on which the variant occurs twice.
func (k kind) day(name, variant string, number int, zones []string) string {
	var troubles strings.Builder
	for _, at := range []int{firstAt, firstAt + duration + pause} {
		fmt.Fprintf(&troubles, "  { kind = %q, at = %d.0, for_s = %d.0", k.name, at, duration)
		if variant != "" {
			fmt.Fprintf(&troubles, ", how = %q", variant)
		}
		if k.inDomain {
			fmt.Fprintf(&troubles, ", zone = %q", zones[0])
		}
		troubles.WriteString(" },\n")
	}
	planned, faults := "", troubles.String()
	if k.planned {
		planned, faults = faults, ""
	}
	return dayFile("kind-"+name, uint64(9000+number), planned, faults)
}

// dayFile returns the text of a day file; planned and faults hold an entry per line.
func dayFile(name string, seed uint64, planned, faults string) string {
	return fmt.Sprintf(`# Written by test/kinddays.
[[day]]
name = "%s"
slot = "trouble"
seed = %d
one = 1.0
zero = 0.0
labels = []
plan = [
%s]
faults = [
%s]
`, name, seed, planned, faults)
}
