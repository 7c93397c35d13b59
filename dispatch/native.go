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
	// queueShare bounds the queue of another gate that is still joined, as a
	// share of its slots.
	queueShare = 4
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

// Place implements Policy.Place. Known free slots are used at once. What finds
// none waits at the home's own target, where a slot costs no message, as long as
// the home's queue is short; then it goes into the short queues of other gates.
// Only what finds no place there either asks a few targets for a slot.
func (Native) Place(j JobView, targets []TargetView) Plan {
	order := rank(j, targets)
	take := make([]int, len(targets))
	left := j.Tasks
	for _, i := range order {
		n := max(0, min(left, usable(targets[i])))
		take[i] += n
		left -= n
	}
	left -= enqueue(j, targets, order, take, left)
	var plan Plan
	for _, i := range order {
		if take[i] > 0 {
			plan.Start = append(plan.Start, Share{Target: i, N: take[i]})
		}
	}
	if left > 0 {
		plan.Wait = waits(j, targets, order, left)
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

// patience returns how many tasks may wait at the home before other gates'
// queues are used.
func patience(own TargetView) int {
	return int(patientRounds * float64(own.Slots))
}

// enqueue gives tasks that would wait too long at the home to the queues of
// other gates, one round over all of them, and returns how many it gave.
func enqueue(j JobView, targets []TargetView, order, take []int, left int) int {
	if len(order) == 0 {
		return 0
	}
	over := left
	if own := targets[order[0]]; own.Self {
		over = min(left, j.HomeWaiting+left-patience(own))
	}
	given := 0
	for _, i := range byQueue(targets, order) {
		t := targets[i]
		if given >= over || t.Room == 0 || t.Queued > t.Slots/queueShare {
			continue
		}
		take[i]++
		given++
	}
	return max(0, given)
}

// byQueue orders the other targets by their queues, the shortest first.
func byQueue(targets []TargetView, order []int) []int {
	var others []int
	for _, i := range order {
		if !targets[i].Self {
			others = append(others, i)
		}
	}
	sort.SliceStable(others, func(a, b int) bool {
		x, y := targets[others[a]], targets[others[b]]
		if dx, dy := x.Queued-x.Free, y.Queued-y.Free; dx != dy {
			return dx < dy
		}
		return x.Tie < y.Tie
	})
	return others
}

// waits returns where the tasks that found no place wait: at the own target,
// and at a few others for each round of its slots that the queue is long.
func waits(j JobView, targets []TargetView, order []int, left int) []int {
	if len(order) == 0 || !targets[order[0]].Self {
		return order
	}
	rounds := (j.HomeWaiting + left) / max(1, targets[order[0]].Slots)
	others := byQueue(targets, order)
	return append(order[:1:1], others[:min(rounds, len(others))]...)
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
