// Package share accounts for the work that classes of jobs request and are served, and
// computes by how much jobs of a class that is served worse than the others are
// scheduled earlier.
//
// Accounts is a state machine: events and their times come in, steps and ratios go out.
// It isn't safe for concurrent use.
package share

import (
	"math"
	"time"
)

// Parameters of the shares.
const (
	// decay is the time constant with which work is forgotten. It covers several
	// objectives of jobs with tasks of a second, and is short against the bursts to be
	// evened out, which last several seconds.
	decay = 2 * time.Second
	// tolerance is how far the served ratio of a class may be below that of all classes
	// before the class is lifted. Equal classes differ by up to 0.06 by chance.
	tolerance = 0.065
	// fullShortfall is the shortfall from which the step is the largest. A class settles
	// a little above it, and is to stay within 0.1 of all classes. Between the two the step
	// grows linearly.
	fullShortfall = 0.08
	// wideFactor is how much larger than the mean of its queue a wide job is.
	wideFactor = 2
	// meanJobs is the number of jobs that the mean of a queue covers.
	meanJobs = 100
	// maxClasses bounds the classes that are remembered; a queue has two.
	maxClasses = 256
	maxQueues  = maxClasses / 2
	// negligible is the work, in core-milliseconds, below which a class has none: it is far
	// below that of any job.
	negligible = 1e-3
)

// Class identifies jobs that compete for capacity as one: those of a queue that are
// wide, or those that are not.
type Class struct {
	// Service is the service whose targets the queue uses. Classes compete only with
	// others of the same service.
	Service, Queue string
	// Wide jobs can use more than twice as much capacity at one time as the mean of their
	// queue's jobs.
	Wide bool
}

// Job is what a job adds to its class.
type Job struct {
	Class Class
	// Work is the work of all its tasks in core-milliseconds.
	Work float64
}

// Served describes how much of the requested work of a class was served.
type Served struct {
	// Ratio is the served share of the requested work, 1 if none was requested.
	Ratio float64
	// Judged is the ratio that decides about a step: as if one of the lost jobs, of their
	// mean size, had been served. So the loss of a single job doesn't make a class of a
	// few jobs count as underserved.
	Judged float64
}

// Accounts holds the accounts of the classes.
type Accounts struct {
	maxStep  time.Duration
	queues   map[queueKey]*queueAccount
	services map[string]*account
	// uses numbers the uses of queues, to find the least recently used one.
	uses uint64
}

type queueKey struct{ service, queue string }

// queueAccount holds the two classes of a queue.
type queueAccount struct {
	// meanNeed is the mean capacity that the last jobs needed; jobs is their number, at
	// most meanJobs.
	meanNeed float64
	jobs     float64
	used     uint64
	classes  [2]account
	// lifted is whether each class was last reported as lifted; see Changes.
	lifted [2]bool
}

// account has the work of a class, decayed up to a time.
type account struct {
	at time.Duration
	// requested is the work of all jobs, from their arrival. lost is that of the jobs that
	// were not served in time, from when that is known.
	requested, lost float64
	// lostSquares is the sum of the squares of the lost jobs' work. Divided by lost it is
	// their mean size, weighted by work, so that one large job isn't hidden by small ones.
	lostSquares float64
}

// New returns accounts without classes. The step of a class is at most maxStep.
func New(maxStep time.Duration) *Accounts {
	return &Accounts{maxStep: maxStep, queues: map[queueKey]*queueAccount{}, services: map[string]*account{}}
}

// ClassOf returns the class of a job that can use this much capacity at one time.
func (a *Accounts) ClassOf(service, queue string, need int) Class {
	c := Class{Service: service, Queue: queue}
	if q := a.queues[queueKey{service, queue}]; q != nil && q.jobs > 0 {
		c.Wide = float64(need) > wideFactor*q.meanNeed
	}
	return c
}

// Arrived accounts for a job that is admitted. It counts as served until it is lost: if
// work counted as served only once it is done, each rise of the demand would make the
// classes with the longest tasks appear underserved for the time of a run.
func (a *Accounts) Arrived(now time.Duration, j Job, need int) {
	q := a.use(j.Class)
	q.jobs = min(q.jobs+1, meanJobs)
	q.meanNeed += (float64(need) - q.meanNeed) / q.jobs
	a.add(now, j, j.Work, 0)
}

// Refused accounts for a job that is refused at its arrival.
func (a *Accounts) Refused(now time.Duration, j Job, need int) {
	a.Arrived(now, j, need)
	a.Lost(now, j)
}

// Lost accounts for a job that was admitted and is not served in time. Its loss isn't
// dated back to its arrival: losses of jobs with long tasks become known late and would
// hardly count otherwise.
func (a *Accounts) Lost(now time.Duration, j Job) {
	a.add(now, j, 0, j.Work)
}

