package node

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"rackspur/gate"
	"rackspur/job"
	"rackspur/observe"
	"rackspur/owner"
	"rackspur/rowstore"
)

// The setting reaches the owners, and the work that waits at one box reaches another over real
// links and shows in its metrics.
func TestLoadViewOverLinks(t *testing.T) {
	for _, shared := range []bool{false, true} {
		t.Run(fmt.Sprintf("shared %v", shared), func(t *testing.T) {
			c := &cluster{t: t, store: rowstore.NewMemory()}
			c.start(0, 1, func(job.RunName) (time.Duration, gate.EndKind) { return 3 * time.Second, gate.EndDone })
			var metrics []*observe.Metrics
			for i := range 2 {
				o := c.options(fmt.Sprintf("entry-%d", i))
				o.Decisions.SharedLoad = shared
				e, err := NewEntry(o, followTest)
				if err != nil {
					t.Fatal(err)
				}
				metrics = append(metrics, o.Metrics)
				c.entries = append(c.entries, run(e, e.Run))
			}
			for i := range 2 {
				c.until("the entry box is linked", func() bool { return c.entry(i).Ready() && gaugeOf(t, metrics[i], "gates.linked") == 1 })
			}
			queue := testQueue()
			queue.Stretch = 100
			c.entry(0).current.Load().owner.RunBestEffort(job.Submission{
				ID: "0123456789abcdef", Spec: "s", BestEffort: true, Queue: queue,
				Steps: []job.Step{{Count: 30, Need: job.Resources{CPU: 1600, Memory: 64}, EstimateMS: 3000}},
			}, time.Minute, func(owner.BestEffortResult) {})
			if !shared {
				time.Sleep(time.Second)
				for _, m := range metrics {
					if own, others := gaugeOf(t, m, "load.own_core_ms"), gaugeOf(t, m, "load.others_core_ms"); own != 0 || others != 0 {
						t.Errorf("%d and %d core-ms without the shared view", own, others)
					}
				}
				return
			}
			c.until("the other box knows of the waiting work", func() bool {
				own := gaugeOf(t, metrics[0], "load.own_core_ms")
				return own > 0 && gaugeOf(t, metrics[1], "load.others_core_ms") == own
			})
			if others := gaugeOf(t, metrics[0], "load.others_core_ms"); others != 0 {
				t.Errorf("the box itself is told %d core-ms of others", others)
			}
			for _, name := range []string{"jobs.admitted_by_view", "jobs.refused_by_view"} {
				if n := gaugeOf(t, metrics[1], name); n != 0 {
					t.Errorf("%s is %d without a decision", name, n)
				}
			}
		})
	}
}

// gaugeOf reads a gauge from the metrics as they are served.
func gaugeOf(t *testing.T, m *observe.Metrics, name string) int64 {
	t.Helper()
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	var all map[string]struct{ Value *int64 }
	if err := json.Unmarshal(w.Body.Bytes(), &all); err != nil {
		t.Fatal(err)
	}
	if all[name].Value == nil {
		t.Fatalf("no gauge %s", name)
	}
	return *all[name].Value
}
