package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"rackspur/config"
	"rackspur/dispatch"
	"rackspur/observe"
	"rackspur/policy"
)

// enginePolicy implements owner.Policy with the current policies of an engine.
type enginePolicy struct{ engine *policy.Engine }

// Admit implements owner.Policy.Admit.
func (p enginePolicy) Admit(j dispatch.JobView) dispatch.Verdict {
	return p.engine.Current().Admit(j)
}

// Place implements owner.Policy.Place.
func (p enginePolicy) Place(j dispatch.JobView, targets []dispatch.TargetView) dispatch.Plan {
	return p.engine.Current().Place(j, targets)
}

// loadPolicies returns an engine with the policies of a file and reloads them at
// each SIGHUP. Invalid policies don't replace the current ones. The engine is nil if
// path is empty.
func loadPolicies(path string, m *observe.Metrics, log logr.Logger) (e *policy.Engine, stop func(), err error) {
	if path == "" {
		return nil, func() {}, nil
	}
	p, err := readPolicies(path)
	if err != nil {
		return nil, nil, err
	}
	if e, err = policy.NewFixed(p, m, log); err != nil {
		return nil, nil, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			reloadPolicies(e, path, log)
		}
	}()
	return e, func() {
		signal.Stop(signals)
		close(signals)
	}, nil
}

func readPolicies(path string) (config.Policies, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return config.Policies{}, err
	}
	return config.ParsePolicies(text)
}

func reloadPolicies(e *policy.Engine, path string, log logr.Logger) {
	p, err := readPolicies(path)
	if err == nil {
		err = e.Replace(p)
	}
	if err != nil {
		log.Error(err, "Policies not reloaded; those in force stay.", "file", path)
		return
	}
	log.Info("Policies reloaded.", "file", path)
}
