package agent

import (
	"context"
	"encoding/hex"
	"errors"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"rackspur/dispatch"
	"rackspur/id"
	"rackspur/observe"
	"rackspur/target"
	"rackspur/wire"
)

// usagePause is the time between two looks at a target's usage report.
const usagePause = 100 * time.Millisecond

// holdMargin is how long after the end of a lease a target may still be busy.
const holdMargin = 250 * time.Millisecond

// taskID names a task towards the target.
func taskID(home id.Incarnation, k *wire.TaskKey) string {
	return home.String() + "." + hex.EncodeToString(k.GetSubmission()) + "." + strconv.FormatUint(uint64(k.GetIndex()), 10)
}

// runTask sends a started task to the target, once, and reports its end.
func (n *node) runTask(run *dispatch.Run) {
	ctx := observe.WithTraceParent(context.Background(), run.Start.GetTraceparent())
	n.metrics.Count(observe.MetricTasksStarted, 1)
	go func() {
		begun := time.Now()
		result, answered := n.callTarget(ctx, run)
		if !answered {
			n.holdSlot(begun.Add(time.Duration(run.Start.GetLeaseMs())*time.Millisecond + holdMargin))
		}
		n.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
			return nil, n.gate.Done(now, run, result)
		})
	}()
}

// holdSlot keeps the slot of a task without an answer from use until its lease
// is over at the target too.
func (n *node) holdSlot(until time.Time) {
	n.do(func(dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		n.gate.Hold()
		return nil, nil
	})
	time.AfterFunc(time.Until(until), func() {
		n.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
			return nil, n.gate.Release(now)
		})
	})
}

// callTarget runs a task and reports its result, and whether the target
// answered in full, so that the slot is free for certain.
func (n *node) callTarget(ctx context.Context, run *dispatch.Run) (*wire.Result, bool) {
	start := run.Start
	ctx, span := observe.Span(ctx, "gate.run", attribute.String("rackspur.member", start.GetMember()), attribute.String("rackspur.kind", start.GetKind()))
	defer span.End()
	begun := time.Now()
	body, err := n.target.Run(ctx, target.Task{
		ID:      taskID(run.Home, start.GetKey()),
		Member:  start.GetMember(),
		Kind:    start.GetKind(),
		Payload: start.GetPayload(),
		Lease:   time.Duration(start.GetLeaseMs()) * time.Millisecond,
	})
	took := time.Since(begun)
	n.metrics.Time(observe.MetricTaskTime, took.Microseconds())
	r := &wire.Result{
		Key:    start.GetKey(),
		Status: wire.TaskStatus_TASK_STATUS_DONE,
		Result: body,
		RunUs:  uint32(took.Microseconds()),
	}
	if err != nil {
		span.RecordError(err)
		r.Status = wire.TaskStatus_TASK_STATUS_FAILED
		r.Error = taskError(err)
	}
	return r, !errors.Is(err, target.ErrBroken)
}

// taskError turns a target's error into what callers are told.
func taskError(err error) string {
	switch {
	case errors.Is(err, target.ErrWrongTask):
		return "the target answered for another task"
	case errors.Is(err, target.ErrBroken):
		return "no whole answer came from the target"
	default:
		return "the target answered with an error"
	}
}

// settleBusy frees the slots that count as busy after the start, once a usage
// report from after the start, or the longest lease, says that they are free.
func (n *node) settleBusy(ctx context.Context, longest time.Duration) {
	started := time.Now()
	for time.Since(started) < longest {
		u, err := n.target.Usage(ctx)
		if err == nil && time.Duration(u.AgeMS)*time.Millisecond < time.Since(started) {
			n.setBusy(u.Running)
			if u.Running == 0 {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(usagePause):
		}
	}
	n.setBusy(0)
}

// setBusy tells the gate how many slots an earlier process may still hold. The
// report also counts the tasks of this process.
func (n *node) setBusy(reported int) {
	n.do(func(dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		return nil, n.gate.SetBusy(max(0, reported-n.gate.Running()))
	})
}
