package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rackspur/internal/wait"
)

// A caller's request reaches the first owner only after the caller has left: the owner's box is
// frozen, or cut off from its callers, when it is sent. It is then read together with the end of
// its connection, while the job runs at another owner.
func TestRequestReadAfterCallerLeft(t *testing.T) {
	const (
		patience = 1500 * time.Millisecond
		shortest = patience + defaultResubmitDelay + 50*time.Millisecond
		longest  = 5 * time.Second
	)
	for _, fault := range []string{"frozen", "cut off"} {
		for length := shortest; length <= longest; length += offsetStep {
			t.Run(fmt.Sprintf("owner %s for %v", fault, length), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(s *virtualSite) {
					e := s.entries[0]
					begin, end := e.awake.shut, e.awake.open
					if fault == "cut off" {
						begin, end = e.callers.shut, e.callers.open
					}
					j := virtualJob(true)
					ctx, leave := context.WithCancel(s.ctx)
					defer leave()
					send := func() {
						go func() {
							if e.callers.pass(s.ctx) {
								e.run(ctx, j)
							}
						}()
					}
					again := func() { go s.entries[1].run(s.ctx, j) }
					s.play(length+time.Second, event{0, begin}, event{20 * time.Millisecond, send}, event{patience, leave},
						event{patience + s.bounds.resubmit, again}, event{length, end})
					wait.For(s.ctx, time.Second)
					s.checkOverlaps()
					if n := len(s.spans()); n < len(s.agents) {
						s.t.Errorf("%d runs, want one for each task at the second owner", n)
					}
				})
			})
		}
	}
}
