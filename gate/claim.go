package gate

// claim is a heartbeat of a life that is not the one that is known.
type claim struct {
	Heartbeat
	arrived Time
}

// mostClaims bounds the lives that wait for the target's next answer. More than two at one
// time are held-back heartbeats.
const mostClaims = 8

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
	// The answer may be another life's, which would forget its own ends by what is noted.
	g.Doubt(now)
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
