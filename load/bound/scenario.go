// Package bound estimates how much of a load could be served at best. It simulates
// the load on a set of targets with one central queue that has no overhead.
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

// ErrScenario is returned for an invalid scenario.
var ErrScenario = eris.New("bound: bad scenario")

// Bounds of a scenario.
const (
	maxDuration = 10 * time.Minute
	maxTargets  = 10_000
	maxRate     = 100_000
)

// Scenario describes a load and the targets that serve it.
type Scenario struct {
	// Duration is the time during which jobs arrive.
	Duration time.Duration `yaml:"duration"`
	Targets  []Targets     `yaml:"targets"`
	Kinds    []Kind        `yaml:"kinds"`
}

// Targets describes a group of identical targets.
type Targets struct {
	Count int `yaml:"count"`
	// CPU is the capacity of each target in thousandths of a core.
	CPU int `yaml:"cpu"`
	// Speed divides the run times of tasks; 1 is the usual speed.
	Speed float64 `yaml:"speed"`
}

// Kind describes a kind of job. Sizes have a log-normal distribution with a median
// and a spread, the standard deviation of the logarithm.
type Kind struct {
	Name string `yaml:"name"`
	// Rate is the mean number of jobs that arrive per second.
	Rate float64 `yaml:"rate"`
	// WorkMS is the run time of a task at usual speed in milliseconds.
	WorkMS     float64 `yaml:"work_ms"`
	WorkSpread float64 `yaml:"work_spread"`
	// Width is the number of tasks of a job.
	Width       float64 `yaml:"width"`
	WidthSpread float64 `yaml:"width_spread"`
	// CPU is the demand of a task in thousandths of a core.
	CPU       float64 `yaml:"cpu"`
	CPUSpread float64 `yaml:"cpu_spread"`
	// Uneven is the spread of the run times of a job's tasks.
	Uneven float64 `yaml:"uneven"`
	// Worth is the value of a job of the usual size that is in time.
	Worth float64 `yaml:"worth"`
	// Stretch and LatencyMS define a job's objective: Stretch times the median
	// run time of its tasks plus LatencyMS, counted from its arrival.
	Stretch   float64 `yaml:"stretch"`
	LatencyMS float64 `yaml:"latency_ms"`
}

// Read returns the scenario in a file, or the shipped one if name is "rating".
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
		return eris.Wrapf(ErrScenario, "duration %v is not above 0 and at most %v", s.Duration, maxDuration)
	}
	count := 0
	for i, t := range s.Targets {
		if t.Count < 1 || t.CPU < 1 || t.Speed <= 0 {
			return eris.Wrapf(ErrScenario, "targets[%d]: count, cpu and speed must be above 0", i)
		}
		count += t.Count
	}
	if count == 0 || count > maxTargets {
		return eris.Wrapf(ErrScenario, "%d targets: must be 1 to %d", count, maxTargets)
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

// job is a job of a simulated load. Times are in milliseconds since its start.
type job struct {
	kind    *Kind
	arrived float64
	cpu     int
	// tasks holds the run times at usual speed.
	tasks []float64
	// A job that ends after objective is late; one that ends after worthlessAt earns
	// nothing.
	objective, worthlessAt float64
	// startBy is the latest time at which the longest task can start at usual speed
	// for the job to be in time.
	startBy float64
	worth   float64
	// unstarted and unfinished count the tasks that have not started or ended.
	unstarted  int
	unfinished int
	// ended is 0 until the last task has ended.
	ended float64
}

// arrivals generates the jobs of a load, sorted by time. Rates are multiplied by
// the factor.
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
	j := &job{kind: k, arrived: at, cpu: int(logNormal(r, k.CPU, k.CPUSpread)), unstarted: n, unfinished: n}
	longest, total := 0.0, 0.0
	for range n {
		t := logNormal(r, work, k.Uneven)
		longest = max(longest, t)
		total += t
		j.tasks = append(j.tasks, t)
	}
	allowed := k.Stretch*work + k.LatencyMS
	j.objective = at + allowed
	j.worthlessAt = at + worthlessFactor*allowed
	j.startBy = j.objective - longest
	usual := k.WorkMS * k.Width * k.CPU
	j.worth = k.Worth * min(maxWorthFactor, 0.3+0.7*total*float64(j.cpu)/usual)
	return j
}

// Factors of a job's value.
const (
	// worthlessFactor is the multiple of its objective after which a job earns
	// nothing.
	worthlessFactor = 3
	// lateShare is the share of its worth that a late job earns.
	lateShare = 0.2
	// maxWorthFactor caps the worth of a large job as a multiple of the kind's worth.
	maxWorthFactor = 4
)
