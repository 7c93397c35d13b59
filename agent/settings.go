// Package agent is the small process beside a target: the home of the ids it
// issues and the gate of its target.
package agent

import (
	"time"

	"rackspur/settings"
)

// Settings are the settings of an agent.
type Settings struct {
	// Listen is where other processes of ours reach the agent.
	Listen string
	// Advertise is the address named in ids; Listen if empty.
	Advertise string
	// Ops is the operators' address.
	Ops string
	// Target is the name of the target, TargetURL its address, Slots its size.
	Target    string
	TargetURL string
	Slots     int
	// Domain is the failure domain of the box.
	Domain   string
	Platform string
	// Grace is how long another agent may be out of reach before its tasks count as lost.
	Grace time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// LongestLease is how long slots count as busy after a start without a usage report.
	LongestLease time.Duration
	// Report is the shortest time between two load reports on a link.
	Report time.Duration
	// KeepMB bounds the results kept for callers that ask again, in MiB.
	KeepMB int
}

// Define adds the settings to a set.
func (s *Settings) Define(set *settings.Set) {
	set.Address(&s.Listen, "listen", "127.0.0.1:7000", "address for entry boxes and other agents")
	set.Address(&s.Advertise, "advertise", "", "address that others use to reach this agent (default: listen)")
	set.Address(&s.Ops, "ops", "127.0.0.1:7001", "operators' address")
	set.String(&s.Target, "target", "", "name of the target on this box").Require()
	set.URL(&s.TargetURL, "target-url", "", "base URL of the target on this box").Require()
	set.Int(&s.Slots, "slots", 8, "slots of the target", 1, 10_000)
	set.String(&s.Domain, "domain", "", "failure domain of this box").Require()
	set.URL(&s.Platform, "platform", "", "base URL of the platform's service").Require()
	set.Duration(&s.Grace, "grace", time.Second, "how long another agent may be out of reach before its tasks count as lost", 10*time.Millisecond, time.Minute)
	set.Duration(&s.StopTimeout, "stop-timeout", 30*time.Second, "longest time of a planned stop", time.Second, 10*time.Minute)
	set.Duration(&s.LongestLease, "longest-lease", 10*time.Second, "how long slots count as busy after a start without a usage report", 0, 10*time.Minute)
	set.Duration(&s.Report, "report", time.Second, "shortest time between two load reports on a link", 10*time.Millisecond, time.Minute)
	set.Int(&s.KeepMB, "keep-mb", 32, "MiB of results kept for callers that ask again", 1, 4096)
}

// Address returns the address that others use.
func (s *Settings) Address() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Listen
}
