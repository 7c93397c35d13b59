package gate

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
)

// loadedTarget answers holds as its fate says and counts those that it is at work on, until
// they have really ended: a call that is broken off goes on there for a moment.
type loadedTarget struct {
	hangingExecutor
	// fate returns how long after its wait a hold is answered, by its number from 1; 0 is
	// at once, neverAnswered never.
	fate func(number int) time.Duration
	// ending is how long a call goes on after it was broken off.
	ending time.Duration

	mu       sync.Mutex
	holds    int
	open     int
	mostOpen int
	ended    int
	// answeredAt is when a hold was last answered, longestGap the longest time without.
	answeredAt time.Time
	longestGap time.Duration
}

const neverAnswered = -1

func (x *loadedTarget) Hold(ctx context.Context, _ Life, c HoldCall) (Answer, HoldAnswer, error) {
	number := x.begin()
	defer x.end()
	late := x.fate(number)
	if late != neverAnswered {
		wait.For(ctx, time.Duration(c.WaitMS)*time.Millisecond+late)
	} else {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		x.breakOff()
		return Answer{}, HoldAnswer{}, ErrUnanswered
	}
	x.answered()
	return x.answer(), HoldAnswer{}, nil
}

func (x *loadedTarget) begin() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.holds++
	x.open++
	x.mostOpen = max(x.mostOpen, x.open)
	return x.holds
}

func (x *loadedTarget) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open--
}

func (x *loadedTarget) breakOff() {
	wait.For(context.Background(), x.ending)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended++
}

func (x *loadedTarget) answered() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.answeredAt.IsZero() {
		x.longestGap = max(x.longestGap, time.Since(x.answeredAt))
	}
	x.answeredAt = time.Now()
}

// Holds that nobody waits for any more are still at the target: with those, a target of which
// some or all calls hang never has more than mostHolds. Counting only the holds that are waited
// for, it had five where three of four hang, and four where half do. Time is virtual.
func TestHoldsAtTheTarget(t *testing.T) {
	every := func(n int, late time.Duration) func(int) time.Duration {
		return func(number int) time.Duration {
			if number%n == 0 {
				return late
			}
			return 0
		}
	}
	tests := []struct {
		name string
		fate func(number int) time.Duration
		// most is how many holds are at the target at most, poked that the gate is asked
		// to look at once now and then: such a hold goes beside those under way.
		most  int
		poked bool
		// heardWithin bounds the time between two answers; 0 where none is ever due.
		heardWithin time.Duration
	}{
		{name: "one of two hangs", most: mostHolds - 1, fate: every(2, neverAnswered), heardWithin: 2 * holdWait},
		{name: "one of two hangs, poked", most: mostHolds, poked: true, fate: every(2, neverAnswered), heardWithin: 2 * holdWait},
		{name: "three of four hang", most: mostHolds, poked: true, fate: func(number int) time.Duration {
			if number%4 == 1 {
				return 0
			}
			return neverAnswered
		}, heardWithin: holdWait + holdTimeout},
		{name: "all hang", most: mostHolds, poked: true, fate: func(number int) time.Duration {
			if number == 1 {
				return 0
			}
			return neverAnswered
		}},
		{name: "all just after their time-out", most: mostHolds, poked: true, fate: func(int) time.Duration { return mostRTO + time.Millisecond }, heardWithin: 2 * holdWait},
		{name: "one of two just after its time-out", most: mostHolds, poked: true, fate: every(2, leastRTO+time.Millisecond), heardWithin: 2 * holdWait},
		{name: "half late, half of these hang", most: mostHolds, poked: true, fate: func(number int) time.Duration {
			return []time.Duration{0, lateAnswer, 0, neverAnswered}[number%4]
		}, heardWithin: 2 * holdWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, ending := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				synctest.Test(t, func(t *testing.T) { holdsAtTheTarget(t, test.fate, ending, test.poked, test.most, test.heardWithin) })
			}
		})
	}
}

// holdsAtTheTarget drives a gate beside a target for 20 s.
func holdsAtTheTarget(t *testing.T, fate func(int) time.Duration, ending time.Duration, poked bool, most int, heardWithin time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	x := &loadedTarget{fate: fate, ending: ending}
	g := New(Options{Node: "gate-1", Lease: time.Second, Contact: time.Minute, BestEffortContact: time.Minute})
	d := NewDriver(ctx, g, x, logr.Discard())
	go d.Run(ctx)
	d.Heartbeat(Heartbeat{Life: testLife, Service: "engine", Sequence: 1})
	for i := range 400 {
		wait.For(ctx, 50*time.Millisecond)
		if poked && i%7 == 0 {
			d.poke()
		}
	}
	cancel()
	wait.For(context.Background(), time.Second)
	synctest.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.mostOpen > most {
		t.Errorf("calls end %v after they are broken off: %d holds, %d at once, want %d at most", ending, x.holds, x.mostOpen, most)
	}
	if heardWithin > 0 && x.longestGap > heardWithin {
		t.Errorf("calls end %v after they are broken off: %v without an answer, want %v at most", ending, x.longestGap, heardWithin)
	}
	t.Logf("ending %v: %d holds, %d at once, %d broken off, longest gap %v", ending, x.holds, x.mostOpen, x.ended, x.longestGap)
}
