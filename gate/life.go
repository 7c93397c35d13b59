package gate

import (
	"time"

	"rackspur/job"
)

// Life is one life of the target, from its start to its end. The id names the target: it
// may start again under the one that it had, and everything that it counts begins anew
// then. Lives are compared by both parts, and by nothing else that the target says.
type Life struct {
	ID string `json:"life"`
	// Born is when the life began, in milliseconds of Unix time by the target's word; 0
	// where targets do not tell it. Such a target takes a new id with each start.
	Born int64 `json:"born,omitempty"`
}

// named says whether the id is known.
func (l Life) named() bool { return l.ID != "" }

// ambiguous says whether a word of a life is about this target, but does not tell which
// of its lives.
func (l Life) ambiguous(word Life) bool {
	return l.ID == word.ID && l.Born != 0 && word.Born == 0
}

// lifeState is all that the gate knows of one life of its target. The next life begins
// with an empty one.
type lifeState struct {
	life Life
	// begun is when the gate took the life in.
	begun Time
	// nameAnswered is set once a hold that bore the life's id was answered by it.
	nameAnswered bool
	// formerID is the id of the life before, whose runs may be at work here; while the id
	// is not known, the one that calls under way bear.
	formerID string

	// What its heartbeats say; known is set with the first.
	known    bool
	service  string
	capacity job.Resources
	labels   []string
	draining bool
	sequence int64

	// fence is the fencing token of all calls; 0 before the first answer.
	fence uint64
	// clockMS was the target's clock at clockAt; 0 before the first answer.
	clockMS int64
	clockAt Time
	// grantedMS is the longest lease asked for, on the target's clock: it may have been
	// given.
	grantedMS int64
	// formerMS is the longest lease asked for of the life before, on its clock, if calls to
	// that bear the same id: carried out here they were taken for times on this clock.
	// leasedMS is what they may have given at most, on this clock.
	formerMS, leasedMS int64
	// listedMS is the target's clock of the newest lists that were taken in.
	listedMS int64
	// confirmed is set while nothing puts in doubt that this life is there: no other has
	// sent a heartbeat under its id, and no hold is overdue or has failed. confirmedBy is
	// when the newest hold was sent that brought its lists, or when the doubt began.
	confirmed   bool
	confirmedBy Time
	// surveyed is set once the target has listed what earlier processes of this gate,
	// or orders to a former life, have left there.
	surveyed bool
	// fullUntil is until when the target is taken to have no room.
	fullUntil Time

	// seen is the number of the newest end that may be noted, told the newest that the target
	// was told of; listed are the ends after seen.
	seen   int64
	told   int64
	listed map[int64]*run
	// lapsing is set while the lease is left to lapse.
	lapsing bool
	health  health
}

func newLifeState(life Life, now Time) lifeState {
	return lifeState{life: life, begun: now, clockAt: now, listed: map[int64]*run{}}
}

// takeAnswerer takes in which life has answered a hold; it returns false if the answer
// can't be taken as one of the life that is known. A life that answers a call which was
// sent after another life was known is newer than that. The answer to an earlier call may
// have been overtaken, so that it tells nothing.
func (g *Gate) takeAnswerer(now Time, h Hold, a Answer) bool {
	answered := Life{ID: g.life.ID, Born: a.Life.Born}
	switch {
	case answered == g.life:
		g.nameAnswered = g.life.named()
		g.dropClaims(h.sent)
		return true
	case g.life.ambiguous(answered), h.sent < g.begun:
		g.passOverLists(now, a)
		return false
	case g.life.Born == 0 && g.listedMS == 0:
		g.life = answered
		g.nameAnswered = g.life.named()
		g.resetClock(now, a.ClockMS)
		return true
	}
	g.succeed(now, answered, a.ClockMS)
	return false
}

// succeed takes in that the target has started again under the id that it had: a newer
// life has answered. Its lists count once a call with a token above those of all calls to
// the former life was answered: then none of these is carried out any more.
func (g *Gate) succeed(now Time, life Life, clockMS int64) {
	g.noteOver(g.life)
	delete(g.pastLives, life)
	g.newLife(now, life, true)
	g.nameAnswered = life.named()
	g.resetClock(now, clockMS)
	g.raiseFence()
	g.takeClaim()
	g.confirmRecalled()
	g.tellAll()
}

