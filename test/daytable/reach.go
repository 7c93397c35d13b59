package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// arrivals holds, by the name of an event, a time in seconds for each box.
type arrivals map[string][]float64

// linePattern matches a line of the log: its time in the day, its box, the box's log line.
var linePattern = regexp.MustCompile(`^\s*(-?\d+\.\d+)\s*s?\s+(\S+?):?\s+(.*)$`)

// versionPattern matches the version of a configuration that has come into force.
var versionPattern = regexp.MustCompile(`"version":(\d+)`)

// tookPattern matches how long an entry box took to link to its share of the gates.
var tookPattern = regexp.MustCompile(`"tookMS":(\d+)`)

// Messages of the log lines that are evaluated.
const (
	lineInForce = "Configuration in force."
	lineLinked  = "Share of the gates is linked."
)

// readArrivals reads the arrivals from a log.
func readArrivals(r io.Reader) (arrivals, error) {
	all := arrivals{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		m := linePattern.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		at, err := strconv.ParseFloat(m[1], 64)
		if err != nil {
			continue
		}
		switch {
		case strings.Contains(m[3], lineInForce):
			if v := versionPattern.FindStringSubmatch(m[3]); v != nil {
				name := "configuration " + v[1] + ", from the first box on"
				all[name] = append(all[name], at)
			}
		case strings.Contains(m[3], lineLinked):
			if took := tookPattern.FindStringSubmatch(m[3]); took != nil {
				ms, _ := strconv.ParseFloat(took[1], 64)
				all["links of an entry box, from their loss or its start on"] = append(all["links of an entry box, from their loss or its start on"], ms/1000)
			}
		}
	}
	return all, lines.Err()
}

// table returns a table of the median, the 99th percentile and the maximum of each event's
// times. Those of a configuration count from the first box that has it.
func (r arrivals) table() string {
	var b strings.Builder
	b.WriteString("| what | boxes | middle, s | 99 of 100, s | last, s |\n|---|---|---|---|---|\n")
	var names []string
	for name := range r {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		times := slices.Sorted(slices.Values(r[name]))
		from := 0.0
		if strings.HasPrefix(name, "configuration") {
			from = times[0]
		}
		at := func(share float64) float64 { return times[int(share*float64(len(times)-1))] - from }
		fmt.Fprintf(&b, "| %s | %d | %.3f | %.3f | %.3f |\n", name, len(times), at(0.5), at(0.99), at(1))
	}
	return b.String()
}
