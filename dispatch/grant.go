package dispatch

// This file holds how a gate reserves slots for the homes that wait.

func (g *Gate) takeBack(s *session, n int) {
	n = min(n, s.reserved)
	s.reserved -= n
	g.reserved -= n
	g.Counts.GrantsReturned += int64(n)
}

func (g *Gate) setWant(s *session, want int) {
	was := s.want
	s.want = max(0, want)
	if g.leaving {
		if s.want > 0 {
			g.touch(s)
		}
		s.want = 0
	}
	switch {
	case was == 0 && s.want > 0:
		g.waiters = append(g.waiters, s)
	case was > 0 && s.want == 0:
		g.dropWaiter(s)
	}
}

func (g *Gate) dropWaiter(s *session) {
	for i, w := range g.waiters {
		if w == s {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			return
		}
	}
}

// grantFree reserves free slots for the homes that wait, in turn. The home
// whose task just ended goes first a few times in a row.
func (g *Gate) grantFree(ended *session) {
	for g.Free() > 0 && len(g.waiters) > 0 {
		s := g.waiters[0]
		if ended != nil && ended.want > 0 && g.lastRun < grantRun {
			s = ended
			g.lastRun++
		} else {
			g.lastRun = 0
			g.waiters = append(g.waiters[1:], s)
		}
		ended = nil
		g.grant(s)
	}
}

func (g *Gate) grant(s *session) {
	s.reserved++
	g.reserved++
	s.granted++
	g.Counts.Grants++
	g.touch(s).Grants++
	g.setWant(s, s.want-1)
}
