package node

import (
	"fmt"
	"time"

	"rackspur/gate"
	"rackspur/internal/standin"
)

// This file draws the faults of TestTwiceRandom.

// drawFault draws a fault.
func (p *twicePlay) drawFault() plannedFault {
	draws := []func() plannedFault{
		p.drawEntryKilled, p.drawEntryKilled, p.drawEntryLeaves, p.drawEntryFrozen, p.drawEntryFrozen,
		p.drawEntryCutFromGates, p.drawEntryCutFromCallers, p.drawEntryCut, p.drawCallersReset, p.drawCallersReset,
		p.drawAgentKilled, p.drawAgentKilled, p.drawAgentFrozen, p.drawTicksDelayed, p.drawAgentThrottled,
		p.drawLinkSilent, p.drawLinkSilent, p.drawFramesHeld, p.drawFramesHeld,
		p.drawSlowAnswers, p.drawStopsLate, p.drawStopsLate, p.drawStartsLate, p.drawAnswersLost, p.drawMute, p.drawHoldsLate,
		p.drawTargetCrash, p.drawTargetCrash, p.drawTargetLeaves, p.drawTargetSlow, p.drawTargetSlow,
	}
	if p.untold {
		draws = append(draws, p.drawCallersSilent, p.drawCallersSilent)
	}
	return draws[p.random.IntN(len(draws))]()
}

func fault(do func(), format string, args ...any) plannedFault {
	return plannedFault{what: fmt.Sprintf(format, args...), do: do}
}

func (p *twicePlay) drawEntry() int       { return p.random.IntN(len(p.entries)) }
func (p *twicePlay) drawAgent() *agentBox { return p.agents[p.random.IntN(len(p.agents))] }
func (p *twicePlay) drawBool() bool       { return p.random.IntN(2) == 0 }
func ms(n int) time.Duration              { return time.Duration(n) * time.Millisecond }
func after(d time.Duration, do func())    { time.AfterFunc(d, do) }

// restartEntry starts a new process of an entry box that was killed.
func (p *twicePlay) restartEntry(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[i].ctx.Err() != nil && p.ctx.Err() == nil {
		p.entries[i] = p.entries[i].restarted()
	}
}

func (p *twicePlay) drawEntryKilled() plannedFault {
	i, down := p.drawEntry(), p.between(ms(20), ms(1500))
	return fault(func() {
		p.entry(i).kill()
		after(down, func() { p.restartEntry(i) })
	}, "entry-%d is killed for %v", i, down)
}

func (p *twicePlay) drawEntryLeaves() plannedFault {
	i, down := p.drawEntry(), p.between(ms(20), ms(1500))
	return fault(func() {
		e := p.entry(i)
		e.owner.Stop()
		// Its callers get their answers before the process ends.
		after(2*callerLatency, e.kill)
		after(2*callerLatency+down, func() { p.restartEntry(i) })
	}, "entry-%d leaves, and is back after %v", i, down)
}

func (p *twicePlay) drawEntryFrozen() plannedFault {
	i, length := p.drawEntry(), p.between(ms(100), ms(3000))
	late := delays{timers: p.between(0, ms(3)), frames: p.between(0, ms(3))}
	return fault(func() {
		e := p.entry(i)
		late.notice = e.delays().notice
		e.setDelays(late)
		e.awake.shut()
		after(length, e.awake.open)
	}, "entry-%d is frozen for %v, then timers are %v late, frames %v", i, length, late.timers, late.frames)
}

// drawDirection draws at least one of two directions.
func (p *twicePlay) drawDirection() (there, back bool) {
	n := 1 + p.random.IntN(3)
	return n&1 != 0, n&2 != 0
}

func (p *twicePlay) drawEntryCutFromGates() plannedFault {
	i, length, all := p.drawEntry(), p.between(ms(50), ms(2500)), p.drawBool()
	some := p.random.IntN(len(p.agents))
	there, back := p.drawDirection()
	return fault(func() {
		for n, path := range p.entry(i).paths {
			if !all && n != some {
				continue
			}
			cutPath(path, there, back)
			after(length, path.heal)
		}
	}, "entry-%d is cut from gates for %v, all %v (else agent-%d), to the gate %v, from it %v", i, length, all, some, there, back)
}

func cutPath(path *path, there, back bool) {
	if there {
		path.toGate.shut()
	}
	if back {
		path.toOwner.shut()
	}
}

func (p *twicePlay) drawEntryCutFromCallers() plannedFault {
	i, length := p.drawEntry(), p.between(ms(100), ms(3000))
	there, back := p.drawDirection()
	return fault(func() {
		e := p.entry(i)
		if there {
			e.callers.shut()
			after(length, e.callers.open)
		}
		if back {
			e.toCallers.shut()
			after(length, e.toCallers.open)
		}
	}, "entry-%d is cut from callers for %v, from them %v, to them %v", i, length, there, back)
}