// endLife takes in that the life that is known is over, for good: a call that named it
// was turned away, or it has said so itself. A heartbeat of another life does not prove
// that: it may have been held up, and the gate would never use the newer life again.
// Crosses says whether the target may come again under its id; see newLife.
func (g *Gate) endLife(now Time, crosses bool) {
	over := g.life
	g.newLife(now, Life{}, crosses)
	g.noteOver(over)
	g.tellAll()
}

// mostPastLives bounds the lives that are known to be over. A word of one that was
// forgotten is taken for a new life's until the target's next answer.
const mostPastLives = 1000

// noteOver keeps that a life is over: its words are not believed any more.
func (g *Gate) noteOver(life Life) {
	if len(g.pastLives) >= mostPastLives {
		clear(g.pastLives)
	}
	g.pastLives[life] = true
}

// turnedAway takes in that a call which bore the life's id was turned away; id is who did
// it, "" if it was not told. A life that has answered under its name is over. One that has
// not had a wrong one, from the store or a heartbeat that was held up: two runs of a task
// were at work for 48 ms when runs that had been listed without a name were lost by that.
func (g *Gate) turnedAway(now Time, id string) Actions {
	if g.nameAnswered {
		g.endLife(now, false)
	} else {
		g.unname()
	}
	a := g.takeClaimOf(now, id)
	a.HoldNow = true
	return a
}

// unname forgets what the life was called, and what was told under that name.
func (g *Gate) unname() {
	g.noteOver(g.life)
	g.life = Life{Born: g.life.Born}
	g.recalled = Description{}
	g.known = false
	g.draining = false
	g.sequence = 0
	g.rejectQueue("target not known")
	g.tellAll()
}

// newLife takes in that the life that was known is over and another one begins; an empty
// one is not known yet. Crosses says whether the new one has, or may have, the id that calls
// to the former one bear: it may then have carried out, or still carry out, starts that were
// meant for that. Runs that were at work wait for its first lists. Else they are over.
func (g *Gate) newLife(now Time, life Life, crosses bool) {
	if crosses && life != (Life{}) {
		g.recordRestart(now, life)
	}
	id := g.callsID()
	for _, r := range g.runs {
		switch {
		case r.phase == phaseQueued:
		case r.phase == phaseEnded:
			g.settleEnd(r)
		case crosses:
			r.crossRestart(now)
		default:
			g.lose(now, r, EndLost, reasonLifeOver)
		}
	}
	former := max(g.grantedMS, g.formerMS)
	g.lifeState = newLifeState(life, now)
	if crosses {
		g.formerID = id
		g.formerMS = former
	}
	g.rejectQueue("target restarted")
}

// callsID returns the id that calls under way bear.
func (g *Gate) callsID() string {
	if g.life.named() {
		return g.life.ID
	}
	return g.formerID
}

// reasonLifeOver is why runs of a life that is over are lost.
const reasonLifeOver = "the target's life is over"

// settleEnd makes an end that its life has listed independent of that: nothing can be
// noted there any more. Its owner is told until it knows.
func (g *Gate) settleEnd(r *run) {
	r.number = 0
	if r.discarded {
		r.discarded = false
		r.noted = true
	}
	g.removeIfNoted(r)
}

// crossRestart makes a run that was at work in a former life wait for the first lists of
// the one that has the same id now.
func (r *run) crossRestart(now Time) {
	r.former = true
	r.phase = phaseUnsure
	r.unsureSince = now
	r.progress = progress{}
	r.stopSent, r.stopConfirmed = 0, 0
}

// knowsRuns says whether the gate knows all that runs at its target: it was
// listed, or the lease that an earlier process or an order to a former life gave is
// surely over.
func (g *Gate) knowsRuns(now Time) bool {
	return g.surveyed || now-g.begun > g.longestLease()
}

// longestLease is by when a lease that was given before is over, on the slowest clock.
func (g *Gate) longestLease() time.Duration {
	return g.options.Lease*103/100 + lapseMargin
}
