package node

import (
	"testing"
	"time"
)

// Symptom: a run goes on at a target beside the run that another owner has started.
//
// Sequence: the owner of a best-effort job ends in order while the job runs, and tells
// the caller so at 0; an agent is lost some time later.
//
// Cause: an owner that ends sends no stops, and the lease that a gate had given last
// outlived the contact with it: as with an owner that is lost.
func TestAgentLostAfterOwnerLeft(t *testing.T) {
	sweep(t, func(s *virtualSite, offset time.Duration) {
		s.handIn()
		leave := func() {
			s.entries[0].owner.End()
			s.entries[0].kill()
		}
		s.play(playTime, event{0, leave}, event{offset, s.agents[1].kill})
	})
}
