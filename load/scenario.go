// Package load sends an open-loop load to entry boxes and reports response
// times against the ideal. It is a client of real processes, not a simulator.
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

// ErrScenario says that a scenario can't be used.
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
	// Seed makes arrivals, sizes and run times the same on every run.
	Seed uint64 `yaml:"seed"`
	// Duration bounds the time in which submissions arrive.
	Duration time.Duration `yaml:"duration"`
	// Slots is the number of slots of all targets together.
	Slots int `yaml:"slots"`
	// Load is the offered work as a share of the slots, 0.8 for 80%.
	Load float64 `yaml:"load"`
	// RTT is the round trip of a caller, part of the ideal.
	RTT time.Duration `yaml:"rtt"`
	// Kinds are the kinds of request with their shares.
	Kinds []Kind `yaml:"kinds"`
	// Bursts raise the rate for a while.
	Bursts []Burst `yaml:"bursts"`
}

// Kind is one kind of request of a scenario.
type Kind struct {
	Name   string `yaml:"name"`
	Member string `yaml:"member"`
	// Share is the share of the submissions, relative to the other kinds.
	Share float64 `yaml:"share"`
	// Tasks are the smallest and the largest size of a job.
	Tasks [2]int `yaml:"tasks"`
	// MS are the shortest and the longest usual run time in milliseconds.
	MS [2]int `yaml:"ms"`
	// Straggler is the share of the tasks that run for StragglerMS.
	Straggler   float64 `yaml:"straggler"`
	StragglerMS int     `yaml:"straggler_ms"`
	// DeadlineMS is the callers' deadline; 0 means the kind's own.
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

// Read returns the shipped scenario with the name, or the one in the file.
func Read(name string) (*Scenario, error) {
	text, err := shipped.ReadFile("scenarios/" + name + ".yaml")
	if err != nil {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrScenario, "%s is neither shipped nor a file", name)
	}
	return Parse(text)
}

// Parse reads a scenario. Unknown fields are errors.
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

// Check returns an ErrScenario that names every fault.
func (s *Scenario) Check() error {
	var wrong []string
	if s.Duration <= 0 || s.Duration > maxDuration {
		wrong = append(wrong, "duration must be up to "+maxDuration.String())
	}
	if s.Slots < 1 {
		wrong = append(wrong, "slots must be 1 or more")
	}
	if s.Load <= 0 || s.Load > 10 {
		wrong = append(wrong, "load must be over 0 and up to 10")
	}
	if len(s.Kinds) == 0 {
		wrong = append(wrong, "kinds: at least one is needed")
	}
	for _, k := range s.Kinds {
		if k.Share <= 0 || k.Tasks[0] < 1 || k.Tasks[1] < k.Tasks[0] || k.Tasks[1] > maxTasks {
			wrong = append(wrong, k.Name+": needs share > 0 and 1 <= tasks[0] <= tasks[1]")
		}
		if k.MS[0] < 1 || k.MS[1] < k.MS[0] || k.MS[1] > maxTaskMS || k.StragglerMS > maxTaskMS {
			wrong = append(wrong, k.Name+": needs 1 <= ms[0] <= ms[1]")
		}
	}
	if len(wrong) == 0 && s.Rate() > maxRate {
		wrong = append(wrong, "more than the bound of submissions a second")
	}
	if len(wrong) > 0 {
		return eris.Wrap(ErrScenario, strings.Join(wrong, "; "))
	}
	return nil
}

// Rate returns the submissions a second that offer the scenario's load.
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

// factor returns by how much bursts raise the rate of a kind at a time.
func (s *Scenario) factor(kind string, at time.Duration) float64 {
	f := 1.0
	for _, b := range s.Bursts {
		if (b.Kind == "" || b.Kind == kind) && at >= b.At && at < b.At+b.For {
			f = math.Max(f, b.Factor)
		}
	}
	return f
}
