// Command daytable prints the tables of docs/CAPACITY.md: the prices of a simulated day,
// the load of each role's boxes, and how long changes took to reach all boxes.
//
//	go run ./test/daytable -log LOG REPORT...
//
// A REPORT is the JSON file that a run of a day writes, LOG the output of the run with the
// log lines of the entry boxes. Without -log the times are omitted.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"os"
	"slices"
	"strings"
)

func main() {
	logPath := flag.String("log", "", "what the bench printed of the processes' logs")
	flag.Parse()
	if flag.NArg() == 0 {
		log.Fatal("daytable: no report named")
	}
	for _, path := range flag.Args() {
		r, err := readReport(path)
		if err != nil {
			log.Fatalf("daytable: %s: %v", path, err)
		}
		fmt.Print(r.table())
	}
	if *logPath == "" {
		return
	}
	f, err := os.Open(*logPath)
	if err != nil {
		log.Fatalf("daytable: %v", err)
	}
	defer f.Close()
	reach, err := readArrivals(f)
	if err != nil {
		log.Fatalf("daytable: %s: %v", *logPath, err)
	}
	fmt.Print(reach.table())
}

// report holds the fields of a day's report that are printed.
type report struct {
	Worth  float64          `json:"G"`
	Served float64          `json:"served"`
	Prices []price          `json:"prices"`
	Load   map[string]loads `json:"load"`
	Broken map[string]any   `json:"breaks"`
	WallS  float64          `json:"wall_s"`
}

// price is an amount that a day is charged for, and its share of the worth.
type price struct {
	name   string
	amount float64
	worth  float64
}

// UnmarshalJSON reads a price from a list of its name, amount and share.
func (p *price) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&p.name, &p.amount, &p.worth})
}

// loads is the load of a role's boxes: for each of the measures the median and the
// maximum.
type loads struct {
	Machines int          `json:"machines"`
	Of       [][2]float64 `json:"of"`
}

// measures are the names of loads.Of.
var measures = []string{"% of a core", "MB", "kB/s", "wake-ups/s", "connections", "new connections/s"}

func readReport(path string) (*report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(report)
	return r, json.Unmarshal(b, r)
}

// minShare is the smallest share of the worth for which a price is printed.
const minShare = 0.0005

func (r *report) table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "served %.3f, worth %.3f, rules broken %d, played in %.0f s\n\n", r.Served, r.Worth, len(r.Broken), r.WallS)
	b.WriteString("| price | amount | of the worth |\n|---|---|---|\n")
	for _, p := range r.Prices {
		if p.worth >= minShare {
			fmt.Fprintf(&b, "| %s | %.4g | %.4f |\n", p.name, p.amount, p.worth)
		}
	}
	b.WriteString("\n| role | middle box | busiest |\n|---|---|---|\n")
	var roles []string
	for role := range r.Load {
		roles = append(roles, role)
	}
	slices.Sort(roles)
	for _, role := range roles {
		for i, of := range r.Load[role].Of {
			if i < len(measures) {
				fmt.Fprintf(&b, "| %s, %s | %.3g | %.3g |\n", role, measures[i], of[0], of[1])
			}
		}
	}
	b.WriteString("\n")
	return b.String()
}
