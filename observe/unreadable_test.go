package observe

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
)

// Every entry is counted, but each source is logged at most once per minLogInterval, with
// the number of entries not logged.
func TestUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines []string
		m := NewMetrics()
		u := NewUnreadable(funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}), m)
		for range 5 {
			u.Note("members", strings.Repeat("k", 10_000), "no address")
		}
		u.Note("heartbeat", "i-1", "state")
		time.Sleep(minLogInterval)
		u.Note("members", "k", "no address")
		if got := m.Value(MetricUnreadable); got != 7 {
			t.Errorf("counted %d, want 7", got)
		}
		if len(lines) != 3 || !strings.Contains(lines[2], `"untold"=4`) || len(lines[0]) > 400 {
			t.Errorf("lines %q", lines)
		}
	})
	var none *UnreadableLog
	none.Note("members", "k", "nothing")
}
