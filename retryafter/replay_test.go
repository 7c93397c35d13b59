package retryafter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The replayed owner has this capacity, and its jobs need this work.
const (
	replayCapacity = 1000.0
	replayWork     = 10.0
	replayStep     = 10 * time.Millisecond
	// replaySlack is the longest wait for which a job is admitted.
	replaySlack = 100 * time.Millisecond
	replayEnd   = 80 * time.Second
)

// replayed is the outcome of a replay, in multiples of the capacity for each second.
type replayed struct {
	// demand is the work of all attempts, returned that of the attempts after a refusal.
	demand, returned []float64
	// unserved is the number of jobs that were refused and not served up to the end.
	unserved int
	delays   map[time.Duration]int
}

// replayLoad lets callers submit jobs and return when they are told, to an owner that admits
// a job if its wait is within replaySlack.
func replayLoad(limit time.Duration, seed uint64, l load) replayed {
	random := rand.New(rand.NewPCG(seed, 1))
	s := NewScheduler(limit, random)
	seconds := int(replayEnd / time.Second)
	r := replayed{demand: make([]float64, seconds), returned: make([]float64, seconds), delays: map[time.Duration]int{}}
	due := map[time.Duration]int{}
	backlog, arriving := 0.0, 0.0
	for now := time.Duration(0); now < replayEnd; now += replayStep {
		open := now < l.closed.from || now >= l.closed.to
		if open {
			served := min(backlog, replayCapacity*replayStep.Seconds())
			backlog -= served
			s.Served(now, served)
		}
		arriving += l.at(now) * replayCapacity * replayStep.Seconds()
		first := int(arriving / replayWork)
		arriving -= float64(first) * replayWork
		second := int(now / time.Second)
		r.demand[second] += float64(first+due[now]) * replayWork / replayCapacity
		r.returned[second] += float64(due[now]) * replayWork / replayCapacity
		r.unserved -= due[now]
		for i := range first + due[now] {
			if i < first {
				s.Arrived(now, replayWork)
			}
			wait := time.Duration(backlog / replayCapacity * float64(time.Second))
			if open && wait <= replaySlack {
				backlog += replayWork
				continue
			}
			delay := s.Unknown(now, replayWork)
			if open {
				delay = s.Delay(now, Load{Work: replayWork, Ahead: backlog, Wait: wait, Capacity: replayCapacity, Share: replayCapacity})
			}
			r.delays[delay]++
			r.unserved++
			due[now+delay]++
		}
	}
	return r
}

// load is the work of first attempts as a multiple of the capacity, and a time in which no
// gate is open.
type load struct {
	at     func(now time.Duration) float64
	closed struct{ from, to time.Duration }
}

// burst returns a load that is higher for 5 s.
func burst(usual, high float64) load {
	return load{at: func(now time.Duration) float64 {
		if now >= 2*time.Second && now < 7*time.Second {
			return high
		}
		return usual
	}}
}

// falling returns a load that falls from 1.6 to 0.4 within 10 s.
func falling() load {
	return load{at: func(now time.Duration) float64 { return max(0.4, 1.6-1.2*now.Seconds()/10) }}
}

func outage() load {
	l := load{at: func(time.Duration) float64 { return 0.6 }}
	l.closed.from, l.closed.to = 2*time.Second, 7*time.Second
	return l
}

// maxDemand is the highest demand that returning callers may cause.
const maxDemand = 1.2

// Callers who return when they are told must be served, and must not raise the demand above
// the capacity again. Told always to return after 1 s, they do raise it; each check must
// notice that.
func TestReplay(t *testing.T) {
	tests := []struct {
		name  string
		limit time.Duration
		load  load
		// From the second bounded on, the demand must be at most maxDemand.
		bounded int
		// maxReturned is the most work that may return in a second before that; 0 means any.
		maxReturned float64
	}{
		{"twice the load", 10 * time.Second, burst(0.54, 1.08), 0, 0},
		{"twice the load, long delays", 60 * time.Second, burst(0.54, 1.08), 0, 0},
		{"twice the capacity", 30 * time.Second, burst(0.6, 2), 7, 0.4},
		{"twice the capacity, short delays", 10 * time.Second, burst(0.6, 2), 7, 0},
		{"a load that falls", 20 * time.Second, falling(), 4, 0.3},
		// After an outage, the first callers return within the 2 s that they were told.
		{"outage", 10 * time.Second, outage(), 9, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			check := func(limit time.Duration, seed uint64) error {
				r := replayLoad(limit, seed, tt.load)
				if r.unserved > 0 {
					return fmt.Errorf("%d jobs not served", r.unserved)
				}
				if d := slices.Max(r.demand[tt.bounded:]); d > maxDemand {
					return fmt.Errorf("demand %.2f of the capacity: %.2f", d, r.demand[:40])
				}
				if before := r.returned[:tt.bounded]; tt.maxReturned > 0 && slices.Max(before) > tt.maxReturned {
					return fmt.Errorf("work returning in each second: %.2f", before)
				}
				return nil
			}
			for seed := range uint64(30) {
				if err := check(tt.limit, seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				if check(time.Second, seed) == nil {
					t.Errorf("seed %d: delays of 1 s pass too", seed)
				}
			}
		})
	}
}

// During an outage all callers must not return at the same time.
func TestReplayOutageDelays(t *testing.T) {
	l := load{at: func(time.Duration) float64 { return 0.6 }}
	l.closed.to = replayEnd
	r := replayLoad(10*time.Second, 1, l)
	if len(r.delays) != 2 || r.delays[time.Second] == 0 || r.delays[2*time.Second] == 0 {
		t.Errorf("delays %v, want 1 and 2 s", r.delays)
	}
}
