// Package owner accepts jobs, stores their records, places their tasks on gates and
// processes the results.
//
// Each job has one owner at a time: one incarnation of an entry process. Incarnations
// are fenced in the store. Once its fence row is gone, an incarnation can't write any
// more, and gates accept orders only from the incarnation that has adopted its jobs.
//
// Owner is a state machine under one lock. Events come in with their time, writes go to
// a Writer, and the links to the gates fetch their frames.
package owner

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rackspur/evacuation"
	"rackspur/job"
	"rackspur/rowstore"
	"rackspur/share"
)

// Time is a time on the owner's monotonic clock.
type Time = time.Duration

// Tables in the store.
const (
	// TableJobs has a row for each job that has not ended.
	TableJobs = "jobs"
	// TableFinished has a row for each ended job until Options.KeepFinished has passed.
	TableFinished = "finished"
)

// Writer queues writes to the store.
type Writer interface {
	// Add queues a write to a partition of the store.
	Add(part int, w *rowstore.Write)
	// Withdraw removes a write that was not sent yet and reports whether it did.
	Withdraw(part int, w *rowstore.Write) bool
	// FailingFor returns how long calls to a partition have been failing.
	FailingFor(part int) time.Duration
}

// Options configures an Owner.
type Options struct {
	Incarnation string
	// Parts is the number of partitions of the store that jobs are spread over.
	Parts int
	// ContactTimeout is how long a gate lets runs of durable jobs go on without contact to the
	// owner.
	ContactTimeout time.Duration
	// BestEffortContactTimeout is the same for runs of best-effort jobs.
	BestEffortContactTimeout time.Duration
	// Lease is the longest lease that gates request.
	Lease time.Duration
	// MaxTasks is the number of tasks of live jobs above which jobs are refused; 0 for no limit.
	MaxTasks int
	// KeepFinished is how long the state of an ended job can be queried.
	KeepFinished time.Duration
	Log          logr.Logger
	// Policy makes the decisions that operators can program; nil selects the built-in
	// ones.
	Policy    Policy
	Decisions Decisions
	// OnJobEnd is called with the time from each job's arrival to its end; may be nil.
	OnJobEnd func(took time.Duration)
	// OnRefusal is called with the time after which each refused caller is told to return;
	// may be nil.
	OnRefusal func(retryAfter time.Duration)
	// Now returns the time on the owner's monotonic clock.
	Now func() Time
	// WallClock returns the time of day. It is used in records only.
	WallClock func() time.Time
}

// Timing of an owner.
const (
	// progressDelay is how long changed records wait to be written together.
	progressDelay = 40 * time.Millisecond
	// presumeMargin is added to the time after which the runs at a silent gate count as
	// over.
	presumeMargin = 250 * time.Millisecond
	// rememberEnded is how long the runs of an ended job are remembered.
	rememberEnded = 20 * time.Second
)

// Owner is the state machine; see the package comment.
type Owner struct {
	options Options
	writer  Writer

	mu   sync.Mutex
	jobs map[job.ID]*liveJob
	// tasks is the number of tasks of the jobs.
	tasks int
	ended map[job.ID]*endedJob
	// dropped holds best-effort jobs that were dropped before they ended.
	dropped map[job.ID]*droppedJob
	gates   map[string]*gateView
	// activeGates are the gates that are linked, or were linked and may still have
	// runs, sorted by name. Periodic work iterates over these, so that it does not grow
	// with the fleet.
	activeGates []*gateView
	// allBusy is set while every gate counts as busy.
	allBusy bool
	waiting taskQueue
	// ownWaiting is the waiting work as reported to gates.
	ownWaiting ownWaiting
	random     *rand.Rand
	order      uint64
	// owners is the number of owners that share the targets.
	owners int
	// lastOpen is when a gate was last open, initially the start of the owner.
	lastOpen Time
	// leaseUntil is when the owner's lease expires.
	leaseUntil Time
	stopped    bool
	// adopted are the incarnations whose jobs were adopted so far, adoptions the
	// adoptions in progress.
	adopted   []string
	adoptions []*adoption
	// foreign holds runs of jobs that this owner does not know.
	foreign map[job.ID]*foreignRuns
	// leaseResumed is when the lease was last renewed after it had expired.
	leaseResumed Time
	stats        Stats
	// busyUpdated is when the busy flags of the gates were last updated.
	busyUpdated Time
	// pendingReads is the number of adoptions whose jobs are still being read.
	pendingReads int
	lastSweep    Time
	// unanswered is the number of dropped jobs whose callers were still waiting at the
	// last check, or have begun to wait since.
	unanswered int
	// lastFullSearch is when place last tried all waiting tasks; see misses.
	lastFullSearch Time
	// shortSince is when tasks began to wait for room; 0 while none waits.
	shortSince Time
	// evacuations is the newest state of the evacuated failure domains.
	evacuations evacuation.News
	// measured is the buffer of compareGates.
	measured []float64
	// comparisons holds the newest comparison of the speeds of each service's gates.
	comparisons map[string]comparison
	// means has the mean estimate of the tasks of each service; empty unless tasks are placed
	// by speed.
	means map[string]*meanEstimate
	// lastContact is when another process last reached this one.
	lastContact Time
	// returns holds what is known of refused callers; nil while all are told to return after
	// a second.
	returns *returns

	// shares are the accounts of the classes of jobs; nil without fair shares.
	shares *share.Accounts
	// sharesLogged is when changes of the lifted classes were last logged.
	sharesLogged Time
	log          logr.Logger
}

