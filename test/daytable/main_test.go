package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The tables show the prices, the load of each role and the times of changes; prices
// below minShare are omitted.
func TestTables(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report")
	text := `{"G":0.7,"served":0.98,"wall_s":300,"breaks":{},"prices":[["machine-seconds",67140.9,0.1072],["duties missed",0.0,0.0]],
		"load":{"entry":{"machines":184,"of":[[10.5,20],[30,40],[1,2],[3,4],[5,6],[7,8],[0,0]]}}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := readReport(path)
	if err != nil {
		t.Fatal(err)
	}
	table := r.table()
	for _, want := range []string{"served 0.980, worth 0.700, rules broken 0", "| machine-seconds | 6.714e+04 | 0.1072 |", "| entry, % of a core | 10.5 | 20 |", "| entry, new connections/s | 7 | 8 |"} {
		if !strings.Contains(table, want) {
			t.Errorf("no %q in:\n%s", want, table)
		}
	}
	if strings.Contains(table, "duties") {
		t.Errorf("a price of 0 is printed:\n%s", table)
	}
	log := ` -23.50 edge-a-1 {"logger":"","msg":"Configuration in force.","node":"edge-a-1","version":1,"routes":2}
   1.00 edge-a-1 {"msg":"Configuration in force.","node":"edge-a-1","version":5,"routes":2}
   1.25 edge-a-2 {"msg":"Configuration in force.","node":"edge-a-2","version":5,"routes":2}
   2.00 edge-a-2 {"msg":"Share of the gates is linked.","node":"edge-a-2","share":35,"linked":35,"tookMS":1320}
day                  own/srv  score
`
	reach, err := readArrivals(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	table = reach.table()
	for _, want := range []string{"| configuration 5, from the first box on | 2 | 0.000 | 0.000 | 0.250 |", "| 1 | 1.320 | 1.320 | 1.320 |"} {
		if !strings.Contains(table, want) {
			t.Errorf("no %q in:\n%s", want, table)
		}
	}
}
