package dispatch

import "sort"

// Native is the built-in policy: free slots first, nearest first, and late
// binding for what finds none. It is the twin of the shipped Starlark default
// and what remains when a program fails.
type Native struct{}

const (
	// slowPace is the ratio to the median pace from which a target counts as slow.
	slowPace = 3
	// maxRefusals is how often a task may be refused before its job is.
	maxRefusals = 20
	// pauseAfter is the number of refusals from which a task is held back.
	pauseAfter   = 3
	refusalPause = 5
)

// Admit implements Policy.Admit. It refuses a job whose expected wait leaves no
// time to run before the deadline or passes the configured bound.
func (Native) Admit(j JobView) Verdict {
	if j.Slots == 0 {
		return Verdict{Reason: "no-target", RetryAfterMS: 1000}
	}
	late := j.ExpectedWaitMS+j.LongestMS > j.DeadlineMS
	if late || j.ExpectedWaitMS > j.MaxWaitMS {
		return Verdict{Reason: "overloaded", RetryAfterMS: uint32(min(5000, max(50, j.ExpectedWaitMS/2)))}
	}
	return Verdict{Admit: true}
}

// Place implements Policy.Place.
func (Native) Place(j JobView, targets []TargetView) Plan {
	order := rank(j, targets)
	var plan Plan
	left := j.Tasks
	for _, i := range order {
		n := min(left, targets[i].Free)
		if n > 0 {
			plan.Start = append(plan.Start, Share{Target: i, N: n})
			left -= n
		}
	}
	if left > 0 {
		plan.Wait = order
	}
	return plan
}

// Retry implements Policy.Retry.
func (Native) Retry(r RetryView) RetryVerdict {
	if r.Refusals > maxRefusals {
		return RetryVerdict{}
	}
	if r.Refusals >= pauseAfter {
		return RetryVerdict{Again: true, AfterMS: refusalPause}
	}
	return RetryVerdict{Again: true}
}

// Drain implements Policy.Drain. What waits is moved to other targets.
func (Native) Drain(DrainView) DrainVerdict {
	return DrainVerdict{Move: true}
}

// rank orders the targets that are not slow: the home's own first, then its
// failure domain, then those with the most free slots.
func rank(j JobView, targets []TargetView) []int {
	limit := slowPace * medianPace(targets)
	var order []int
	for i, t := range targets {
		if t.Pace <= limit {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := targets[order[a]], targets[order[b]]
		if x.Self != y.Self {
			return x.Self
		}
		if near := x.Domain == j.Domain; near != (y.Domain == j.Domain) {
			return near
		}
		return x.Free > y.Free
	})
	return order
}

func medianPace(targets []TargetView) float64 {
	paces := make([]float64, len(targets))
	for i, t := range targets {
		paces[i] = t.Pace
	}
	sort.Float64s(paces)
	if len(paces) == 0 {
		return 1
	}
	return paces[len(paces)/2]
}
