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
	// clockMS was the executor's clock at clockAt; 0 before the first answer.
	clockMS int64
	clockAt Time
	// grantedMS is the longest lease asked for, on the executor's clock: it may have been
	// given.
	grantedMS int64
	// listedMS is the executor's clock of the newest lists that were taken in.
	listedMS int64
	// confirmed is set while the hold that was answered last brought lists of this life.
	confirmed bool
	// surveyed is set once the executor has listed what earlier processes of this gate,
	// or orders to a former life, have left there.
	surveyed bool
	// fullUntil is until when the executor is taken to have no room.
	fullUntil Time

	// seen is the number of the newest end that may be noted; listed are the ends after it.
	seen   int64
	listed map[int64]*run
	// lapsing is set while the lease is left to lapse.
	lapsing bool
	health  health
}

func newLifeState(life Life, now Time) lifeState {
	return lifeState{life: life, begun: now, clockAt: now, listed: map[int64]*run{}}
}

// claim is a heartbeat of a life that is not the one that is known.
type claim struct {
	Heartbeat
	arrived Time
}

// mostClaims bounds the lives that wait for the target's next answer. More than two at one
// time are held-back heartbeats.
const mostClaims = 8

// OnHeartbeat takes in what the executor says of itself. It returns false for a word that
// is not believed: of a life that is over, or of one that can't be told.
func (g *Gate) OnHeartbeat(now Time, b Heartbeat) (Actions, bool) {
	switch {
	case g.pastLives[b.Life]:
		return Actions{}, false
	case g.life.ambiguous(b.Life):
		g.passOverHeartbeat(now, b)
		return Actions{}, false
	case b.Life == g.life:
		if g.otherService(b) {
			g.passOverHeartbeat(now, b)
			return Actions{}, false
		}
		if b.Sequence < g.sequence {
			g.takeLateHeartbeat(now, b)
			return Actions{}, true
		}
	case g.namedBy(b.Life):
		g.life = b.Life
	case g.answersAs(now) || g.mayBeAtWork(now):
		return g.addClaim(now, b), true
	default:
		crosses := b.Life.ID == g.callsID()
		g.newLife(now, b.Life, crosses)
		if crosses {
			g.describe(b)
			return g.callAfresh(now, b.ClockMS), true
		}
	}
	g.describe(b)
	return g.startFromQueue(now, Actions{HoldNow: g.fence == 0}), true
}

// callAfresh makes the next call to a target that has started again bear a new fencing
// token: from then on nothing is carried out there that was meant for the former life. It
// needs no first look, which tells the clock.
func (g *Gate) callAfresh(now Time, clockMS int64) Actions {
	if clockMS != 0 {
		g.resetClock(now, clockMS)
		g.raiseFence()
	}
	return Actions{HoldAfresh: true}
}

// describe takes in a heartbeat of the life that is known.
func (g *Gate) describe(b Heartbeat) {
	g.known = true
	g.sequence = b.Sequence
	g.service = b.Service
	g.capacity = b.Capacity
	g.labels = b.Labels
	g.draining = g.draining || b.Draining
	g.tellAll()
}

// otherService says whether a heartbeat names another service than the one that the target
// is known to belong to: a life does not change it.
func (g *Gate) otherService(b Heartbeat) bool {
	return g.known && g.service == g.options.Service && b.Service != g.service
}

// takeLateHeartbeat takes in a heartbeat that a newer one has overtaken. A target that
// leaves does not change its mind; all else the newer one has told.
func (g *Gate) takeLateHeartbeat(now Time, b Heartbeat) {
	g.passOverHeartbeat(now, b)
	if b.Draining && !g.draining {
		g.draining = true
		g.tellAll()
	}
}

// namedBy says whether a heartbeat names the life that the gate found when it started,
// and whose id it does not know yet.
func (g *Gate) namedBy(life Life) bool {
	return !g.life.named() && g.fence != 0 && (g.life.Born == 0 || g.life.Born == life.Born)
}

// answersAs says whether the target has just answered calls that name the life that
// is known. A heartbeat of another life may then be one that was held up: an earlier
// process of this gate knew that life, and this one does not. The answer to the next
// call decides.
func (g *Gate) answersAs(now Time) bool {
	return (g.known || g.listedMS != 0) && g.life != Life{} && !g.targetSilent(now)
}

// mayBeAtWork says whether runs of the life that is known may be at work, as far as
// its lease tells.
func (g *Gate) mayBeAtWork(now Time) bool {
	if g.leaseOver(now) {
		return false
	}
	for _, r := range g.runs {
		if r.atWork() {
			return true
		}
	}
	return false
}

// addClaim keeps a heartbeat of a life that is not known until the target's next answer,
// and asks for that. If the id is the same, the call bears a new token; see callAfresh.
func (g *Gate) addClaim(now Time, b Heartbeat) Actions {
	g.keepClaim(now, b)
	if g.life.named() && b.Life.ID != g.life.ID {
		return Actions{HoldNow: true}
	}
	if g.fence != 0 {
		g.raiseFence()
	}
	return Actions{HoldAfresh: true}
}

// keepClaim keeps the newest heartbeat of each life that is not known.
func (g *Gate) keepClaim(now Time, b Heartbeat) {
	for i, c := range g.claims {
		if c.Life != b.Life {
			continue
		}
		if b.Sequence < c.Sequence {
			g.claims[i].Draining = c.Draining || b.Draining
			return
		}
		b.Draining = c.Draining || b.Draining
		g.claims = append(g.claims[:i], g.claims[i+1:]...)
		break
	}
	if len(g.claims) == mostClaims {
		g.claims = g.claims[1:]
	}
	g.claims = append(g.claims, claim{Heartbeat: b, arrived: now})
}

