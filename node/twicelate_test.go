package node

import (
	"context"
	"testing"
	"time"

	"rackspur/internal/wait"
)

// A caller's request reaches the first owner only after the caller has left: the owner's box is
// frozen, or cut off from its callers, when it is sent. It is then read together with the end of
// its connection, while the job runs at another owner.
func TestRequestReadAfterCallerLeft(t *testing.T) {
	const patience = 1500 * time.Millisecond
	for _, frozen := range []bool{true, false} {
		name := "owner cut off"
		if frozen {
			name = "owner frozen"
		}
		t.Run(name, func(t *testing.T) {
			sweepFrom(t, patience+defaultResubmitDelay+50*time.Millisecond, 5*time.Second, func(s *virtualSite, length time.Duration) {
				e := s.entries[0]
				begin, end := e.awake.shut, e.awake.open
				if !frozen {
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
				wait.For(s.ctx, settleTime)
				s.play(length+time.Second, event{0, begin}, event{20 * time.Millisecond, send}, event{patience, leave},
					event{patience + s.bounds.resubmit, again}, event{length, end})
			})
		})
	}
}
