package retryafter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newTestScheduler(limit time.Duration) *Scheduler {
	return NewScheduler(limit, rand.New(rand.NewPCG(1, 2)))
}

// The delay must cover the wait for the work ahead, in whole seconds between 1 s and the
// limit, for any figures that an owner may pass, and the jitter must use all of its range.
func TestDelay(t *testing.T) {
	tests := []struct {
		name              string
		limit             time.Duration
		load              Load
		shortest, longest time.Duration
	}{
		{"nothing ahead", 10 * time.Second, Load{Work: 10, Capacity: 1000, Share: 1000}, time.Second, time.Second},
		{"rounded up", 10 * time.Second, Load{Work: 10, Ahead: 1e9, Wait: 1200 * time.Millisecond, Capacity: 1000, Share: 1000}, 2 * time.Second, 2 * time.Second},
		{"wait above the limit", 10 * time.Second, Load{Work: 10, Ahead: 1e9, Wait: time.Hour, Capacity: 1000, Share: 1000}, 10 * time.Second, 10 * time.Second},
		{"negative wait", 10 * time.Second, Load{Work: 10, Ahead: 1e9, Wait: -time.Second, Capacity: 1000, Share: 1000}, time.Second, time.Second},
		{"own work ahead", 10 * time.Second, Load{Work: 10, Ahead: 2500, Wait: time.Hour, Capacity: 1000, Share: 1000}, 3 * time.Second, 3 * time.Second},
		{"nothing of its own ahead", 10 * time.Second, Load{Work: 10, Wait: time.Hour, Capacity: 1000, Share: 1000}, time.Second, time.Second},
		{"jitter over the job's own work", 10 * time.Second, Load{Work: 3000, Capacity: 1000, Share: 1000}, time.Second, 3 * time.Second},
		{"jitter by the share, not the capacity", 10 * time.Second, Load{Work: 300, Capacity: 1000, Share: 100}, time.Second, 3 * time.Second},
		{"no work", 10 * time.Second, Load{Capacity: 1000, Share: 1000}, time.Second, time.Second},
		{"no capacity", 10 * time.Second, Load{Work: 10, Wait: time.Minute}, time.Second, 2 * time.Second},
		{"limit of 1 s", time.Second, Load{Work: 3000, Ahead: 1e9, Wait: time.Minute, Capacity: 1000, Share: 1000}, time.Second, time.Second},
		{"limit of 0", 0, Load{Work: 3000, Ahead: 1e9, Wait: time.Minute, Capacity: 1000, Share: 1000}, time.Second, time.Second},
		{"limit in fractions of a second", 2900 * time.Millisecond, Load{Work: 10, Ahead: 1e9, Wait: time.Minute, Capacity: 1000, Share: 1000}, 2 * time.Second, 2 * time.Second},
		{"limit of 60 s", time.Minute, Load{Work: 10, Ahead: 1e9, Wait: time.Hour, Capacity: 1000, Share: 1000}, time.Minute, time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := map[time.Duration]bool{}
			for seed := range uint64(50) {
				d := NewScheduler(tt.limit, rand.New(rand.NewPCG(seed, 2))).Delay(5*time.Second, tt.load)
				if d < tt.shortest || d > tt.longest || d%time.Second != 0 {
					t.Errorf("seed %d: %v, want whole seconds from %v to %v", seed, d, tt.shortest, tt.longest)
				}
				got[d] = true
			}
			if !got[tt.shortest] || !got[tt.longest] {
				t.Errorf("delays %v, want both %v and %v", got, tt.shortest, tt.longest)
			}
		})
	}
}

// The work that is told to return in one second must not exceed what is free then, for each
// demand of first attempts.
func TestReturningWorkFitsFreeCapacity(t *testing.T) {
	load := Load{Work: 10, Capacity: 1000, Share: 1000}
	for demand, most := range map[float64]float64{0: 1000, 700: 300, 950: 100, 3000: 100} {
		s := newTestScheduler(20 * time.Second)
		for i := range 20 {
			s.Arrived(time.Duration(i)*windowStep, demand/10)
		}
		returning := map[time.Duration]float64{}
		for range 150 {
			returning[s.Delay(1999*time.Millisecond, load)] += load.Work
		}
		for d, work := range returning {
			if work > most+1e-6 {
				t.Errorf("first attempts need %v: %v returns after %v, want at most %v", demand, work, d, most)
			}
		}
	}
}

// When more is refused than can return within the limit, it is spread evenly rather than
// piled up at the limit.
func TestReturningWorkSpreadsEvenly(t *testing.T) {
	s := newTestScheduler(10 * time.Second)
	returning := map[time.Duration]float64{}
	for range 2000 {
		returning[s.Delay(time.Second, Load{Work: 10, Capacity: 1000, Share: 1000})] += 10
	}
	for d := time.Second; d <= 10*time.Second; d += time.Second {
		if w := returning[d]; w < 1900 || w > 2100 {
			t.Errorf("%v returns after %v, want a tenth of 20000", w, d)
		}
	}
}

// A job that needs more than is free in any second must still be told to return.
func TestLargeJobReturns(t *testing.T) {
	s := newTestScheduler(10 * time.Second)
	for range 30 {
		if d := s.Delay(time.Second, Load{Work: 5000, Capacity: 1000, Share: 1000}); d < time.Second || d > 10*time.Second {
			t.Fatal(d)
		}
	}
}