// claimedDraining says whether a heartbeat that waits for the target's next answer says
// that it leaves, under the id that calls go to. It was acknowledged.
func (g *Gate) claimedDraining() bool {
	for _, c := range g.claims {
		if c.Draining && c.Life.ID == g.life.ID {
			return true
		}
	}
	return false
}

// dropClaims forgets the heartbeats that came before a call which the life that is known
// has answered since: they were held up.
func (g *Gate) dropClaims(sent Time) {
	kept := g.claims[:0]
	for _, c := range g.claims {
		if c.arrived > sent {
			kept = append(kept, c)
		}
	}
	g.claims = kept
}

// takeClaim takes in the newest heartbeat of the life that is known now, if there is one.
func (g *Gate) takeClaim() {
	for i := len(g.claims) - 1; i >= 0; i-- {
		c := g.claims[i]
		if c.Life == g.life || g.namedBy(c.Life) && g.life.Born != 0 {
			g.life = c.Life
			g.describe(c.Heartbeat)
			break
		}
	}
	g.claims = nil
}

// takeClaimOf takes in the newest heartbeat of another target, once calls to the one
// that was known are turned away; id is who turned them away, "" if it was not told.
func (g *Gate) takeClaimOf(now Time, id string) Actions {
	claims := g.claims
	g.claims = nil
	for i := len(claims) - 1; i >= 0; i-- {
		if c := claims[i]; !g.pastLives[c.Life] && (id == "" || id == c.Life.ID) {
			a, _ := g.OnHeartbeat(now, c.Heartbeat)
			return a
		}
	}
	return Actions{}
}

// takeAnswerer takes in which life has answered a hold; it returns false if the answer
// can't be taken as one of the life that is known. A life that answers a call which was
// sent after another life was known is newer than that. The answer to an earlier call may
// have been overtaken, so that it tells nothing.
func (g *Gate) takeAnswerer(now Time, h Hold, a Answer) bool {
	answered := Life{ID: g.life.ID, Born: a.Life.Born}
	switch {
	case answered == g.life:
		g.dropClaims(h.sent)
		return true
	case g.life.ambiguous(answered), h.sent < g.begun:
		g.passOverLists(now, a)
		return false
	case g.life.Born == 0 && g.listedMS == 0:
		g.life = answered
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
	g.pastLives[g.life] = true
	delete(g.pastLives, life)
	g.newLife(now, life, true)
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
	g.pastLives[over] = true
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
	g.lifeState = newLifeState(life, now)
	if crosses {
		g.formerID = id
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

// OnDeregister takes in that a life of the executor has ended by its own word. If it does
// not tell which, the next call shows whether the target is there.
func (g *Gate) OnDeregister(now Time, life Life) Actions {
	if life != g.life {
		return Actions{HoldNow: g.life.ambiguous(life)}
	}
	g.endLife(now, life.Born != 0)
	return g.takeClaimOf(now, "")
}

// executorClock returns a lower bound of the executor's clock.
func (g *Gate) executorClock(now Time) int64 {
	passed := float64(now-g.clockAt) * (1 - clockSlack)
	return g.clockMS + time.Duration(passed).Milliseconds()
}

// takeClock takes in the clock that came with a word of the life that is known.
func (g *Gate) takeClock(now Time, clockMS int64) {
	if clockMS == 0 {
		return
	}
	if g.clockMS == 0 || clockMS >= g.executorClock(now) {
		g.clockMS = clockMS
		g.clockAt = now
	}
}

// resetClock takes in the clock of a life that has answered for the first time. Orders of
// an earlier process, or to a former life, may have given it the longest lease.
func (g *Gate) resetClock(now Time, clockMS int64) {
	g.clockMS = clockMS
	g.clockAt = now
	g.grantedMS = clockMS + g.options.MaxHold.Milliseconds()
}

// firstFenceStep is the first step by which a token is raised beyond one that the target
// has seen of an earlier process, whose box's time of day was ahead; in milliseconds. Times
// of day jump by seconds, and the step doubles.
const firstFenceStep = 1000

// raiseFence takes a fencing token above all that this gate has used. By the time of day
// it is above those of its earlier processes too, also those that a former life has seen
// and this one has not: late orders of theirs would be carried out otherwise. The clock of
// the target, which begins anew, does not give that.
func (g *Gate) raiseFence() {
	g.topFence = max(g.topFence+1, uint64(max(0, g.options.Unix())))
	g.fence = g.topFence
}

// fenced takes in that the target has seen a token above the one of a call.
func (g *Gate) fenced(fence uint64) {
	if fence != 0 && fence == g.fence {
		g.topFence += g.fenceStep
		g.fenceStep *= 2
	}
	if fence == g.fence {
		g.raiseFence()
	}
}

// knowsRuns says whether the gate knows all that runs on its executor: it was
// listed, or the lease that an earlier process or an order to a former life gave is
// surely over.
func (g *Gate) knowsRuns(now Time) bool {
	return g.surveyed || now-g.begun > g.longestLease()
}

// longestLease is by when a lease that was given before is over, on the slowest clock.
func (g *Gate) longestLease() time.Duration {
	return g.options.MaxHold*103/100 + lapseMargin
}
