package policy

import (
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rackspur/config"
	"rackspur/dispatch"
	"rackspur/observe"
)

// maxRecent is the number of decisions that are kept for watchers.
const maxRecent = 512

// Decision is one decision as shown to operators.
type Decision struct {
	At   time.Time `json:"at"`
	Hook Hook      `json:"hook"`
	// Program is the program that decided, Version the version of its configuration.
	Program string `json:"program"`
	Version uint64 `json:"version"`
	// Submission is the submission that the decision was about.
	Submission string `json:"submission,omitempty"`
	Inputs     []any  `json:"inputs"`
	Outcome    any    `json:"outcome"`
	Steps      uint64 `json:"steps,omitempty"`
	// Failed is the error of a program that the default replaced.
	Failed string `json:"failed,omitempty"`
	// Shadow is the decision of the shadow program, if it differs.
	Shadow any `json:"shadow,omitempty"`
}

// Engine makes the decisions with the policies in force.
type Engine struct {
	metrics *observe.Metrics
	log     logr.Logger
	current atomic.Pointer[boundSet]

	mu     sync.Mutex
	recent []Decision
	next   int
}

// boundSet is a set with the version of its configuration. It implements
// dispatch.Policy.
type boundSet struct {
	engine  *Engine
	set     *Set
	version uint64
}

// NewEngine returns an engine that follows the holder's configuration.
func NewEngine(h *config.Holder, m *observe.Metrics, log logr.Logger) *Engine {
	e := &Engine{metrics: m, log: log.WithName("policy")}
	e.current.Store(&boundSet{engine: e, set: &Set{}})
	h.OnChange(e.onConfig)
	return e
}

// onConfig applies the policies of a new configuration. They were checked before; if
// they fail to load nevertheless, the default decides.
func (e *Engine) onConfig(c *config.Accepted) {
	set, err := Load(c.Document.Policies)
	if err != nil {
		e.log.Error(err, "Policies are not usable. The default decides.", "version", c.Version)
		e.metrics.Count(observe.MetricPolicyPrefix+"unusable", 1)
		set = &Set{}
	}
	e.current.Store(&boundSet{engine: e, set: set, version: c.Version})
}

// Current returns the policy in force.
func (e *Engine) Current() dispatch.Policy {
	return e.current.Load()
}

// Recent returns the recent decisions, oldest first, or only those about a submission
// if it is not empty.
func (e *Engine) Recent(submission string) []Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []Decision{}
	for i := range e.recent {
		d := e.recent[(e.next+i)%len(e.recent)]
		if submission == "" || d.Submission == submission {
			list = append(list, d)
		}
	}
	return list
}

func (e *Engine) addRecent(d Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.recent) < maxRecent {
		e.recent = append(e.recent, d)
		return
	}
	e.recent[e.next] = d
	e.next = (e.next + 1) % maxRecent
}

// decide makes one decision: by the program for the hook, or by the default if there is
// none or it fails. It counts and records the decision.
func decide[T any](b *boundSet, hook Hook, submission string, inputs []any, program func(*Program) (T, uint64, error), native func() T) T {
	d := Decision{At: time.Now(), Hook: hook, Program: "built-in", Version: b.version, Submission: submission, Inputs: inputs}
	metric := observe.MetricPolicyPrefix + string(hook)
	b.engine.metrics.Count(metric+".calls", 1)
	result, decided := *new(T), false
	if p := b.set.Program(hook); p != nil {
		var err error
		result, d.Steps, err = program(p)
		d.Program = p.Name
		decided = err == nil
		if err != nil {
			d.Failed = err.Error()
			b.engine.metrics.Count(metric+".failed", 1)
			b.engine.log.Error(err, "Program failed. The default decides.", "program", p.Name, "hook", string(hook))
		}
	}
	if !decided {
		result = native()
	}
	if s := b.set.Shadow; s != nil && s.Has(hook) {
		other, _, err := program(s)
		if err != nil || !reflect.DeepEqual(other, result) {
			b.engine.metrics.Count(metric+".shadow_differs", 1)
			d.Shadow = other
		}
	}
	d.Outcome = result
	b.engine.addRecent(d)
	return result
}

// Admit implements dispatch.Policy.Admit.
func (b *boundSet) Admit(j dispatch.JobView) dispatch.Verdict {
	return decide(b, HookAdmit, j.Submission, []any{j},
		func(p *Program) (dispatch.Verdict, uint64, error) { return p.admit(j) },
		func() dispatch.Verdict { return dispatch.Native{}.Admit(j) })
}

// Place implements dispatch.Policy.Place.
func (b *boundSet) Place(j dispatch.JobView, targets []dispatch.TargetView) dispatch.Plan {
	return decide(b, HookPlace, j.Submission, []any{j, targets},
		func(p *Program) (dispatch.Plan, uint64, error) { return p.place(j, targets) },
		func() dispatch.Plan { return dispatch.Native{}.Place(j, targets) })
}

// Retry implements dispatch.Policy.Retry.
func (b *boundSet) Retry(r dispatch.RetryView) dispatch.RetryVerdict {
	return decide(b, HookRetry, r.Submission, []any{r},
		func(p *Program) (dispatch.RetryVerdict, uint64, error) { return p.retry(r) },
		func() dispatch.RetryVerdict { return dispatch.Native{}.Retry(r) })
}

// Drain implements dispatch.Policy.Drain.
func (b *boundSet) Drain(v dispatch.DrainView) dispatch.DrainVerdict {
	return decide(b, HookDrain, "", []any{v},
		func(p *Program) (dispatch.DrainVerdict, uint64, error) { return p.drain(v) },
		func() dispatch.DrainVerdict { return dispatch.Native{}.Drain(v) })
}
