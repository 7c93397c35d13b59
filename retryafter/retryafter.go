// Package retryafter decides when refused callers are told to return.
//
// Callers that are all told to return at the same time raise the demand above the capacity
// again. A Scheduler therefore records the refused work and the work that was told to return
// in each coming second. A Memory records the ids of refused jobs.
//
// The package has no clock: times are passed in, relative to any fixed start.
package retryafter

import (
	"math"
	"math/rand/v2"
	"time"
)

// Enabled reports whether delays above a second are given if limit is the longest one.
// Delays are whole seconds, so a limit below two seconds leaves no choice.
func Enabled(limit time.Duration) bool { return limit >= 2*time.Second }

// Unknown returns the delay for a refusal of which nobody knows how long its reason lasts:
// 1 or 2 s at random, or 1 s if the limit allows no more. Random returns a number in [0, n).
func Unknown(limit time.Duration, random func(n int) int) time.Duration {
	if !Enabled(limit) {
		return time.Second
	}
	return time.Duration(1+random(2)) * time.Second
}

const (
	// minReturnShare is the smallest share of the capacity that is left for returning work,
	// also while first attempts alone need all of it: the end of an overload can't be
	// predicted. With it, first attempts that need 1.1 times the capacity stay within 1.2
	// times together with what returns.
	minReturnShare = 0.1
	// slots is the size of the ring of coming seconds; delays must be shorter.
	slots = 64
)

// Load is what an owner knows when it refuses a job. Work is in thousandths of core-seconds,
// capacity in thousandths of a core.
type Load struct {
	// Work is the work of the refused job.
	Work float64
	// Ahead is the owner's own work that is served before the job.
	Ahead float64
	// Wait is the time that the owner expects until then. It may assume that other owners
	// have as much work, so a higher rate of the last seconds takes precedence.
	Wait time.Duration
	// Capacity is the capacity of all linked targets.
	Capacity float64
	// Share is the part of the capacity that the owner can expect beside other owners.
	Share float64
}

// Scheduler chooses the delays of an owner's refusals. It is not safe for concurrent use.
type Scheduler struct {
	limit  int
	random *rand.Rand
	// first is the work of first attempts, refused the refused work, served the work that
	// was done.
	first, refused, served window
	// returning is the work that was told to return in each second, by the second modulo
	// slots. Entries up to the second current are cleared.
	returning [slots]float64
	current   int64
}

// NewScheduler returns a scheduler whose longest delay is limit, in whole seconds.
func NewScheduler(limit time.Duration, random *rand.Rand) *Scheduler {
	return &Scheduler{limit: min(max(1, int(limit/time.Second)), slots-1), random: random}
}

// Arrived records the first attempt of a job, whether it is admitted or not.
func (s *Scheduler) Arrived(now time.Duration, work float64) { s.first.add(now, work) }

// Served records work that was done.
func (s *Scheduler) Served(now time.Duration, work float64) { s.served.add(now, work) }

// Longest returns the longest delay, for a refusal whose reason lasts until an operator acts.
func (s *Scheduler) Longest(now time.Duration, work float64) time.Duration {
	return s.tell(now, s.limit, work)
}

// Unknown returns 1 or 2 s at random; see the function Unknown.
func (s *Scheduler) Unknown(now time.Duration, work float64) time.Duration {
	return s.tell(now, min(s.limit, 1+s.random.IntN(2)), work)
}

// Delay returns the delay for a job that is refused because of the load.
//
// The delay is the wait for the work ahead, plus jitter over the time that the work refused
// in the last 2 s needs, rounded up. If more work was told to return in that second than is
// free then, the next second with free capacity is taken; if there is none up to the limit,
// the one with the least returning work.
func (s *Scheduler) Delay(now time.Duration, l Load) time.Duration {
	s.refused.add(now, l.Work)
	rate := s.rate(now, l)
	if rate <= 0 {
		return s.Unknown(now, l.Work)
	}
	s.advance(now)
	wait := min(l.Wait.Seconds(), l.Ahead/rate)
	jitter := s.random.Float64() * s.refused.sum(now, windowLength) / rate
	earliest := s.whole(wait)
	preferred := s.whole(wait + jitter)
	free := s.freeFor(now, rate)
	best := preferred
	for i := range s.limit - earliest + 1 {
		// Seconds after the preferred one come first, then those before it.
		d := earliest + (preferred-earliest+i)%(s.limit-earliest+1)
		told := s.told(d)
		if told == 0 || told+l.Work <= free {
			return s.tell(now, d, l.Work)
		}
		if told < s.told(best) {
			best = d
		}
	}
	return s.tell(now, best, l.Work)
}

// rate returns the work that the owner gets served in a second: what it was served of late,
// but at least its share, which it gets once it has enough work.
func (s *Scheduler) rate(now time.Duration, l Load) float64 {
	served := s.served.sum(now, windowLength) / windowLength.Seconds()
	return min(l.Capacity, max(l.Share, served))
}

// freeFor returns the work that may return in one second: what first attempts leave free.
// Their demand is the higher of those in the last and the last two seconds, so that a burst
// is noticed soon.
func (s *Scheduler) freeFor(now time.Duration, rate float64) float64 {
	first := max(s.first.sum(now, time.Second), s.first.sum(now, windowLength)/windowLength.Seconds())
	return max(rate-first, minReturnShare*rate)
}

// whole rounds seconds up to a delay within the limits.
func (s *Scheduler) whole(seconds float64) int {
	return int(min(max(1, math.Ceil(seconds)), float64(s.limit)))
}

// advance clears the entries of seconds that have begun.
func (s *Scheduler) advance(now time.Duration) {
	second := int64(now / time.Second)
	if second-s.current >= slots {
		s.returning = [slots]float64{}
		s.current = second
	}
	for ; s.current < second; s.current++ {
		s.returning[(s.current+1)%slots] = 0
	}
}

// told returns the work that was told to return in the second after a delay.
func (s *Scheduler) told(delay int) float64 {
	return s.returning[(s.current+int64(delay))%slots]
}

// tell records that work was told to return after a delay.
func (s *Scheduler) tell(now time.Duration, delay int, work float64) time.Duration {
	s.advance(now)
	s.returning[(s.current+int64(delay))%slots] += work
	return time.Duration(delay) * time.Second
}
