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

// loadedTarget answers holds with a given delay and counts the ones in progress. A cancelled
// call stays in progress for a moment.
type loadedTarget struct {
	hangingTarget
	// delay returns how long after its wait a hold is answered, by its number from 1;
	// neverAnswered makes it hang.
	delay func(number int) time.Duration
	// ending is how long a call stays in progress after its cancellation.
	ending time.Duration

	mu        sync.Mutex
	holds     int
	open      int
	maxOpen   int
	cancelled int
	// answeredAt is when a hold was last answered, longestGap the longest time between two
	// answers.
	answeredAt time.Time
	longestGap time.Duration
}

const neverAnswered = -1

func (x *loadedTarget) Hold(ctx context.Context, _ Incarnation, c HoldCall) (Answer, HoldAnswer, error) {
	number := x.begin()
	defer x.end()
	late := x.delay(number)
	if late != neverAnswered {
		wait.For(ctx, time.Duration(c.WaitMS)*time.Millisecond+late)
	} else {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		x.recordCancelled()
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
	x.maxOpen = max(x.maxOpen, x.open)
	return x.holds
}

func (x *loadedTarget) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open--
}

func (x *loadedTarget) recordCancelled() {
	wait.For(context.Background(), x.ending)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled++
}

func (x *loadedTarget) answered() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.answeredAt.IsZero() {
		x.longestGap = max(x.longestGap, time.Since(x.answeredAt))
	}
	x.answeredAt = time.Now()
}

// A target never has more than maxHolds holds in progress, including abandoned ones, even if
// some or all calls hang. Time is virtual.
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
		name  string
		delay func(number int) time.Duration
		// most is the maximum number of holds in progress; requested says that holds are also
		// requested from time to time, which adds them to those in flight.
		most      int
		requested bool
		// maxGap bounds the time between two answers; 0 where none is expected.
		maxGap time.Duration
	}{
		{name: "one of two hangs", most: maxHolds - 1, delay: every(2, neverAnswered), maxGap: 2 * holdWait},
		{name: "one of two hangs, holds requested", most: maxHolds, requested: true, delay: every(2, neverAnswered), maxGap: 2 * holdWait},
		{name: "three of four hang", most: maxHolds, requested: true, delay: func(number int) time.Duration {
			if number%4 == 1 {
				return 0
			}
			return neverAnswered
		}, maxGap: holdWait + holdTimeout},
		{name: "all hang", most: maxHolds, requested: true, delay: func(number int) time.Duration {
			if number == 1 {
				return 0
			}
			return neverAnswered
		}},
		{name: "all just after their timeout", most: maxHolds, requested: true, delay: func(int) time.Duration { return maxRTO + time.Millisecond }, maxGap: 2 * holdWait},
		{name: "one of two just after its timeout", most: maxHolds, requested: true, delay: every(2, minRTO+time.Millisecond), maxGap: 2 * holdWait},
		{name: "half late, half of these hang", most: maxHolds, requested: true, delay: func(number int) time.Duration {
			return []time.Duration{0, minLateAnswerWait, 0, neverAnswered}[number%4]
		}, maxGap: 2 * holdWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, ending := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				synctest.Test(t, func(t *testing.T) { holdsAtTheTarget(t, test.delay, ending, test.requested, test.most, test.maxGap) })
			}
		})
	}
}

// holdsAtTheTarget runs a gate beside a target for 20 s.
func holdsAtTheTarget(t *testing.T, delay func(int) time.Duration, ending time.Duration, requested bool, most int, maxGap time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	x := &loadedTarget{delay: delay, ending: ending}
	g := New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: time.Minute, BestEffortContactTimeout: time.Minute})
	d := NewDriver(ctx, g, x, logr.Discard())
	go d.Run(ctx)
	d.Heartbeat(Heartbeat{Incarnation: testIncarnation, Service: "engine", Sequence: 1})
	for i := range 400 {
		wait.For(ctx, 50*time.Millisecond)
		if requested && i%7 == 0 {
			d.requestHold()
		}
	}
	cancel()
	wait.For(context.Background(), time.Second)
	synctest.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.maxOpen > most {
		t.Errorf("calls end %v after their cancellation: %d holds, %d at once, want %d at most", ending, x.holds, x.maxOpen, most)
	}
	if maxGap > 0 && x.longestGap > maxGap {
		t.Errorf("calls end %v after their cancellation: %v without an answer, want %v at most", ending, x.longestGap, maxGap)
	}
	t.Logf("ending %v: %d holds, %d at once, %d cancelled, longest gap %v", ending, x.holds, x.maxOpen, x.cancelled, x.longestGap)
}

// Guards against a gate that waits for late holds though there are none: after the limit was
// reached by holds that were all answered in time, no hold was sent for 250 ms. Time is virtual.
func TestNoPauseAfterFullHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerTime = 5 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		x := &loadedTarget{delay: func(int) time.Duration { return answerTime }}
		g := New(Options{Node: "gate-1", Lease: time.Second, ContactTimeout: time.Minute, BestEffortContactTimeout: time.Minute})
		d := NewDriver(ctx, g, x, logr.Discard())
		go d.Run(ctx)
		d.Heartbeat(Heartbeat{Incarnation: testIncarnation, Service: "engine", Sequence: 1})
		wait.For(ctx, time.Second)
		for range maxHolds {
			d.requestHold()
			wait.For(ctx, answerTime/(maxHolds+1))
		}
		wait.For(ctx, time.Second)
		cancel()
		synctest.Wait()
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.maxOpen != maxHolds {
			t.Errorf("%d holds at once, want %d for the test", x.maxOpen, maxHolds)
		}
		if x.longestGap > 2*holdWait {
			t.Errorf("%v without an answer, want %v at most", x.longestGap, 2*holdWait)
		}
	})
}
