package node

import (
	"context"
	"testing"
	"time"
)

// Range of the time after which a job is submitted again to an owner that has dropped it. The
// owner may learn late that the caller has left, so that less than the callers' delay remains.
const (
	minAgain = 30 * time.Millisecond
	maxAgain = 1280 * time.Millisecond
)

// sweepAgain runs a test for each time after which a job is submitted again.
func sweepAgain(t *testing.T, test func(s *virtualSite, again time.Duration)) {
	t.Helper()
	sweepFrom(t, minAgain, maxAgain, test)
}

// submitToFirst submits a best-effort job to the first entry box, for a caller that does not
// return by itself. It returns when the tasks run; leave cancels the call.
func (s *virtualSite) submitToFirst() (leave context.CancelFunc) {
	s.t.Helper()
	ctx, leave := context.WithCancel(s.ctx)
	go s.entries[0].run(ctx, virtualJob(true))
	s.awaitRuns()
	return leave
}

// submitAgain submits the job of submitToFirst to the first entry box once more.
func (s *virtualSite) submitAgain() {
	go s.entries[0].run(s.ctx, virtualJob(true))
}

// Guards against an owner that runs a job again beside the runs of the first submission, which it
// is still stopping.
func TestSubmittedAgainWhileRunsStop(t *testing.T) {
	t.Run("stops carried out", func(t *testing.T) {
		sweepAgain(t, func(s *virtualSite, again time.Duration) {
			leave := s.submitToFirst()
			s.play(playTime, event{0, leave}, event{again, s.submitAgain})
		})
	})
	for _, after := range []time.Duration{0, 600 * time.Millisecond, 2 * time.Second} {
		name := "stops carried out after " + after.String()
		if after == 0 {
			name = "stops never carried out"
		}
		fault := stopFault{on: true, after: after}
		t.Run(name, func(t *testing.T) {
			sweepAgain(t, func(s *virtualSite, again time.Duration) {
				s.agents[1].target.setStops(fault)
				leave := s.submitToFirst()
				s.play(playTime, event{0, leave}, event{again, s.submitAgain})
			})
		})
		t.Run(name+" at all targets", func(t *testing.T) {
			sweepAgain(t, func(s *virtualSite, again time.Duration) {
				for _, a := range s.agents {
					a.target.setStops(fault)
				}
				leave := s.submitToFirst()
				s.play(playTime, event{0, leave}, event{again, s.submitAgain})
			})
		})
	}
	// The stop reaches the gate late.
	for _, f := range linkFaults {
		t.Run("link "+f.name, func(t *testing.T) {
			const length = 400 * time.Millisecond
			sweepAgain(t, func(s *virtualSite, again time.Duration) {
				leave := s.submitToFirst()
				s.play(playTime,
					event{-20 * time.Millisecond, func() { f.begin(s) }}, event{0, leave},
					event{length, func() { f.end(s) }}, event{again, s.submitAgain})
			})
		})
	}
}
