package owner

import (
	"time"

	"rackspur/dispatch"
	"rackspur/gate"
	"rackspur/job"
)

// Policy makes the decisions that operators can program. Hard constraints (room,
// labels, spread, gates to avoid) are not left to it: Place is given only gates that
// satisfy them.
type Policy interface {
	// Admit decides whether a new job is admitted.
	Admit(j dispatch.JobView) dispatch.Verdict
	// Place chooses a target for one task: one to start at, or several of which any may
	// take the task as soon as it has room.
	Place(j dispatch.JobView, targets []dispatch.TargetView) dispatch.Plan
}

// admitsByPolicy asks the policy whether a new job is admitted.
func (o *Owner) admitsByPolicy(f *figures) bool {
	now, j := f.now, f.job
	v := o.jobView(now, j, &j.record.Steps[0])
	v.Tasks = len(j.tasks)
	v.ExpectedWaitMS = milliseconds(f.wait().wait)
	for _, g := range f.usable {
		if g.report.Service != j.record.Queue.Service {
			continue
		}
		t := o.targetView(g, j.record.Steps[0].Need)
		v.Slots += t.Slots
		v.Free += t.Free
	}
	return o.options.Policy.Admit(v).Admit
}

// chooseByPolicy asks the policy for the gate of a task; nil lets the task wait.
func (o *Owner) chooseByPolicy(now Time, usable []*gateView, median float64, t *task) *gateView {
	var gates []*gateView
	var views []dispatch.TargetView
	for _, v := range usable {
		if _, ok := o.score(now, v, t, median); !ok {
			continue
		}
		view := o.targetView(v, t.step.Need)
		view.Tie = o.random.Float64()
		gates = append(gates, v)
		views = append(views, view)
	}
	if len(gates) == 0 {
		o.clearAvoided(usable, t)
		return nil
	}
	view := o.jobView(now, t.job, t.step)
	for _, v := range views {
		view.Slots += v.Slots
		view.Free += v.Free
	}
	if i, ok := placeOf(o.options.Policy.Place(view, views), views); ok {
		return gates[i]
	}
	return nil
}

// placeOf returns the target that a plan for one task selects: the first to start at,
// else the one with the most room among those to wait at.
func placeOf(p dispatch.Plan, targets []dispatch.TargetView) (best int, ok bool) {
	for _, s := range p.Start {
		if s.N > 0 && s.Target >= 0 && s.Target < len(targets) {
			return s.Target, true
		}
	}
	for _, i := range p.Wait {
		if i < 0 || i >= len(targets) || targets[i].Free == 0 {
			continue
		}
		if !ok || targets[i].Free > targets[best].Free {
			best, ok = i, true
		}
	}
	return best, ok
}

// jobView returns the policy's view of a job, for one task of a step.
func (o *Owner) jobView(now Time, j *liveJob, s *job.Step) dispatch.JobView {
	return dispatch.JobView{
		Submission: string(j.record.ID), Kind: j.record.Queue.Name, Tasks: 1,
		ExpectMS: float64(s.EstimateMS), LongestMS: milliseconds(j.criticalPath()),
		DeadlineMS: milliseconds(j.objective - now), MaxWaitMS: milliseconds(j.startBy - now),
		HomeWaiting: o.waiting.len(),
	}
}

// targetView returns the policy's view of a gate. Its room is the number of tasks with
// this need that fit, including those that may be queued at the gate.
func (o *Owner) targetView(v *gateView, need job.Resources) dispatch.TargetView {
	capacity := v.report.Capacity
	free := v.free().Plus(job.Resources{CPU: capacity.CPU * gate.QueueShare / 1000})
	return dispatch.TargetView{
		Name: v.name, Domain: v.domain, Slots: tasksIn(capacity, need), Free: tasksIn(free, need), Pace: o.pace(v),
	}
}

// tasksIn returns how many tasks with this need fit into a room.
func tasksIn(room, need job.Resources) int {
	n := job.MaxTasks
	for _, r := range [...]struct{ room, need int }{{room.CPU, need.CPU}, {room.Memory, need.Memory}, {room.GPU, need.GPU}} {
		if r.need > 0 {
			n = min(n, max(0, r.room)/r.need)
		}
	}
	return n
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
