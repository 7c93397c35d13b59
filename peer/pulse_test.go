package peer

import (
	"testing"
	"testing/synctest"
	"time"
)

// Links are woken at the same moments, not more often than is allowed and not less
// often than is needed. Time is virtual.
func TestPulse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const least, most = 50 * time.Millisecond, 400 * time.Millisecond
		p := newPulse(func() (time.Duration, time.Duration) { return least, most })
		var beats [2][]time.Time
		for i := range beats {
			defer p.join(func() { beats[i] = append(beats[i], time.Now()) })()
		}
		begun := time.Now()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if n := len(beats[0]); n < 5 || n > 7 {
			t.Errorf("%d beats in two idle seconds", n)
		}
		busy := len(beats[0])
		for range 1000 {
			p.hasten()
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		if n := len(beats[0]) - busy; n < 18 || n > 21 {
			t.Errorf("%d beats in a second with news", n)
		}
		for i, at := range beats[0] {
			if !beats[1][i].Equal(at) {
				t.Fatalf("beat %d: links were woken at %v and %v", i, at.Sub(begun), beats[1][i].Sub(begun))
			}
			if i > 1 && at.Sub(beats[0][i-1]) < least {
				t.Errorf("beat %d came %v after the one before", i, at.Sub(beats[0][i-1]))
			}
		}
	})
}

// A pulse that all links have left beats no more.
func TestPulseRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		p := newPulse(func() (time.Duration, time.Duration) {
			asked++
			return time.Millisecond, time.Millisecond
		})
		leave := p.join(func() {})
		time.Sleep(10 * time.Millisecond)
		leave()
		time.Sleep(10 * time.Millisecond)
		asked = 0
		p.hasten()
		time.Sleep(time.Second)
		if asked != 0 {
			t.Errorf("%d beats without links", asked)
		}
	})
}
