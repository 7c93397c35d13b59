package peer

import (
	"sync"
	"time"
)

// pulse wakes all links of a process at the same moments, its beats, since waking the
// process costs far more than sending a frame.
type pulse struct {
	// timing returns the shortest time between two beats and the longest.
	timing func() (least, most time.Duration)

	mu    sync.Mutex
	links map[uint64]pulseLink
	count uint64
	timer *time.Timer
	// last is the time of the newest beat, due that of the next, and least the shortest
	// time between them.
	last, due time.Time
	least     time.Duration
}

// pulseLink is a link that has joined a pulse.
type pulseLink struct {
	wake func()
	// pause is the shortest time between two beats that the link asks for.
	pause time.Duration
}

// newPulse returns a pulse that beats as long as it has links.
func newPulse(timing func() (least, most time.Duration)) *pulse {
	return &pulse{timing: timing, links: map[uint64]pulseLink{}}
}

// join wakes a link with each beat until leave is called. The shortest pause of all
// links applies.
func (p *pulse) join(wake func(), pause time.Duration) (leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	number := p.count
	p.links[number] = pulseLink{wake: wake, pause: pause}
	p.schedule(time.Now())
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.links, number)
	}
}

// beatSooner brings the next beat forward to the earliest time allowed.
func (p *pulse) beatSooner() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.links) == 0 {
		return
	}
	at := p.last.Add(p.least)
	if now := time.Now(); at.Before(now) {
		at = now
	}
	p.schedule(at)
}

// schedule makes sure that the next beat comes no later than at.
func (p *pulse) schedule(at time.Time) {
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
		p.schedule(p.last.Add(most))
	}
	p.mu.Unlock()
	for _, wake := range wakes {
		wake()
	}
}
