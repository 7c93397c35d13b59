package policy

import (
	"errors"
	"testing"

	"github.com/go-logr/logr"

	"rackspur/config"
	"rackspur/dispatch"
	"rackspur/observe"
)

// Policies that can't be used leave the current ones in force.
func TestReplaceKeepsWhatWorks(t *testing.T) {
	refuseAll := config.Policies{Admit: "def admit(job):\n    return refuse('closed', 100)\n"}
	e, err := NewFixed(refuseAll, observe.NewMetrics(), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	wrong := map[string]struct {
		policies config.Policies
		want     error
	}{
		"unreadable":  {config.Policies{Admit: "def admit(job"}, ErrProgram},
		"unknown set": {config.Policies{Base: "no-such-set"}, ErrNoSet},
		"fails":       {config.Policies{Admit: "def admit(job):\n    return 1\n"}, ErrDecision},
	}
	for name, c := range wrong {
		if err := e.Replace(c.policies); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
		if _, err := NewFixed(c.policies, observe.NewMetrics(), logr.Discard()); !errors.Is(err, c.want) {
			t.Errorf("%s at the start: error %v, want %v", name, err, c.want)
		}
	}
	if e.Current().Admit(dispatch.JobView{}).Admit {
		t.Error("the policies in force were dropped")
	}
	if err := e.Replace(config.Policies{}); err != nil {
		t.Fatal(err)
	}
	if !e.Current().Admit(Samples()[0].Job).Admit {
		t.Error("the new policies are not in force")
	}
}
