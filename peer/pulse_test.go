package peer

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// beatLog records the times at which a link was woken.
type beatLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *beatLog) note() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
}

// take returns the times that were noted since the last call.
func (l *beatLog) take() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := l.times
	l.times = nil
	return times
}

// Links are woken at the same moments and within the shortest and longest time between beats.
func TestPulse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const least, most = 50 * time.Millisecond, 400 * time.Millisecond
		p := newPulse(func() (time.Duration, time.Duration) { return least, most })
		var one, other beatLog
		defer p.join(one.note, least)()
		defer p.join(other.note, most)()
		// The first beat may come before the second link has joined.
		time.Sleep(time.Millisecond)
		one.take()
		other.take()
		time.Sleep(2 * time.Second)
		idle := one.take()
		if n := len(idle); n < 4 || n > 6 {
			t.Errorf("%d beats in two idle seconds", n)
		}
		for range 1000 {
			p.beatSooner()
			time.Sleep(time.Millisecond)
		}
		busy := one.take()
		if n := len(busy); n < 18 || n > 21 {
			t.Errorf("%d beats in a second with changes", n)
		}
		all := append(idle, busy...)
		for i, at := range other.take() {
			if !all[i].Equal(at) {
				t.Fatalf("beat %d: links were woken at %v and %v", i, all[i], at)
			}
			if i > 0 && at.Sub(all[i-1]) < least {
				t.Errorf("beat %d came %v after the one before", i, at.Sub(all[i-1]))
			}
		}
	})
}

// A pulse without links does not beat.
func TestPulseRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int32
		p := newPulse(func() (time.Duration, time.Duration) {
			asked.Add(1)
			return time.Millisecond, time.Millisecond
		})
		leave := p.join(func() {}, 0)
		time.Sleep(10 * time.Millisecond)
		leave()
		time.Sleep(10 * time.Millisecond)
		asked.Store(0)
		p.beatSooner()
		time.Sleep(time.Second)
		if n := asked.Load(); n != 0 {
			t.Errorf("%d beats without links", n)
		}
	})
}
