package policy

import (
	"github.com/rotisserie/eris"

	"rackspur/config"
	"rackspur/dispatch"
)

// Sample is an input on which policies are tried before they are accepted.
type Sample struct {
	Name    string
	Job     dispatch.JobView
	Targets []dispatch.TargetView
}

// Samples returns the inputs used by Check and by "rackspur policy try".
func Samples() []Sample {
	job := dispatch.JobView{
		Submission: "sample", Member: "sample", Kind: "sample", Tasks: 1, ExpectMS: 100, LongestMS: 100,
		DeadlineMS: 2000, MaxWaitMS: 10_000, Slots: 24, Free: 10, Domain: "a",
	}
	targets := []dispatch.TargetView{
		{Name: "t1", Domain: "a", Self: true, Slots: 8, Free: 3, Pace: 1, ServiceMS: 100},
		{Name: "t2", Domain: "a", Slots: 8, Free: 7, Pace: 1, ServiceMS: 100},
		{Name: "t3", Domain: "b", Slots: 8, Free: 0, Waiting: 5, Pace: 10, ServiceMS: 1000},
	}
	large, full, alone := job, job, job
	large.Tasks = 380
	full.Free, full.HomeWaiting, full.ExpectedWaitMS = 0, 900, 30_000
	alone.Slots, alone.Free = 0, 0
	busy := make([]dispatch.TargetView, len(targets))
	copy(busy, targets)
	for i := range busy {
		busy[i].Free = 0
	}
	return []Sample{
		{"one task, free slots", job, targets},
		{"380 tasks, some free slots", large, targets},
		{"one task, no free slots, long queues", full, busy},
		{"one target", job, targets[:1]},
		{"no target", alone, nil},
	}
}

// Check compiles policies and tries every program on the samples. It returns
// ErrProgram, ErrNoSet or ErrDecision.
func Check(c config.Policies) error {
	set, err := Load(c)
	if err != nil {
		return err
	}
	for h, p := range set.programs {
		if err := p.try(h); err != nil {
			return err
		}
	}
	return nil
}

// try runs one hook of the program on every sample.
func (p *Program) try(h Hook) error {
	for _, s := range Samples() {
		if _, err := p.Try(h, s); err != nil {
			return eris.Wrapf(err, "%s: %s on sample %q", p.Name, h, s.Name)
		}
	}
	return nil
}

// Try runs one hook on a sample and returns its decision.
func (p *Program) Try(h Hook, s Sample) (any, error) {
	switch h {
	case HookAdmit:
		v, _, err := p.admit(s.Job)
		return v, err
	case HookPlace:
		v, _, err := p.place(s.Job, s.Targets)
		return v, err
	case HookRetry:
		v, _, err := p.retry(dispatch.RetryView{Kind: s.Job.Kind, Refusals: s.Job.Tasks, LeftMS: s.Job.DeadlineMS})
		return v, err
	default:
		v, _, err := p.drain(dispatch.DrainView{Jobs: 1, Waiting: s.Job.HomeWaiting})
		return v, err
	}
}
