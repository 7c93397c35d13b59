package peer

import (
	"testing"
	"time"

	"rackspur/gate"
)

// stubGate is a gate with a number of linked owners.
type stubGate struct{ owners int }

func (g stubGate) Connect(string, uint64, func()) bool        { return true }
func (g stubGate) Disconnect(string, uint64)                  {}
func (g stubGate) Frame(string, uint64, gate.OwnerFrame) bool { return true }
func (g stubGate) Flush(string, uint64) (gate.Frame, bool)    { return gate.Frame{}, true }
func (g stubGate) Pending(string) bool                        { return false }
func (g stubGate) HasRuns(owner string) bool                  { return owner == "with-runs" }
func (g stubGate) OpenOwners() int                            { return g.owners }
func (g stubGate) OnReport(func())                            {}
func (g stubGate) ReportVersion() uint64                      { return 0 }

// The rate of report-only frames of a gate is bounded, however many owners it has.
func TestReportPause(t *testing.T) {
	for _, owners := range []int{0, 1, 3, 11, 100} {
		s := &Server{Gate: stubGate{owners: owners}}
		pause := s.minReportPause()
		if pause < minReportPause {
			t.Errorf("%d owners: pause %v, want %v or more", owners, pause, minReportPause)
		}
		if rate := float64(owners) * float64(time.Second) / float64(pause); rate > reportRate+1 {
			t.Errorf("%d owners: %.0f reports a second, want %d or fewer", owners, rate, reportRate)
		}
	}
}

// A gate without runs of an owner reports to it less often, but often enough for the owner's
// next order to be accepted.
func TestGateHeartbeat(t *testing.T) {
	for _, owners := range []int{1, 11, 70, 1000} {
		s := &Server{Gate: stubGate{owners: owners}}
		if got := s.gateHeartbeat("with-runs"); got != reportHeartbeat {
			t.Errorf("%d owners: %v with runs, want %v", owners, got, reportHeartbeat)
		}
		if got := s.gateHeartbeat("without"); got < minIdleReport || got > maxIdleReport || got >= frameTimeout {
			t.Errorf("%d owners: %v without runs", owners, got)
		}
	}
}
