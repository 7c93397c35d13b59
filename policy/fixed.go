package policy

import (
	"github.com/go-logr/logr"

	"rackspur/config"
	"rackspur/observe"
)

// NewFixed returns an engine with policies that don't come from a configuration;
// Replace changes them. It returns an error if they can't be used.
func NewFixed(p config.Policies, m *observe.Metrics, log logr.Logger) (*Engine, error) {
	e := &Engine{metrics: m, log: log.WithName("policy")}
	return e, e.Replace(p)
}

// Replace puts other policies in force. On an error the current ones stay.
func (e *Engine) Replace(p config.Policies) error {
	if err := Check(p); err != nil {
		return err
	}
	set, err := Load(p)
	if err != nil {
		return err
	}
	version := uint64(1)
	if old := e.current.Load(); old != nil {
		version = old.version + 1
	}
	e.current.Store(&boundSet{engine: e, set: set, version: version})
	return nil
}
