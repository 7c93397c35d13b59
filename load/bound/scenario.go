// Package bound tells how much of a load could be served at best: it plays jobs
// against targets with one queue that sees everything and costs nothing. What
// rackspur reaches is read beside it.
package bound

import (
	"bytes"
	_ "embed"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

//go:embed rating.yaml
var shipped []byte

// ErrScenario says that a scenario can't be used.
var ErrScenario = eris.New("bound: bad scenario")

// Bounds of a scenario.
const (
	maxDuration = 10 * time.Minute
	maxTargets  = 10_000
	maxRate     = 100_000
)

// Scenario is a load and the targets that it is for.
type Scenario struct {
	// Duration is how long jobs arrive.
	Duration time.Duration `yaml:"duration"`
	Targets  []Targets     `yaml:"targets"`
	Kinds    []Kind        `yaml:"kinds"`
}

// Targets are some targets alike.
type Targets struct {
	Count int `yaml:"count"`
	// CPU is the room of each, in thousandths of a core.
	CPU int `yaml:"cpu"`
	// Speed is how much faster than usual work is done there.
	Speed float64 `yaml:"speed"`
}

// Kind is a kind of job. Sizes are log-normal with a median and a spread, the
// standard deviation of the logarithm.
type Kind struct {
	Name string `yaml:"name"`
	// Rate is how many jobs arrive a second, at random times.
	Rate float64 `yaml:"rate"`
	// WorkMS is the run time of a task at usual speed.
	WorkMS     float64 `yaml:"work_ms"`
	WorkSpread float64 `yaml:"work_spread"`
	// Width is the number of tasks of a job.
	Width       float64 `yaml:"width"`
	WidthSpread float64 `yaml:"width_spread"`
	// CPU is what a task takes, in thousandths of a core.
	CPU       float64 `yaml:"cpu"`
	CPUSpread float64 `yaml:"cpu_spread"`
	// Uneven is the spread of run times within a job.
	Uneven float64 `yaml:"uneven"`
	// Worth is what a job of the usual size earns in time; late it earns a fifth.
	Worth float64 `yaml:"worth"`
	// Stretch and LatencyMS make a job's objective: Stretch times its run time and
	// LatencyMS.
	Stretch   float64 `yaml:"stretch"`
	LatencyMS float64 `yaml:"latency_ms"`
}

// Read returns the scenario in a file, or the shipped one for the name "rating".
func Read(name string) (*Scenario, error) {
	data := shipped
	if name != "rating" {
		var err error
		if data, err = os.ReadFile(name); err != nil {
			return nil, eris.Wrap(ErrScenario, err.Error())
		}
	}
	s := new(Scenario)
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	if err := d.Decode(s); err != nil {
		return nil, eris.Wrap(ErrScenario, err.Error())
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	if s.Duration <= 0 || s.Duration > maxDuration {
		return eris.Wrapf(ErrScenario, "duration %v: want more than 0, at most %v", s.Duration, maxDuration)
	}
	count := 0
	for i, t := range s.Targets {
		if t.Count < 1 || t.CPU < 1 || t.Speed <= 0 {
			return eris.Wrapf(ErrScenario, "targets %d: count, cpu and speed must be above 0", i)
		}
		count += t.Count
	}
	if count == 0 || count > maxTargets {
		return eris.Wrapf(ErrScenario, "%d targets: want 1 to %d", count, maxTargets)
	}
	for _, k := range s.Kinds {
		if k.Rate <= 0 || k.Rate > maxRate || k.WorkMS <= 0 || k.Width < 1 || k.CPU < 1 || k.Stretch < 1 || k.Worth <= 0 {
			return eris.Wrapf(ErrScenario, "kind %q: rate, work_ms, width, cpu, stretch or worth out of bounds", k.Name)
		}
	}
	if len(s.Kinds) == 0 {
		return eris.Wrap(ErrScenario, "no kinds")
	}
	return nil
}

// job is a job of a played load.
type job struct {
	kind    *Kind
	arrived float64
	cpu     int
	// tasks are run times at usual speed, in milliseconds.
	tasks []float64
	// objective is when the job should have ended, worthless when it earns nothing.
	objective, worthless float64
	// startBy is when its last task must start for the job to be in time.
	startBy float64
	worth   float64
	waiting int
	left    int
	ended   float64
}

// arrivals draws the jobs of a load whose rates are multiplied by a factor.
func (s *Scenario) arrivals(factor float64, seed uint64) []*job {
	r := rand.New(rand.NewPCG(seed, seed))
	var all []*job
	for i := range s.Kinds {
		k := &s.Kinds[i]
		mean := 1000 / (k.Rate * factor)
		end := float64(s.Duration.Milliseconds())
		for at := r.ExpFloat64() * mean; at < end; at += r.ExpFloat64() * mean {
			all = append(all, k.draw(r, at))
		}
	}
	slices.SortFunc(all, func(a, b *job) int {
		if a.arrived < b.arrived {
			return -1
		}
		return 1
	})
	return all
}

func logNormal(r *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(r.NormFloat64()*spread)
}

func (k *Kind) draw(r *rand.Rand, at float64) *job {
	work := logNormal(r, k.WorkMS, k.WorkSpread)
	n := max(1, int(math.Round(logNormal(r, k.Width, k.WidthSpread))))
	j := &job{kind: k, arrived: at, cpu: int(logNormal(r, k.CPU, k.CPUSpread)), waiting: n, left: n}
	longest, total := 0.0, 0.0
	for range n {
		t := logNormal(r, work, k.Uneven)
		longest = max(longest, t)
		total += t
		j.tasks = append(j.tasks, t)
	}
	span := k.Stretch*work + k.LatencyMS
	j.objective = at + span
	j.worthless = at + worthlessAfter*span
	j.startBy = j.objective - longest
	usual := k.WorkMS * k.Width * k.CPU
	j.worth = k.Worth * min(mostWorth, 0.3+0.7*total*float64(j.cpu)/usual)
	return j
}

// Figures of what jobs earn.
const (
	// worthlessAfter is after how many times its objective a job earns nothing.
	worthlessAfter = 3
	// lateShare is what part of its worth a late job earns.
	lateShare = 0.2
	// mostWorth is how many times the usual worth a large job earns at most.
	mostWorth = 4
)
