package dispatch

import (
	"bytes"

	"rackspur/wire"
)

// peerState is where the session with a gate stands.
type peerState uint8

const (
	peerClosed peerState = iota
	peerConnecting
	peerOpen
)

// peer is a gate as a home sees it.
type peer struct {
	address, target, domain string
	incarnation             []byte
	load                    *wire.Load
	// free is the home's estimate of the free slots.
	free  int
	state peerState
	epoch uint64
	// downSince is when the session was lost with tasks outstanding.
	downSince Time
	retries   int
	// outstanding holds the tasks sent without a result.
	outstanding map[taskKey]*task
	// pending holds tasks that go out when the session opens; none has been sent.
	pending []*task
	// wanting counts the waiting tasks of jobs that list this peer;
	// wantSent is what the gate believes.
	wanting, wantSent int
	grantsSeen        uint64
	grants            int
	// seq is the last gate note handled, acked the last one acknowledged.
	seq, acked uint64
	version    uint64
	note       *wire.HomeNote
	marked     bool
	// used is when a job last had to do with the peer.
	used Time
}

// idle reports whether nothing is in progress with the peer.
func (p *peer) idle() bool {
	return len(p.outstanding) == 0 && len(p.pending) == 0 && p.wanting == 0 && p.state != peerConnecting
}

// observe takes a candidate's load, unless the session's own news is fresher.
func (p *peer) observe(c *wire.Candidate) {
	p.target = c.GetTarget()
	p.domain = c.GetDomain()
	if p.state != peerOpen && len(p.outstanding) == 0 {
		p.incarnation = c.GetIncarnation()
	}
	p.setLoad(c.GetLoad())
}

func (p *peer) setLoad(l *wire.Load) {
	if l == nil {
		return
	}
	p.load = l
	p.free = int(l.GetSlots()) - int(l.GetRunning()) - int(l.GetReserved())
	if l.GetLeaving() {
		p.free = 0
	}
}

func (p *peer) leaving() bool {
	return p.load.GetLeaving()
}

// view returns what a policy sees of the peer.
func (p *peer) view(self bool, tie float64) TargetView {
	return TargetView{
		Tie:       tie,
		Name:      p.target,
		Domain:    p.domain,
		Self:      self,
		Slots:     int(p.load.GetSlots()),
		Free:      max(0, p.free-len(p.pending)),
		Waiting:   int(p.load.GetWaiting()),
		Pace:      float64(p.load.GetPace()) / paceUnit,
		ServiceMS: float64(p.load.GetServiceUs()) / 1000,
	}
}

// same reports whether the gate is still the incarnation the home knew.
func (p *peer) same(incarnation []byte) bool {
	return bytes.Equal(p.incarnation, incarnation)
}

// dropPending takes back a task that waits for the session to open.
func (p *peer) dropPending(t *task) {
	for i, other := range p.pending {
		if other == t {
			p.pending = append(p.pending[:i], p.pending[i+1:]...)
			return
		}
	}
}
