package peer

import (
	"testing"
	"time"

	"rackspur/gate"
)

// countedGate is a gate with a number of linked owners.
type countedGate struct{ owners int }

func (g countedGate) Connect(string, uint64, func()) bool        { return true }
func (g countedGate) Disconnect(string, uint64)                  {}
func (g countedGate) Frame(string, uint64, gate.OwnerFrame) bool { return true }
func (g countedGate) Flush(string, uint64) (gate.Frame, bool)    { return gate.Frame{}, true }
func (g countedGate) Pending(string) bool                        { return false }
func (g countedGate) HasRuns(owner string) bool                  { return owner == "with-runs" }
func (g countedGate) OpenOwners() int                            { return g.owners }
func (g countedGate) OnReport(func())                            {}
func (g countedGate) Reported() uint64                           { return 0 }

// What a gate sends as reports only stays below a rate, however many owners it has.
func TestReportPause(t *testing.T) {
	for _, owners := range []int{0, 1, 3, 11, 100} {
		s := &Server{Gate: countedGate{owners: owners}}
		pause := s.reportPause()
		if pause < reportPause {
			t.Errorf("%d owners: pause %v, want %v or more", owners, pause, reportPause)
		}
		if rate := float64(owners) * float64(time.Second) / float64(pause); rate > reportRate+1 {
			t.Errorf("%d owners: %.0f reports a second, want %d or fewer", owners, rate, reportRate)
		}
	}
}

// A gate without runs of an owner is heard of less often, and often enough for
// an order to be obeyed.
func TestGateHeartbeat(t *testing.T) {
	for _, owners := range []int{1, 11, 70, 1000} {
		s := &Server{Gate: countedGate{owners: owners}}
		if got := s.gateHeartbeat("with-runs"); got != reportHeartbeat {
			t.Errorf("%d owners: %v with runs, want %v", owners, got, reportHeartbeat)
		}
		if got := s.gateHeartbeat("without"); got < idleReport || got > mostIdleReport || got >= frameTimeout {
			t.Errorf("%d owners: %v without runs", owners, got)
		}
	}
}
