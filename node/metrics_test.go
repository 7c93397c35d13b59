package node

import (
	"strings"
	"testing"

	"rackspur/observe"
	"rackspur/owner"
)

// The metrics of the shares exist with the setting only, so that a process without it
// shows no ratios that nobody computes.
func TestShareMetrics(t *testing.T) {
	for _, fair := range []bool{false, true} {
		e := &Entry{options: Options{Metrics: observe.NewMetrics(), Decisions: owner.Decisions{FairShares: fair}}}
		e.gauges()
		var text strings.Builder
		e.options.Metrics.WriteText(&text)
		for _, name := range []string{"jobs_share_lifted ", "share_worst_served ", "share_served "} {
			if strings.Contains("\n"+text.String(), "\n"+name) != fair {
				t.Errorf("fair shares %v: metric %sin %q", fair, name, text.String())
			}
		}
	}
}
