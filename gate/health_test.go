package gate

import (
	"testing"
	"time"
)

// Symptom: a target got no more work for as long as others had room, here after the
// evacuation of its failure domain was taken back. Sequence: its connection is silent for
// 0.85 s, so that runs of 0.1 s seem to take a second; then nothing is sent to it for a
// while. Cause: the smoothed ratio of run time to estimate changed with runs only, and
// owners send a target none whose ratio is twice the others'. The line that settled it:
// "Evacuation is taken back." with open=true and a slowness of 7.4, in three plays of three.
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
	b.now += slownessKept - 100*time.Millisecond
	if got := slowness(); got < 7 {
		t.Errorf("slowness %v, %v after the run", got, slownessKept-100*time.Millisecond)
	}
	b.now += 200 * time.Millisecond
	if got := slowness(); got != 0 {
		t.Errorf("slowness %v long after the run, want it unknown", got)
	}
	// What was known before does not weigh on what is learnt anew.
	b.hold(HoldAnswer{})
	end(1, 100*time.Millisecond)
	if got := slowness(); got < 0.9 || got > 1.2 {
		t.Errorf("slowness %v after a run that took its estimate", got)
	}
}
