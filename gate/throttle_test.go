package gate

import (
	"fmt"
	"testing"
	"time"

	"rackspur/job"
)

// throttledPlay is a gate whose process is stopped again and again: between two moments in which
// it runs, more time passes than between two checks of a process that is not suspended, so that it
// never looks for silent owners. Its target carries out no stops and has the slowest clock.
type throttledPlay struct {
	*bench
	// gap is the time between two such moments.
	gap time.Duration
	// began is when the play began, clockMS the target's clock then.
	began   Time
	clockMS int64
	// leaseEnd is when the target's lease ends.
	leaseEnd Time
	// holds are the holds in flight.
	holds []Hold
}

const (
	lostOwner = testOwner
	liveOwner = "entry-2~a"
	// slowestClock is the lowest rate of a target's clock.
	slowestClock = 0.98
)

func newThrottledPlay(t *testing.T, gap time.Duration) *throttledPlay {
	p := &throttledPlay{bench: newBench(t), gap: gap}
	p.gate.Connect(p.now, liveOwner, 1, func() {})
	p.began, p.clockMS = p.now, p.targetClock()
	return p
}

// slowClock returns the target's clock.
func (p *throttledPlay) slowClock() int64 {
	return p.clockMS + time.Duration(slowestClock*float64(p.now-p.began)).Milliseconds()
}

// grant extends the lease to a time of the target's clock.
func (p *throttledPlay) grant(untilMS int64) {
	left := time.Duration(float64(time.Duration(untilMS-p.slowClock())*time.Millisecond) / slowestClock)
	p.leaseEnd = max(p.leaseEnd, p.now+left)
}

// frame delivers a frame with the owner's contact, and starts at once what the gate starts.
func (p *throttledPlay) frame(owner string, starts ...job.RunName) {
	f := OwnerFrame{Echo: p.now, DurableEcho: p.now, Sequence: 1}
	for _, name := range starts {
		f.Starts = append(f.Starts, Order{Name: name, Need: job.Resources{CPU: 1600, Memory: 64}, BestEffort: true})
	}
	a, _ := p.gate.OnFrame(p.now, owner, 1, f)
	p.carryOut(a)
}

func (p *throttledPlay) carryOut(a Actions) {
	for _, c := range a.Starts {
		p.grant(c.UntilMS)
		p.carryOut(p.gate.OnStart(p.now, a.Incarnation, c, Answer{ClockMS: p.slowClock()}, nil))
	}
}

// wake lets the process run for a moment: it reads the answers to its holds, which list the runs,
// and frames of the live owner, ticks and sends holds.
func (p *throttledPlay) wake(runs ...job.RunName) {
	p.now += p.gap
	for _, h := range p.holds {
		p.carryOut(p.gate.OnHold(p.now, h, Answer{ClockMS: p.slowClock(), Incarnation: testIncarnation}, runningLists(runs...), nil))
	}
	p.frame(liveOwner)
	p.carryOut(p.gate.Tick(p.now))
	p.holds = p.holds[:0]
	for range 2 {
		h := p.gate.NextHold(p.now, holdWait)
		p.grant(h.Call.UntilMS)
		p.holds = append(p.holds, h)
	}
}

// Guards against runs that outlive their owner at a gate whose process is so slow that the check
// for silent owners never takes place: the lease ends them in time.
func TestThrottledGateLetsLeaseLapse(t *testing.T) {
	lost, live := testRun("aa", 0, 1), testRun("bb", 0, 1)
	for gap := maxTickGap + 10*time.Millisecond; gap < time.Second; gap += 30 * time.Millisecond {
		for after := time.Duration(0); after < gap; after += gap / 4 {
			t.Run(fmt.Sprintf("gaps of %v, contact %v before", gap, after), func(t *testing.T) {
				p := newThrottledPlay(t, gap)
				p.frame(lostOwner, lost)
				p.frame(liveOwner, live)
				for range 3 {
					p.wake(lost, live)
					p.frame(lostOwner)
				}
				contact := p.now
				p.now += after
				for p.now < contact+3*time.Second {
					p.wake(lost, live)
				}
				by := contact + p.gate.options.BestEffortContactTimeout + bestEffortGrace
				if p.leaseEnd > by {
					t.Errorf("lease ends %v after the last contact, want at most %v", p.leaseEnd-contact, by-contact)
				}
			})
		}
	}
}