// Stats are the counters of an owner.
type Stats struct {
	Accepted, Refused, Completed, Failed, Cancelled                  int64
	Placed, Rejected, EndedFailed, Lost, Adopted                     int64
	Late, VeryLate, Dropped, PresumedOver, Discarded, Stalled, Moved int64
	MovedLeaving                                                     int64

	// FailedByCrashes counts the jobs given up because a task crashed its targets.
	FailedByCrashes int64

	// Returned counts jobs that were submitted again after a refusal.
	Returned int64
	// Resumed counts the runs that were not known to be over when their job, which had been
	// dropped, was submitted again.
	Resumed int64

	// PlacedSlow counts tasks placed on a target that is slower than its service's median one,
	// HeldForSpeed how often a task waited for a faster target.
	PlacedSlow, HeldForSpeed int64

	// ShareLifted counts the jobs that were scheduled earlier because their class was
	// below its share.
	ShareLifted int64

	// AdmittedByView and RefusedByView count the decisions that the shared view has changed.
	AdmittedByView, RefusedByView int64
}

// New returns an owner without jobs.
func New(o Options, w Writer) *Owner {
	n := &Owner{
		options:     o,
		owners:      1,
		lastOpen:    o.Now(),
		lastContact: o.Now(),
		writer:      w,
		jobs:        map[job.ID]*liveJob{},
		ended:       map[job.ID]*endedJob{},
		dropped:     map[job.ID]*droppedJob{},
		gates:       map[string]*gateView{},
		foreign:     map[job.ID]*foreignRuns{},
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		log:         o.Log,
		shares:      newShares(o.Decisions),

		means: map[string]*meanEstimate{},
	}
	n.returns = n.newReturns()
	return n
}

// RenewLease records that the owner's lease is valid until the given time.
func (o *Owner) RenewLease(until Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lapsed := o.leaseUntil < o.options.Now()
	o.leaseUntil = max(o.leaseUntil, until)
	if lapsed {
		o.leaseResumed = o.options.Now()
		o.place(o.options.Now())
		o.wakeAll()
	}
}

// Stop makes the owner stop for good: its incarnation is fenced, or its process shuts
// down. Callers of best-effort jobs are answered and may submit their jobs elsewhere;
// gates stop the runs once they lose contact with the owner.
func (o *Owner) Stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	for _, j := range o.jobs {
		j.notifyWaiters()
		j.answerCallers(o.unfinishedResult(j))
	}
	for _, d := range o.dropped {
		d.answer(BestEffortResult{})
	}
}

// active reports whether the owner may give orders for durable jobs.
func (o *Owner) active(now Time) bool {
	return !o.stopped && now < o.leaseUntil
}

// Active reports whether the owner may give orders for durable jobs.
func (o *Owner) Active() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.active(o.options.Now())
}

// Running reports whether Stop has not been called yet.
func (o *Owner) Running() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.stopped
}

// LiveJobs returns the number of jobs that have not ended.
func (o *Owner) LiveJobs() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.jobs)
}

// Stats returns the counters. They cost nothing to read; LoadStats and ShareStats are computed.
func (o *Owner) Stats() Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stats
}

// Tick does the work that depends on time.
func (o *Owner) Tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	if o.stopped {
		return
	}
	o.presumeSilentGates(now)
	o.checkAdoptions(now)
	o.writeProgress(now)
	o.updateShares(now)
	o.dropExpired(now)
	o.expireDropped(now)
	o.checkWaiting(now)
	o.place(now)
	o.updateShortage(now)
	o.updateBusy(now)
	o.forgetEnded(now)
}

// Waiting reports whether tasks wait for room, or callers for the answers of gates.
func (o *Owner) Waiting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waiting.len() > 0 || o.unanswered > 0
}

// forgetEnded deletes the records of jobs that ended longer ago than KeepFinished.
func (o *Owner) forgetEnded(now Time) {
	if now-o.lastSweep < time.Second {
		return
	}
	o.lastSweep = now
	o.logStalled(now)
	o.logSlow(now)
	for id, e := range o.ended {
		if now-e.at > rememberEnded {
			e.final = nil
		}
		if e.bestEffort && now-e.at > rememberEnded {
			delete(o.ended, id)
			continue
		}
		if now-e.at > o.options.KeepFinished {
			delete(o.ended, id)
			o.writer.Add(o.part(id), &rowstore.Write{
				Transaction: rowstore.Transaction{Deletes: []rowstore.Key{o.key(TableFinished, id)}},
				Done:        func(rowstore.Outcome, error) {},
			})
		}
	}
}
