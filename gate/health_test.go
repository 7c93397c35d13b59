package gate

import (
	"testing"
	"time"

	"rackspur/job"
)

// Slowness expires when a target gets no more runs. Otherwise owners would avoid a target for
// good whose last runs were delayed by a broken connection.
func TestSlownessIsForgotten(t *testing.T) {
	b := newBench(t)
	end := func(index int, took time.Duration) {
		name := testRun("aa", index, 1)
		b.started(b.order(false, name))
		b.runFor(took, name)
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

// runFor lets a run take some time, during which the target lists it as running.
func (b *bench) runFor(took time.Duration, name job.RunName) {
	for left := took; left > 0; left -= holdWait {
		b.now += min(left, holdWait)
		b.hold(HoldAnswer{Running: []Running{{Name: name}}})
	}
}

// Ends that were heard late do not count as slowness: the gate's process was suspended, or the
// target could not be reached.
func TestLateEndsAreNoSlowness(t *testing.T) {
	const late = 2500 * time.Millisecond
	done := func(index int) Ended {
		return Ended{Number: int64(index + 1), Name: testRun("aa", index, 1), Kind: EndDone}
	}
	// slownessAfter returns the slowness after two runs of their estimated 100 ms.
	slownessAfter := func(b *bench, ends func()) float64 {
		b.started(b.order(false, testRun("aa", 0, 1)))
		b.started(b.order(false, testRun("aa", 1, 1)))
		b.runFor(100*time.Millisecond, testRun("aa", 0, 1))
		ends()
		f, _ := b.gate.Flush(b.now, testOwner, 1)
		return f.Report.Slowness
	}
	tests := []struct {
		name string
		ends func(b *bench)
	}{
		{"answered before, handled after a suspension", func(b *bench) {
			h := b.gate.NextHold(b.now, holdWait)
			answer := Answer{ClockMS: b.targetClock() + 1, Incarnation: b.gate.current}
			b.now += late
			b.gate.OnHold(b.now, h, answer, HoldAnswer{Finished: []Ended{done(0), done(1)}}, nil)
		}},
		{"asked after a suspension", func(b *bench) {
			b.now += late
			b.hold(HoldAnswer{Finished: []Ended{done(0), done(1)}})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			if got := slownessAfter(b, func() { test.ends(b) }); got > 1.5 {
				t.Errorf("slowness %v after runs that took their estimate", got)
			}
		})
	}
}
