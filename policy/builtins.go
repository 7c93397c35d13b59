package policy

import (
	"math"
	"math/rand/v2"
	"sort"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"

	"rackspur/dispatch"
)

// builtins are the predeclared names in addition to Starlark's own.
var builtins = starlark.StringDict{
	"accept":  starlark.NewBuiltin("accept", builtinAccept),
	"refuse":  starlark.NewBuiltin("refuse", builtinRefuse),
	"plan":    starlark.NewBuiltin("plan", builtinPlan),
	"again":   starlark.NewBuiltin("again", builtinAgain),
	"give_up": starlark.NewBuiltin("give_up", builtinGiveUp),
	"move":    starlark.NewBuiltin("move", builtinMove),
	"random":  starlark.NewBuiltin("random", builtinRandom),
	"sample":  starlark.NewBuiltin("sample", builtinSample),
	"median":  starlark.NewBuiltin("median", builtinMedian),
}

// decision wraps a typed result, so that programs can't construct results themselves.
type decision struct {
	starlark.Value
	result any
}

func newDecision(name string, result any) *decision {
	return &decision{Value: starlark.String(name), result: result}
}

func builtinAccept(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if err := starlark.UnpackArgs(b.Name(), args, kwargs); err != nil {
		return nil, err
	}
	return newDecision("accept", dispatch.Verdict{Admit: true}), nil
}

func builtinRefuse(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	reason := ""
	var after starlark.Value = starlark.MakeInt(0)
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "reason", &reason, "retry_ms?", &after); err != nil {
		return nil, err
	}
	ms, _ := starlark.AsFloat(after)
	v := dispatch.Verdict{Reason: reason, RetryAfterMS: uint32(min(math.MaxUint32, max(0, ms)))}
	return newDecision("refuse", v), nil
}

// rawPlan is a plan whose indexes are not checked yet.
type rawPlan struct {
	start starlark.Iterable
	wait  starlark.Iterable
	eager bool
}

func builtinPlan(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	p := rawPlan{start: starlark.Tuple{}, wait: starlark.Tuple{}}
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "start?", &p.start, "wait?", &p.wait, "eager?", &p.eager); err != nil {
		return nil, err
	}
	return newDecision("plan", p), nil
}

func builtinAgain(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var after starlark.Value = starlark.MakeInt(0)
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "after_ms?", &after); err != nil {
		return nil, err
	}
	ms, _ := starlark.AsFloat(after)
	return newDecision("again", dispatch.RetryVerdict{Again: true, AfterMS: max(0, ms)}), nil
}

func builtinGiveUp(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if err := starlark.UnpackArgs(b.Name(), args, kwargs); err != nil {
		return nil, err
	}
	return newDecision("give_up", dispatch.RetryVerdict{}), nil
}

func builtinMove(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if err := starlark.UnpackArgs(b.Name(), args, kwargs); err != nil {
		return nil, err
	}
	return newDecision("move", dispatch.DrainVerdict{Move: true}), nil
}

func builtinRandom(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	n := 0
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "n", &n); err != nil {
		return nil, err
	}
	return starlark.MakeInt(rand.IntN(max(1, n))), nil
}

func builtinSample(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	n, k := 0, 0
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "n", &n, "k", &k); err != nil {
		return nil, err
	}
	chosen := rand.Perm(max(0, n))[:min(max(0, n), max(0, k))]
	list := make([]starlark.Value, len(chosen))
	for i, v := range chosen {
		list[i] = starlark.MakeInt(v)
	}
	return starlark.NewList(list), nil
}

func builtinMedian(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var list starlark.Iterable
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "values", &list); err != nil {
		return nil, err
	}
	var values []float64
	it := list.Iterate()
	defer it.Done()
	for v := starlark.Value(nil); it.Next(&v); {
		f, _ := starlark.AsFloat(v)
		values = append(values, f)
	}
	if len(values) == 0 {
		return starlark.Float(1), nil
	}
	sort.Float64s(values)
	return starlark.Float(values[len(values)/2]), nil
}

// newStruct returns a Starlark struct with the given fields.
func newStruct(d starlark.StringDict) starlark.Value {
	return starlarkstruct.FromStringDict(starlarkstruct.Default, d)
}

func jobValue(j dispatch.JobView) starlark.Value {
	return newStruct(starlark.StringDict{
		"member":           starlark.String(j.Member),
		"kind":             starlark.String(j.Kind),
		"tasks":            starlark.MakeInt(j.Tasks),
		"expect_ms":        starlark.Float(j.ExpectMS),
		"longest_ms":       starlark.Float(j.LongestMS),
		"deadline_ms":      starlark.Float(j.DeadlineMS),
		"expected_wait_ms": starlark.Float(j.ExpectedWaitMS),
		"max_wait_ms":      starlark.Float(j.MaxWaitMS),
		"home_waiting":     starlark.MakeInt(j.HomeWaiting),
		"member_waiting":   starlark.MakeInt(j.MemberWaiting),
		"slots":            starlark.MakeInt(j.Slots),
		"free":             starlark.MakeInt(j.Free),
		"domain":           starlark.String(j.Domain),
	})
}

func targetsValue(targets []dispatch.TargetView) starlark.Value {
	list := make([]starlark.Value, len(targets))
	for i, t := range targets {
		list[i] = newStruct(starlark.StringDict{
			"index":      starlark.MakeInt(i),
			"name":       starlark.String(t.Name),
			"domain":     starlark.String(t.Domain),
			"self":       starlark.Bool(t.Self),
			"slots":      starlark.MakeInt(t.Slots),
			"free":       starlark.MakeInt(t.Free),
			"waiting":    starlark.MakeInt(t.Waiting),
			"pace":       starlark.Float(t.Pace),
			"service_ms": starlark.Float(t.ServiceMS),
			"tie":        starlark.Float(t.Tie),
		})
	}
	return starlark.NewList(list)
}

func retryValue(r dispatch.RetryView) starlark.Value {
	return newStruct(starlark.StringDict{
		"kind":     starlark.String(r.Kind),
		"refusals": starlark.MakeInt(r.Refusals),
		"left_ms":  starlark.Float(r.LeftMS),
	})
}

func drainValue(d dispatch.DrainView) starlark.Value {
	return newStruct(starlark.StringDict{
		"jobs":    starlark.MakeInt(d.Jobs),
		"waiting": starlark.MakeInt(d.Waiting),
	})
}