// Work that was told to return in a second that has begun, or long ago, is no longer counted.
func TestPastSecondsAreForgotten(t *testing.T) {
	load := Load{Work: 900, Capacity: 1000, Share: 1000}
	for _, pause := range []time.Duration{12 * time.Second, time.Minute, 70 * time.Second, time.Hour} {
		s := newTestScheduler(10 * time.Second)
		now := 3 * time.Second
		for range 100 {
			s.Delay(now, load)
		}
		if d := s.Delay(now+pause, load); d != time.Second {
			t.Errorf("%v later: %v, want 1s", pause, d)
		}
	}
}

// An owner that gets more served than its equal share, since other owners have few callers,
// must not tell its callers to stay away for longer than needed.
func TestRateIsMeasured(t *testing.T) {
	load := Load{Capacity: 1000, Share: 100}
	for served, want := range map[float64]float64{0: 100, 500: 500, 5000: 1000} {
		s := newTestScheduler(10 * time.Second)
		for i := range 20 {
			s.Served(time.Duration(i)*windowStep, served/10)
		}
		if got := s.rate(1999*time.Millisecond, load); got < want-1 || got > want+1 {
			t.Errorf("served %v a second: rate %v, want %v", served, got, want)
		}
	}
}

// Callers that were told to return for another reason than the load count as well.
func TestUnknownAndLongest(t *testing.T) {
	s := newTestScheduler(3 * time.Second)
	got := map[time.Duration]int{}
	for range 100 {
		got[s.Unknown(0, 10)]++
	}
	if len(got) != 2 || got[time.Second] < 20 || got[2*time.Second] < 20 {
		t.Errorf("%v, want 1 and 2 s at random", got)
	}
	if d := s.Longest(0, 10); d != 3*time.Second {
		t.Errorf("%v, want the limit", d)
	}
	if d := s.Delay(0, Load{Work: 995, Capacity: 1000, Share: 1000}); d != 3*time.Second {
		t.Errorf("%v, want the second with the least returning work", d)
	}
}

// A limit below 2 s leaves the delay at 1 s.
func TestUnknownLimit(t *testing.T) {
	for limit, want := range map[time.Duration]time.Duration{0: 1, time.Second: 1, 1999 * time.Millisecond: 1, 2 * time.Second: 2, time.Minute: 2} {
		if d := Unknown(limit, func(n int) int { return n - 1 }); d != want*time.Second {
			t.Errorf("limit %v: %v, want %v", limit, d, want*time.Second)
		}
	}
}

func TestWindow(t *testing.T) {
	var w window
	w.add(0, 1)
	w.add(1500*time.Millisecond, 2)
	for now, want := range map[time.Duration]float64{1500 * time.Millisecond: 3, 1999 * time.Millisecond: 3} {
		if got := w.sum(now, windowLength); got != want {
			t.Errorf("%v: %v, want %v", now, got, want)
		}
	}
	if got := w.sum(1999*time.Millisecond, time.Second); got != 2 {
		t.Errorf("last second: %v, want 2", got)
	}
	if got := w.sum(2*time.Second, windowLength); got != 2 {
		t.Errorf("at 2 s: %v, want 2", got)
	}
	if got := w.sum(time.Hour, windowLength); got != 0 {
		t.Errorf("after an hour: %v, want 0", got)
	}
}

// A job keeps the order of its first attempt over several refusals, until its caller should
// have returned.
func TestMemory(t *testing.T) {
	m := NewMemory(10 * time.Second)
	m.Add(0, "a", Refused{Order: 7, Delay: time.Second})
	m.Add(5*time.Second, "b", Refused{Order: 9, Delay: 2 * time.Second})
	if r, ok := m.Get(11*time.Second, "a"); !ok || r.Order != 7 {
		t.Errorf("%v %v after 11 s", r, ok)
	}
	if _, ok := m.Get(11*time.Second+1, "a"); ok {
		t.Error("remembered for longer than the limit and 1 s")
	}
	if r, ok := m.Take(12*time.Second, "b"); !ok || r.Order != 9 || r.Delay != 2*time.Second {
		t.Errorf("%v %v", r, ok)
	}
	if _, ok := m.Take(12*time.Second, "b"); ok {
		t.Error("taken twice")
	}
	m.Add(12*time.Second, "b", Refused{Order: 9})
	m.Add(20*time.Second, "b", Refused{Order: 9})
	if _, ok := m.Get(30*time.Second, "b"); !ok || m.Len() != 1 {
		t.Error("not kept since its last refusal")
	}
}

// The memory must not grow with the number of refusals; the latest ones are kept.
func TestMemoryIsBounded(t *testing.T) {
	m := NewMemory(time.Minute)
	for i := range 3 * maxRemembered {
		m.Add(0, fmt.Sprint(i), Refused{Order: uint64(i)})
	}
	if m.Len() != maxRemembered || m.entries.Len() != maxRemembered {
		t.Errorf("%d ids", m.Len())
	}
	if _, ok := m.Get(0, fmt.Sprint(2*maxRemembered-1)); ok {
		t.Error("an old refusal is remembered")
	}
	if _, ok := m.Get(0, fmt.Sprint(2*maxRemembered)); !ok {
		t.Error("a new refusal is forgotten")
	}
	m.Add(2*time.Minute, "x", Refused{})
	if m.Len() != 1 {
		t.Errorf("%d ids after all but one have expired", m.Len())
	}
}
