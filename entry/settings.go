// Package entry is the thin process that callers reach through the platform's
// balancer. It checks who asks, hands out ids, and brings each submission to
// the home that its id names. It keeps nothing that matters.
package entry

import (
	"time"

	"rackspur/settings"
)

// Settings are the settings of an entry box.
type Settings struct {
	Name string
	// Listen is the callers' address, Ops the operators'.
	Listen string
	Ops    string
	// Domain is the failure domain of the box.
	Domain   string
	Platform string
	// Links bounds the agents that the entry box keeps a link to.
	Links int
	// Candidates bounds the targets proposed for a job.
	Candidates int
	// Grace is how long a home is tried before the caller is told to ask again.
	Grace time.Duration
	// Poll is the time between two looks at the configuration and the boxes.
	Poll time.Duration
	// StopDelay is the time for the balancer to notice a planned stop.
	StopDelay time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// HeaderTimeout bounds the reading of a request's header, BodyTimeout of the whole.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
}

// Define adds the settings to a set.
func (s *Settings) Define(set *settings.Set) {
	set.String(&s.Name, "name", "", "name of this box in the platform's list").Require()
	set.Address(&s.Listen, "listen", "127.0.0.1:8080", "callers' address")
	set.Address(&s.Ops, "ops", "127.0.0.1:8081", "operators' address")
	set.String(&s.Domain, "domain", "", "failure domain of this box").Require()
	set.URL(&s.Platform, "platform", "", "base URL of the platform's service").Require()
	set.Int(&s.Links, "links", 64, "most agents to keep a link to", 1, 10_000)
	set.Int(&s.Candidates, "candidates", 32, "most targets to propose for a job", 1, 10_000)
	set.Duration(&s.Grace, "grace", time.Second, "how long a home is tried before the caller is told to ask again", 10*time.Millisecond, time.Minute)
	set.Duration(&s.Poll, "poll", time.Second, "time between two looks at the configuration and the list of boxes", 10*time.Millisecond, time.Minute)
	set.Duration(&s.StopDelay, "stop-delay", time.Second, "time for the balancer to notice a planned stop", 0, time.Minute)
	set.Duration(&s.StopTimeout, "stop-timeout", 30*time.Second, "longest time of a planned stop", time.Second, 10*time.Minute)
	set.Duration(&s.HeaderTimeout, "header-timeout", 5*time.Second, "longest time to read a request's header", 10*time.Millisecond, time.Minute)
	set.Duration(&s.BodyTimeout, "body-timeout", 30*time.Second, "longest time to read a request", 10*time.Millisecond, 10*time.Minute)
}
