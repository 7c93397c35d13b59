package owner

import (
	"errors"
	"time"

	"rackspur/job"
	"rackspur/rowstore"
)

// SubmitResult is the outcome of a submission.
type SubmitResult int

// The outcomes of a submission.
const (
	// SubmitAccepted: the job is durable, accepted now or earlier.
	SubmitAccepted SubmitResult = iota + 1
	// SubmitRefused: the job is not accepted and never runs. Owner.Refusal tells when its
	// caller should return.
	SubmitRefused
	// SubmitUnknown: the job may have been accepted.
	SubmitUnknown
)

// storeDownAfter is how long calls to the store must have been failing for new jobs to
// be refused without an attempt.
const storeDownAfter = 150 * time.Millisecond

// Submit accepts a durable job. It calls result once, possibly before it returns.
func (o *Owner) Submit(s job.Submission, result func(SubmitResult)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	o.noteContact(now)
	if _, ok := o.ended[s.ID]; ok {
		result(SubmitAccepted)
		return
	}
	if j := o.jobs[s.ID]; j != nil {
		if j.phase == jobInserting {
			j.submitters = append(j.submitters, result)
			return
		}
		result(SubmitAccepted)
		return
	}
	if !o.mayTake(now, &s) {
		o.refuseSubmission(now, &s)
		result(SubmitRefused)
		return
	}
	j := newLiveJob(job.Record{
		Submission: s, Owner: o.options.Incarnation, Sequence: 1,
		AcceptedMS: o.options.WallClock().UnixMilli(),
	}, now)
	o.setShare(now, j)
	j.setUrgency()
	o.noteArrival(now, j)

	o.countShareArrived(now, j)
	j.submitters = append(j.submitters, result)
	o.addJob(j)
	o.insert(j)
}

// mayTake reports whether a job is admitted.
func (o *Owner) mayTake(now Time, s *job.Submission) bool {
	if !o.active(now) || o.tooManyTasks(s) {
		return false
	}
	if o.writer.FailingFor(o.part(s.ID)) > storeDownAfter {
		return false
	}
	return o.admitsSubmission(now, s)
}

// refuseSubmission counts a durable job that is not admitted and decides when its caller
// should return.
func (o *Owner) refuseSubmission(now Time, s *job.Submission) {
	o.stats.Refused++
	j := newLiveJob(job.Record{Submission: *s}, now)
	j.setUrgency()
	o.noteArrival(now, j)
	o.refusal(o.figuresOf(now, j))
}

// insert writes the row of a new job, provided that it does not exist.
func (o *Owner) insert(j *liveJob) {
	id := j.record.ID
	live, finished := o.key(TableJobs, id), o.key(TableFinished, id)
	j.insert = &rowstore.Write{
		GiveUp: true,
		Transaction: rowstore.Transaction{
			Conditions: []rowstore.Condition{{Key: live}, {Key: finished}},
			Puts:       []rowstore.Put{{Key: live, Value: j.record.Encode()}},
		},
		Done: func(out rowstore.Outcome, err error) { o.inserted(j, out, err) },
	}
	o.writer.Add(o.part(id), j.insert)
}

// inserted processes the outcome of an insert.
func (o *Owner) inserted(j *liveJob, out rowstore.Outcome, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	if o.jobs[j.record.ID] != j {
		// The job existed already and was adopted meanwhile.
		o.withdrawShare(now, j)
		j.answerSubmitters(SubmitAccepted)
		return
	}
	if err != nil {
		o.withdrawShare(now, j)
		o.removeJob(j)
	}
	switch {
	case err == nil:
		j.phase = jobLive
		j.version = out.Version
		o.stats.Accepted++
		j.answerSubmitters(SubmitAccepted)
		if j.cancelRequested {
			o.finish(now, j, job.StateCancelled)
			return
		}
		o.makeReady(now, j)
		o.place(now)
	case errors.Is(err, rowstore.ErrConflict) && !o.cancelledEarly(j, out):
		// The job was submitted at another box, or earlier at this one.
		j.answerSubmitters(SubmitAccepted)
	default:
		o.stats.Refused++
		o.refusal(o.figuresOf(now, j))
		j.answerSubmitters(SubmitRefused)
	}
}

// cancelledEarly reports whether a job's insert conflicts with its cancellation; see
// job.Final.NeverAccepted.
func (o *Owner) cancelledEarly(j *liveJob, out rowstore.Outcome) bool {
	finished := o.key(TableFinished, j.record.ID)
	for _, row := range out.Current {
		if row.Key != finished || row.Version == 0 {
			continue
		}
		f, err := job.DecodeFinal(row.Value)
		if err == nil && f.NeverAccepted {
			o.log.Info("Job not accepted: it was cancelled before.", "job", j.record.ID)
			return true
		}
	}
	return false
}

func (j *liveJob) answerSubmitters(r SubmitResult) {
	for _, f := range j.submitters {
		f(r)
	}
	j.submitters = nil
}

// Inserts returns the number of submissions whose insert is under way.
func (o *Owner) Inserts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, j := range o.jobs {
		if j.phase == jobInserting {
			n++
		}
	}
	return n
}

// AbandonInserts answers the submissions whose insert is under way that their outcome is unknown.
func (o *Owner) AbandonInserts() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.jobs {
		if j.phase == jobInserting {
			j.answerSubmitters(SubmitUnknown)
		}
	}
}

// AbandonSubmit ends the wait for the result of a submission. It returns SubmitRefused if the
// insert could be withdrawn before it was sent to the store, SubmitAccepted if the job
// is live, and SubmitUnknown otherwise.
func (o *Owner) AbandonSubmit(id job.ID) SubmitResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[id]
	switch {
	case j == nil:
		return SubmitUnknown
	case j.phase != jobInserting:
		return SubmitAccepted
	case len(j.submitters) <= 1 && o.writer.Withdraw(o.part(id), j.insert):
		o.withdrawShare(o.options.Now(), j)
		o.removeJob(j)
		o.stats.Refused++
		o.refusal(o.figuresOf(o.options.Now(), j))
		return SubmitRefused
	}
	return SubmitUnknown
}

// makeReady queues the tasks of a job that may start. It does nothing while the job is
// being adopted, since any task may turn out to be running.
func (o *Owner) makeReady(now Time, j *liveJob) {
	if j.phase == jobAdopting {
		return
	}
	for _, t := range j.tasks {
		if t.phase == taskBlocked && t.ready() {
			o.enqueue(now, t)
		}
	}
}

// enqueue queues a task for a gate, unless its job is to end.
func (o *Owner) enqueue(now Time, t *task) {
	if t.job.final != "" {
		t.phase = taskBlocked
		return
	}
	if t.job.closed {
		t.phase = taskBlocked
		o.dropIfLive(t.job, dropIsolated)
		return
	}
	if !t.ready() {
		// The run was started before the job was dropped and submitted again.
		t.phase = taskBlocked
		return
	}
	t.phase = taskBlocked
	if o.giveUpCrasher(now, t) {
		return
	}
	o.giveUpRuns(now, t)
	t.phase = taskWaiting
	t.gate = ""
	t.since = now
	o.order++
	t.order = o.taskOrder(t)
	o.waiting.push(t)
}