// Withdrawn removes a job, admitted the given time ago, of which it will not be known
// whether it would have been served in time.
func (a *Accounts) Withdrawn(now time.Duration, j Job, age time.Duration) {
	a.add(now, j, -j.Work*remaining(age), 0)
}

// add adds work of a job to its class and to the classes of its service together. If the class
// was evicted while the job was under way, the job no longer counts.
func (a *Accounts) add(now time.Duration, j Job, requested, lost float64) {
	q := a.queues[queueKey{j.Class.Service, j.Class.Queue}]
	if q == nil {
		return
	}
	for _, account := range [...]*account{&q.classes[j.Class.index()], a.services[j.Class.Service]} {
		account.decayTo(now)
		account.requested = max(0, account.requested+requested)
		account.lost += lost
		account.lostSquares += lost * lost
	}
}

// use returns the account of a class's queue, as the most recently used one.
func (a *Accounts) use(c Class) *queueAccount {
	key := queueKey{c.Service, c.Queue}
	q := a.queues[key]
	if q == nil {
		if len(a.queues) >= maxQueues {
			a.evict()
		}
		q = &queueAccount{}
		a.queues[key] = q
	}
	if a.services[c.Service] == nil {
		a.services[c.Service] = &account{}
	}
	a.uses++
	q.used = a.uses
	return q
}

// evict removes the queue that was used least recently, and its service if it was the
// last of it.
func (a *Accounts) evict() {
	var oldest queueKey
	used := uint64(math.MaxUint64)
	for key, q := range a.queues {
		if q.used < used {
			oldest, used = key, q.used
		}
	}
	delete(a.queues, oldest)
	for key := range a.queues {
		if key.service == oldest.service {
			return
		}
	}
	delete(a.services, oldest.service)
}

// Step returns by how much earlier jobs of a class count as due.
func (a *Accounts) Step(now time.Duration, c Class) time.Duration {
	whole := a.services[c.Service]
	if whole == nil {
		return 0
	}
	shortfall := whole.read(now).Ratio - a.Served(now, c).Judged
	if shortfall <= tolerance {
		return 0
	}
	return time.Duration(float64(a.maxStep) * min(1, (shortfall-tolerance)/(fullShortfall-tolerance)))
}

// Served returns how much of the requested work of a class was served.
func (a *Accounts) Served(now time.Duration, c Class) Served {
	q := a.queues[queueKey{c.Service, c.Queue}]
	if q == nil {
		return Served{Ratio: 1, Judged: 1}
	}
	return q.classes[c.index()].read(now)
}

// Summary returns the served ratio of all classes, and that of the class that is served
// worst (see Served.Judged); both are 1 without requested work.
func (a *Accounts) Summary(now time.Duration) (all, worst float64) {
	together := account{at: now}
	for _, s := range a.services {
		s.decayTo(now)
		together.requested += s.requested
		together.lost += s.lost
	}
	all, worst = together.read(now).Ratio, 1
	for _, q := range a.queues {
		for i := range q.classes {
			worst = min(worst, q.classes[i].read(now).Judged)
		}
	}
	return all, worst
}

// Change reports that a class begins or ceases to be lifted.
type Change struct {
	Class  Class
	Lifted bool
	// Served and All are the served ratios of the class and of its service.
	Served, All float64
	Step        time.Duration
}

// Changes returns which classes begin or cease to be lifted since they were last
// returned, at most limit of them.
func (a *Accounts) Changes(now time.Duration, limit int) []Change {
	var changes []Change
	for key, q := range a.queues {
		for i := range q.classes {
			if len(changes) >= limit {
				return changes
			}
			c := Class{Service: key.service, Queue: key.queue, Wide: i == 1}
			step := a.Step(now, c)
			if lifted := step > 0; lifted != q.lifted[i] {
				q.lifted[i] = lifted
				changes = append(changes, Change{
					Class: c, Lifted: lifted, Step: step,
					Served: q.classes[i].read(now).Ratio, All: a.services[key.service].read(now).Ratio,
				})
			}
		}
	}
	return changes
}

func (c Class) index() int {
	if c.Wide {
		return 1
	}
	return 0
}

// remaining returns what is left of work after the given time.
func remaining(age time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / decay.Seconds())
}

func (a *account) decayTo(now time.Duration) {
	if now <= a.at {
		return
	}
	left := remaining(now - a.at)
	a.at = now
	a.requested *= left
	a.lost *= left
	a.lostSquares *= left
}

func (a *account) read(now time.Duration) Served {
	a.decayTo(now)
	if a.requested < negligible {
		return Served{Ratio: 1, Judged: 1}
	}
	one := 0.0
	if a.lost >= negligible {
		one = a.lostSquares / a.lost
	}
	return Served{Ratio: max(0, 1-a.lost/a.requested), Judged: max(0, 1-max(0, a.lost-one)/a.requested)}
}
