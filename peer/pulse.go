package peer

import (
	"sync"
	"time"
)

// pulse wakes all links of a process at the same moments. Each wake-up of a process
// costs far more than a frame: with twelve links whose timers went off one by one an
// idle agent woke 600 times a second, with those of all links at one time 290
// (BenchmarkWakeUps, twelve entry boxes and eight agents).
type pulse struct {
	// timing returns the shortest time between two beats and the longest.
	timing func() (least, most time.Duration)

	mu    sync.Mutex
	links map[uint64]pulseLink
	count uint64
	timer *time.Timer
	// last is when the newest beat was, due when the next will be, least how far
	// they are apart at least.
	last, due time.Time
	least     time.Duration
}

// pulseLink is a link that has joined a pulse.
type pulseLink struct {
	wake func()
	// pause is how far apart beats must be at least for the link.
	pause time.Duration
}

// newPulse returns a pulse that beats while links have joined it.
func newPulse(timing func() (least, most time.Duration)) *pulse {
	return &pulse{timing: timing, links: map[uint64]pulseLink{}}
}

// join has a link woken with each beat, until it leaves. Beats are as far apart as
// one of the links puts up with at least.
func (p *pulse) join(wake func(), pause time.Duration) (leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	number := p.count
	p.links[number] = pulseLink{wake: wake, pause: pause}
	p.arm(time.Now())
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.links, number)
	}
}

// hasten brings the next beat forward: there is something to tell.
func (p *pulse) hasten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.links) == 0 {
		return
	}
	at := p.last.Add(p.least)
	if now := time.Now(); at.Before(now) {
		at = now
	}
	p.arm(at)
}

// arm has the next beat at a time, or earlier.
func (p *pulse) arm(at time.Time) {
	if !p.due.IsZero() && !at.Before(p.due) {
		return
	}
	p.due = at
	if p.timer == nil {
		p.timer = time.AfterFunc(time.Until(at), p.beat)
		return
	}
	p.timer.Reset(time.Until(at))
}

// beat wakes all links.
func (p *pulse) beat() {
	least, most := p.timing()
	p.mu.Lock()
	p.last = time.Now()
	p.due = time.Time{}
	shortest := most
	wakes := make([]func(), 0, len(p.links))
	for _, l := range p.links {
		shortest = min(shortest, l.pause)
		wakes = append(wakes, l.wake)
	}
	p.least = max(least, shortest)
	if len(wakes) > 0 {
		p.arm(p.last.Add(most))
	}
	p.mu.Unlock()
	for _, wake := range wakes {
		wake()
	}
}