func (p *twicePlay) drawEntryCut() plannedFault {
	i, length := p.drawEntry(), p.between(ms(100), ms(3000))
	return fault(func() {
		e := p.entry(i)
		e.cut()
		after(length, e.heal)
	}, "entry-%d is cut off for %v", i, length)
}

func (p *twicePlay) drawCallersReset() plannedFault {
	i := p.drawEntry()
	return fault(func() { p.resetCallers(i, false) }, "connections of the callers of entry-%d are reset", i)
}

func (p *twicePlay) drawCallersSilent() plannedFault {
	i := p.drawEntry()
	return fault(func() { p.resetCallers(i, true) }, "connections of the callers of entry-%d break, and it is not told", i)
}

func (p *twicePlay) drawAgentKilled() plannedFault {
	a, down := p.drawAgent(), p.between(ms(50), ms(1000))
	return fault(func() {
		if a.running().ctx.Err() != nil {
			return // It is down already.
		}
		a.kill()
		after(down, a.start)
	}, "%s is killed for %v", a.name, down)
}

func (p *twicePlay) drawAgentFrozen() plannedFault {
	a, length := p.drawAgent(), p.between(ms(100), ms(3000))
	return fault(func() {
		a.awake.shut()
		a.ticks.shut()
		after(length, func() {
			a.awake.open()
			a.ticks.open()
		})
	}, "%s is frozen for %v", a.name, length)
}

func (p *twicePlay) drawTicksDelayed() plannedFault {
	a, length := p.drawAgent(), p.between(ms(100), ms(1500))
	return fault(func() {
		a.ticks.shut()
		after(length, a.ticks.open)
	}, "ticks and holds of %s stand still for %v", a.name, length)
}

func (p *twicePlay) drawAgentThrottled() plannedFault {
	a, times := p.drawAgent(), 2+p.random.IntN(6)
	asleep, awake, calls := p.between(ms(100), ms(450)), p.between(ms(20), ms(150)), p.drawBool()
	return fault(func() {
		for n := range times {
			begin := time.Duration(n) * (asleep + awake)
			after(begin, func() {
				a.ticks.shut()
				if calls {
					a.awake.shut()
				}
			})
			after(begin+asleep, func() {
				a.ticks.open()
				a.awake.open()
			})
		}
	}, "%s stands still %d times for %v, with %v between, also its calls and frames: %v", a.name, times, asleep, awake, calls)
}

func (p *twicePlay) drawLinkSilent() plannedFault {
	i, n, all := p.drawEntry(), p.random.IntN(len(p.agents)), p.oneIn(3)
	there, back := p.drawDirection()
	return fault(func() {
		for k, path := range p.entry(i).paths {
			if all || k == n {
				path.silence(there, back)
			}
		}
	}, "open links of entry-%d go silent, all %v (else agent-%d), to the gate %v, from it %v", i, all, n, there, back)
}

func (p *twicePlay) drawFramesHeld() plannedFault {
	i, n, length := p.drawEntry(), p.random.IntN(len(p.agents)), p.between(ms(5), ms(500))
	there, back := p.drawDirection()
	return fault(func() {
		path := p.entry(i).paths[n]
		cutPath(path, there, back)
		after(length, path.heal)
	}, "frames of entry-%d and agent-%d are held for %v, to the gate %v, from it %v", i, n, length, there, back)
}

// callFault returns a change of all calls to a target that is reverted after a time.
func callFault(a *agentBox, length time.Duration, begin, end func(f *callFaults)) func() {
	return func() {
		a.target.changeCalls(begin)
		after(length, func() { a.target.changeCalls(end) })
	}
}

func (p *twicePlay) drawSlowAnswers() plannedFault {
	a, slowest, length := p.drawAgent(), p.between(ms(1), ms(200)), p.between(ms(300), ms(3000))
	return fault(callFault(a, length, func(f *callFaults) { f.slowest = slowest }, func(f *callFaults) { f.slowest = 0 }),
		"calls at %s take up to %v for %v", a.name, slowest, length)
}

func (p *twicePlay) drawAnswersLost() plannedFault {
	a, share, length := p.drawAgent(), 10+p.random.IntN(91), p.between(ms(100), ms(1500))
	return fault(callFault(a, length, func(f *callFaults) { f.lost = share }, func(f *callFaults) { f.lost = 0 }),
		"%d of 100 answers at %s are lost for %v", share, a.name, length)
}

func (p *twicePlay) drawMute() plannedFault {
	a, length := p.drawAgent(), p.between(ms(100), ms(1500))
	return fault(callFault(a, length, func(f *callFaults) { f.mute = true }, func(f *callFaults) { f.mute = false }),
		"calls at %s are lost for %v", a.name, length)
}

