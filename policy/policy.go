// Package policy runs operators' programs: short Starlark functions that decide on
// admission, placement, retries and draining. A program has a step limit, no I/O, and
// typed inputs and outputs. If it fails, the built-in default makes the decision, and
// the failure is counted and logged.
package policy

import (
	"embed"
	"path"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"rackspur/config"
)

//go:embed sets/*.star
var shipped embed.FS

// Names of shipped sets that the code refers to.
const (
	// Default is the set for hooks that a configuration leaves out.
	Default = "default"
	// FewMessages is the default set, weighted for few messages.
	FewMessages = "few-messages"
)

// maxSteps limits the Starlark steps of one decision.
const maxSteps = 200_000

// Hook names a decision that a program may make.
type Hook string

// The hooks.
const (
	HookAdmit Hook = "admit"
	HookPlace Hook = "place"
	HookRetry Hook = "retry"
	HookDrain Hook = "drain"
)

// hooks maps all hooks to the number of their parameters.
var hooks = map[Hook]int{HookAdmit: 1, HookPlace: 2, HookRetry: 1, HookDrain: 1}

// Errors of this package.
var (
	// ErrProgram reports a program that can't be used at all.
	ErrProgram = eris.New("policy: bad program")
	// ErrDecision reports a program that failed in one decision.
	ErrDecision = eris.New("policy: decision failed")
	// ErrNoSet reports that no shipped set has the name.
	ErrNoSet = eris.New("policy: no such set")
)

// Program is a compiled program with a function for each hook that it defines.
type Program struct {
	// Name identifies the source of the program.
	Name      string
	functions map[Hook]*starlark.Function
}

// Names returns the sorted names of the shipped sets.
func Names() []string {
	entries, err := shipped.ReadDir("sets")
	if err != nil {
		panic(err) // the folder is embedded
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = strings.TrimSuffix(e.Name(), path.Ext(e.Name()))
	}
	sort.Strings(names)
	return names
}

// Source returns the source of a shipped set, or ErrNoSet.
func Source(name string) (string, error) {
	text, err := shipped.ReadFile("sets/" + name + ".star")
	if err != nil {
		return "", eris.Wrapf(ErrNoSet, "%q; the sets are %s", name, strings.Join(Names(), ", "))
	}
	return string(text), nil
}

// Compile compiles a program. It must define at least one hook, with the right number
// of parameters.
func Compile(name, source string) (*Program, error) {
	thread := newThread(name)
	opts := &syntax.FileOptions{}
	globals, err := starlark.ExecFileOptions(opts, thread, name, source, builtins)
	if err != nil {
		return nil, eris.Wrap(ErrProgram, err.Error())
	}
	globals.Freeze()
	p := &Program{Name: name, functions: map[Hook]*starlark.Function{}}
	for hook, args := range hooks {
		f, ok := globals[string(hook)].(*starlark.Function)
		if !ok {
			continue
		}
		if f.NumParams() != args {
			return nil, eris.Wrapf(ErrProgram, "%s: %s takes %d arguments, not %d", name, hook, args, f.NumParams())
		}
		p.functions[hook] = f
	}
	if len(p.functions) == 0 {
		return nil, eris.Wrapf(ErrProgram, "%s: defines none of admit, place, retry, drain", name)
	}
	return p, nil
}

// Has reports whether the program defines a hook.
func (p *Program) Has(h Hook) bool {
	return p.functions[h] != nil
}

func newThread(name string) *starlark.Thread {
	t := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	t.SetMaxExecutionSteps(maxSteps)
	return t
}

// call runs a hook and returns its result and the number of steps.
func (p *Program) call(h Hook, args ...starlark.Value) (starlark.Value, uint64, error) {
	thread := newThread(p.Name)
	v, err := starlark.Call(thread, p.functions[h], args, nil)
	if err != nil {
		return nil, thread.ExecutionSteps(), eris.Wrap(ErrDecision, err.Error())
	}
	return v, thread.ExecutionSteps(), nil
}

// Set holds the program for each hook of one configuration.
type Set struct {
	programs map[Hook]*Program
	// Shadow runs in addition to the set; its decisions are only compared.
	Shadow *Program
}

// Program returns the program for a hook; nil means the built-in default.
func (s *Set) Program(h Hook) *Program {
	return s.programs[h]
}

// Load compiles the policies of a configuration.
func Load(c config.Policies) (*Set, error) {
	s := &Set{programs: map[Hook]*Program{}}
	if c.Base != "" {
		base, err := loadShipped(c.Base)
		if err != nil {
			return nil, err
		}
		for h := range base.functions {
			s.programs[h] = base
		}
	}
	own := map[Hook]string{HookAdmit: c.Admit, HookPlace: c.Place, HookRetry: c.Retry, HookDrain: c.Drain}
	for h, source := range own {
		if source == "" {
			continue
		}
		p, err := Compile("policies."+string(h), source)
		if err != nil {
			return nil, err
		}
		if !p.Has(h) {
			return nil, eris.Wrapf(ErrProgram, "policies.%s defines no function %s", h, h)
		}
		s.programs[h] = p
	}
	if c.Shadow == "" {
		return s, nil
	}
	var err error
	s.Shadow, err = loadShipped(c.Shadow)
	return s, err
}

func loadShipped(name string) (*Program, error) {
	source, err := Source(name)
	if err != nil {
		return nil, err
	}
	return Compile(name, source)
}
