// Package load sends an open-loop load to running entry boxes and reports response
// times relative to the ideal.
package load

import (
	"bytes"
	"embed"
	"math"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

//go:embed scenarios/*.yaml
var shipped embed.FS

// ErrScenario is returned for an invalid scenario.
var ErrScenario = eris.New("load: bad scenario")

// Bounds of a scenario.
const (
	maxDuration = time.Hour
	maxRate     = 20_000
	maxTasks    = 10_000
	maxTaskMS   = 60_000
)

// Scenario describes a load.
type Scenario struct {
	Name string `yaml:"name"`
	// Seed is the seed of the random arrivals, sizes and run times.
	Seed uint64 `yaml:"seed"`
	// Duration is the time during which submissions arrive.
	Duration time.Duration `yaml:"duration"`
	// Slots is the total number of slots of all targets.
	Slots int `yaml:"slots"`
	// Load is the offered work as a share of the slots, 0.8 for 80%.
	Load float64 `yaml:"load"`
	// RTT is the round-trip time of a caller. It is part of the ideal.
	RTT time.Duration `yaml:"rtt"`
	// Kinds lists the kinds of request and their shares.
	Kinds []Kind `yaml:"kinds"`
	// Bursts raise the rate temporarily.
	Bursts []Burst `yaml:"bursts"`
}

// Kind is one kind of request of a scenario.
type Kind struct {
	Name   string `yaml:"name"`
	Member string `yaml:"member"`
	// Share is the kind's share of the submissions relative to the other kinds.
	Share float64 `yaml:"share"`
	// Tasks holds the smallest and the largest number of tasks of a job.
	Tasks [2]int `yaml:"tasks"`
	// MS holds the shortest and the longest run time in milliseconds, stragglers
	// aside.
	MS [2]int `yaml:"ms"`
	// Straggler is the share of the tasks that run for StragglerMS.
	Straggler   float64 `yaml:"straggler"`
	StragglerMS int     `yaml:"straggler_ms"`
	// DeadlineMS is the deadline of the submissions; 0 means the default of the kind.
	DeadlineMS int `yaml:"deadline_ms"`
}

// Burst multiplies the rate from At for For.
type Burst struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Factor float64       `yaml:"factor"`
	// Kind limits the burst to one kind; empty means all.
	Kind string `yaml:"kind"`
}

// Read returns the shipped scenario with the given name or, if there is none, the
// scenario in the file.
func Read(name string) (*Scenario, error) {
	text, err := shipped.ReadFile("scenarios/" + name + ".yaml")
	if err != nil {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrScenario, "%s is neither a shipped scenario nor a readable file", name)
	}
	return Parse(text)
}

// Parse parses and checks a scenario. Unknown fields are errors.
func Parse(text []byte) (*Scenario, error) {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var s Scenario
	if err := dec.Decode(&s); err != nil {
		return nil, eris.Wrap(ErrScenario, err.Error())
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check returns an ErrScenario that lists all faults, or nil.
func (s *Scenario) Check() error {
	var faults []string
	if s.Duration <= 0 || s.Duration > maxDuration {
		faults = append(faults, "duration must be up to "+maxDuration.String())
	}
	if s.Slots < 1 {
		faults = append(faults, "slots must be 1 or more")
	}
	if s.Load <= 0 || s.Load > 10 {
		faults = append(faults, "load must be over 0 and up to 10")
	}
	if len(s.Kinds) == 0 {
		faults = append(faults, "kinds: at least one is needed")
	}
	for _, k := range s.Kinds {
		if k.Share <= 0 || k.Tasks[0] < 1 || k.Tasks[1] < k.Tasks[0] || k.Tasks[1] > maxTasks {
			faults = append(faults, k.Name+": needs share > 0 and 1 <= tasks[0] <= tasks[1]")
		}
		if k.MS[0] < 1 || k.MS[1] < k.MS[0] || k.MS[1] > maxTaskMS || k.StragglerMS > maxTaskMS {
			faults = append(faults, k.Name+": needs 1 <= ms[0] <= ms[1]")
		}
	}
	if len(faults) == 0 && s.Rate() > maxRate {
		faults = append(faults, "more than the bound of submissions a second")
	}
	if len(faults) > 0 {
		return eris.Wrap(ErrScenario, strings.Join(faults, "; "))
	}
	return nil
}

// Rate returns the number of submissions per second that offers the scenario's
// load, without bursts.
func (s *Scenario) Rate() float64 {
	work, shares := 0.0, 0.0
	for _, k := range s.Kinds {
		work += k.Share * k.meanTasks() * k.meanMS() / 1000
		shares += k.Share
	}
	return s.Load * float64(s.Slots) * shares / work
}

func (k *Kind) meanTasks() float64 {
	return float64(k.Tasks[0]+k.Tasks[1]) / 2
}

func (k *Kind) meanMS() float64 {
	usual := float64(k.MS[0]+k.MS[1]) / 2
	return usual + k.Straggler*(float64(k.StragglerMS)-usual)
}

// burstFactor returns the factor by which bursts multiply the rate of a kind at a
// time.
func (s *Scenario) burstFactor(kind string, at time.Duration) float64 {
	f := 1.0
	for _, b := range s.Bursts {
		if (b.Kind == "" || b.Kind == kind) && at >= b.At && at < b.At+b.For {
			f = math.Max(f, b.Factor)
		}
	}
	return f
}
