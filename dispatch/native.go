package dispatch

import (
	"math"
	"sort"
)

// Native is the built-in policy: free slots first, and late binding for what
// finds none. It is the twin of the shipped Starlark default
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
	// staleSlots are the free slots of another target that are left alone.
	staleSlots = 1
	// nearWeight favours targets of the home's failure domain.
	nearWeight = 1.5
	// patientRounds is the length of the home's queue, in rounds of the own
	// slots, up to which tasks wait at the own target only.
	patientRounds = 0.25
	// fewOthers is how many other targets a longer queue waits at, at least.
	fewOthers = 1
)

// Admit implements Policy.Admit. It refuses a job whose expected wait leaves no
// time to run before the deadline or passes the configured bound.
func (Native) Admit(j JobView) Verdict {
	if j.Slots == 0 {
		return Verdict{Reason: reasonNoTarget, RetryAfterMS: 1000}
	}
	late := j.ExpectedWaitMS+j.LongestMS > j.DeadlineMS
	if late || j.ExpectedWaitMS > j.MaxWaitMS {
		return Verdict{Reason: ReasonOverloaded, RetryAfterMS: uint32(min(5000, max(50, j.ExpectedWaitMS/2)))}
	}
	return Verdict{Admit: true}
}

// Place implements Policy.Place. Known free slots are used at once. What finds
// none waits at the home's own target, where a slot costs no message, and at a
// few others if that would take long.
func (Native) Place(j JobView, targets []TargetView) Plan {
	order := rank(j, targets)
	var plan Plan
	left := j.Tasks
	for _, i := range order {
		n := min(left, usable(targets[i]))
		if n > 0 {
			plan.Start = append(plan.Start, Share{Target: i, N: n})
			left -= n
		}
	}
	if left > 0 {
		plan.Wait = waits(j, targets, order, left)
		plan.Eager = true
	}
	return plan
}

// usable returns the slots that a job may count on. What is known of another
// target is a little old, so its last slot is left to its own home.
func usable(t TargetView) int {
	if t.Self {
		return t.Free
	}
	return t.Free - staleSlots
}

// waits returns where the tasks that found no slot wait: first the own target.
func waits(j JobView, targets []TargetView, order []int, left int) []int {
	if len(order) == 0 || !targets[order[0]].Self {
		return order
	}
	own := targets[order[0]]
	rounds := float64(j.HomeWaiting+left) / float64(max(1, own.Slots))
	if rounds <= patientRounds {
		return order[:1]
	}
	list := append([]int{}, order...)
	others := list[1:]
	sort.SliceStable(others, func(a, b int) bool {
		x, y := targets[others[a]], targets[others[b]]
		if x.Waiting != y.Waiting {
			return x.Waiting < y.Waiting
		}
		return x.Tie < y.Tie
	})
	enough := 1 + fewOthers + int(rounds)
	return list[:min(enough, len(list))]
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

// rank orders the targets that are not slow: the home's own first, then the
// others by their free slots times a drawn number, those of the own failure
// domain with more weight.
func rank(j JobView, targets []TargetView) []int {
	limit := slowPace * medianPace(targets)
	var order []int
	for i, t := range targets {
		if t.Pace <= limit {
			order = append(order, i)
		}
	}
	weight := func(t TargetView) float64 {
		if t.Self {
			return math.Inf(1)
		}
		if t.Domain == j.Domain {
			return nearWeight * float64(t.Free) * t.Tie
		}
		return float64(t.Free) * t.Tie
	}
	sort.SliceStable(order, func(a, b int) bool {
		return weight(targets[order[a]]) > weight(targets[order[b]])
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
