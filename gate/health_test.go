package gate

import (
	"testing"
	"time"
)

// Slowness expires when a target gets no more runs. Otherwise owners would avoid a target for
// good whose last runs were delayed by a broken connection.
func TestSlownessIsForgotten(t *testing.T) {
	b := newBench(t)
	end := func(index int, took time.Duration) {
		name := testRun("aa", index, 1)
		b.started(b.order(false, name))
		b.now += took
		b.hold(HoldAnswer{Finished: []Ended{{Number: int64(index + 1), Name: name, Kind: EndDone}}})
	}
	slowness := func() float64 {
		f, _ := b.gate.Flush(b.now, testOwner, 1)
		return f.Report.Slowness
	}
	// The estimate is 100 ms.
	end(0, 740*time.Millisecond)
	if got := slowness(); got < 7 {
		t.Fatalf("slowness %v after a run of seven times its estimate", got)
	}
	b.now += slownessMaxAge - 100*time.Millisecond
	if got := slowness(); got < 7 {
		t.Errorf("slowness %v, %v after the run", got, slownessMaxAge-100*time.Millisecond)
	}
	b.now += 200 * time.Millisecond
	if got := slowness(); got != 0 {
		t.Errorf("slowness %v long after the run, want it unknown", got)
	}
	// Expired samples do not affect new ones.
	b.hold(HoldAnswer{})
	end(1, 100*time.Millisecond)
	if got := slowness(); got < 0.9 || got > 1.2 {
		t.Errorf("slowness %v after a run that took its estimate", got)
	}
}
