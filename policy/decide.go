package policy

import (
	"github.com/rotisserie/eris"
	"go.starlark.net/starlark"

	"rackspur/dispatch"
)

// unwrap returns the typed result of a program's decision.
func unwrap[T any](v starlark.Value) (T, error) {
	var zero T
	d, ok := v.(*decision)
	if !ok {
		return zero, eris.Wrapf(ErrDecision, "returned %s, not a decision", v.Type())
	}
	result, ok := d.result.(T)
	if !ok {
		return zero, eris.Wrapf(ErrDecision, "%s is no answer to this hook", v.String())
	}
	return result, nil
}

func (p *Program) admit(j dispatch.JobView) (dispatch.Verdict, uint64, error) {
	v, steps, err := p.call(HookAdmit, jobValue(j))
	if err != nil {
		return dispatch.Verdict{}, steps, err
	}
	verdict, err := unwrap[dispatch.Verdict](v)
	return verdict, steps, err
}

func (p *Program) place(j dispatch.JobView, targets []dispatch.TargetView) (dispatch.Plan, uint64, error) {
	v, steps, err := p.call(HookPlace, jobValue(j), targetsValue(targets))
	if err != nil {
		return dispatch.Plan{}, steps, err
	}
	raw, err := unwrap[rawPlan](v)
	if err != nil {
		return dispatch.Plan{}, steps, err
	}
	plan, err := raw.check(len(targets), j.Tasks)
	return plan, steps, err
}

// check converts the plan. Indexes must be valid, and no more tasks may be started than
// the job has.
func (p rawPlan) check(targets, tasks int) (dispatch.Plan, error) {
	plan := dispatch.Plan{Eager: p.eager}
	total := 0
	shares := p.start.Iterate()
	defer shares.Done()
	for v := starlark.Value(nil); shares.Next(&v); {
		pair, ok := v.(starlark.Tuple)
		if !ok || len(pair) != 2 {
			return plan, eris.Wrap(ErrDecision, "start: want pairs of a target's index and a number of tasks")
		}
		i, err := index(pair[0], targets)
		if err != nil {
			return plan, err
		}
		n, err := starlark.AsInt32(pair[1])
		if err != nil || n < 0 {
			return plan, eris.Wrap(ErrDecision, "start: the number of tasks must be 0 or more")
		}
		total += n
		plan.Start = append(plan.Start, dispatch.Share{Target: i, N: n})
	}
	if total > tasks {
		return plan, eris.Wrapf(ErrDecision, "start: %d tasks of a job with %d", total, tasks)
	}
	waits := p.wait.Iterate()
	defer waits.Done()
	for v := starlark.Value(nil); waits.Next(&v); {
		i, err := index(v, targets)
		if err != nil {
			return plan, err
		}
		plan.Wait = append(plan.Wait, i)
	}
	return plan, nil
}

func index(v starlark.Value, targets int) (int, error) {
	i, err := starlark.AsInt32(v)
	if err != nil || i < 0 || i >= targets {
		return 0, eris.Wrapf(ErrDecision, "%s is no index of a target", v)
	}
	return i, nil
}

func (p *Program) retry(r dispatch.RetryView) (dispatch.RetryVerdict, uint64, error) {
	v, steps, err := p.call(HookRetry, retryValue(r))
	if err != nil {
		return dispatch.RetryVerdict{}, steps, err
	}
	verdict, err := unwrap[dispatch.RetryVerdict](v)
	return verdict, steps, err
}

func (p *Program) drain(d dispatch.DrainView) (dispatch.DrainVerdict, uint64, error) {
	v, steps, err := p.call(HookDrain, drainValue(d))
	if err != nil {
		return dispatch.DrainVerdict{}, steps, err
	}
	// A program answers with move() or refuse(reason).
	if refusal, err := unwrap[dispatch.Verdict](v); err == nil && !refusal.Admit {
		return dispatch.DrainVerdict{Reason: refusal.Reason, RetryAfterMS: refusal.RetryAfterMS}, steps, nil
	}
	verdict, err := unwrap[dispatch.DrainVerdict](v)
	return verdict, steps, err
}