func (p *twicePlay) drawHoldsLate() plannedFault {
	a, late, length := p.drawAgent(), p.between(ms(50), ms(1500)), p.between(ms(100), ms(1500))
	return fault(callFault(a, length, func(f *callFaults) { f.holdsLate = late }, func(f *callFaults) { f.holdsLate = 0 }),
		"holds at %s are carried out %v late for %v", a.name, late, length)
}

func (p *twicePlay) drawStopsLate() plannedFault {
	a, late, length := p.drawAgent(), p.between(ms(1), ms(3000)), p.between(ms(300), ms(3000))
	if p.drawBool() {
		late = 0
	}
	return fault(func() {
		a.target.setStops(stopFault{on: true, after: late})
		after(length, func() { a.target.setStops(stopFault{}) })
	}, "stops at %s are carried out %v late (0: never) for %v", a.name, late, length)
}

func (p *twicePlay) drawStartsLate() plannedFault {
	a, late, length := p.drawAgent(), p.between(ms(5), ms(600)), p.between(ms(100), ms(2000))
	return fault(func() {
		a.target.setStartsLate(late)
		after(length, func() { a.target.setStartsLate(0) })
	}, "starts at %s are carried out %v late for %v", a.name, late, length)
}

func (p *twicePlay) drawTargetCrash() plannedFault {
	a, down, dark, sameID := p.drawAgent(), p.between(0, ms(1000)), p.drawBool(), p.drawBool()
	if p.oneIn(4) {
		down = p.between(0, ms(3))
	}
	late, kind := p.between(0, ms(1500)), p.random.IntN(6)
	clock := []int64{1, 1000, 500_000}[p.random.IntN(3)]
	return fault(func() {
		e := a.target.newest()
		if e.Down() {
			return
		}
		last, ok := e.NextHeartbeat()
		a.target.crash(dark)
		after(down, func() { p.restartTarget(a, sameID, clock) })
		if ok {
			p.sendLate(a, last, kind, down+late)
		}
	}, "target of %s crashes for %v, dark %v, same id %v, clock %d, late message %d after %v", a.name, down, dark, sameID, clock, kind, down+late)
}

// sendLate delivers a message that a crashed target has sent: a heartbeat, a draining one, a
// deregistration, or, for other kinds, none.
func (p *twicePlay) sendLate(a *agentBox, last standin.Heartbeat, kind int, d time.Duration) {
	last.Draining = kind == 1
	after(d, func() {
		switch kind {
		case 0, 1:
			a.running().driver.Heartbeat(heartbeatOf(last))
		case 2:
			a.running().driver.Deregister(gate.Incarnation{ID: last.Life, Born: last.Born})
		}
	})
}

// restartTarget starts the next incarnation of a target that is down.
func (p *twicePlay) restartTarget(a *agentBox, sameID bool, clock int64) {
	old := a.target.newest()
	if !old.Down() {
		return
	}
	next := old.Restarted()
	if !sameID {
		next.Life = fmt.Sprintf("%s+", old.Life)
	}
	next.StartClockMS = clock
	next.SetSpeed(1)
	a.target.begin(next)
	if beat, ok := next.NextHeartbeat(); ok && a.awake.isOpen() {
		a.running().driver.Heartbeat(heartbeatOf(beat))
	}
}

// drawTargetLeaves draws a target that drains, deregisters and ends while runs may be at work, and
// is followed by another one.
func (p *twicePlay) drawTargetLeaves() plannedFault {
	a, left, down := p.drawAgent(), p.between(drainTime, 2*drainTime), p.between(ms(10), ms(1000))
	told, announced := p.random.IntN(4) != 0, p.drawBool()
	return fault(func() {
		e := a.target.newest()
		if e.Down() || e.Draining() {
			return
		}
		if announced {
			left = e.Leave(left)
		} else {
			e.Drain()
		}
		after(left, func() {
			if a.target.newest() != e || e.Down() {
				return
			}
			a.target.crash(false)
			if told && a.awake.isOpen() {
				a.running().driver.Deregister(e.Incarnation())
			}
			after(down, func() { p.restartTarget(a, false, 1000) })
		})
	}, "target of %s drains for %v, says when it ends %v, deregisters %v, next after %v", a.name, left, announced, told, down)
}

func (p *twicePlay) drawTargetSlow() plannedFault {
	a, length := p.drawAgent(), p.between(ms(300), ms(3000))
	speed := []float64{0.5, 0.15, 0.15, 0.01}[p.random.IntN(4)]
	return fault(func() {
		e := a.target.newest()
		e.SetSpeed(speed)
		after(length, func() { e.SetSpeed(1) })
	}, "target of %s runs at speed %v for %v", a.name, speed, length)
}
