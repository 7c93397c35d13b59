package owner

import (
	"errors"
	"time"

	"rackspur/job"
	"rackspur/rowstore"
)

// SubmitResult says what became of a submission.
type SubmitResult int

// The results.
const (
	// SubmitAccepted: the job is kept, taken now or earlier.
	SubmitAccepted SubmitResult = iota + 1
	// SubmitRefused: the job is not taken and never runs.
	SubmitRefused
	// SubmitUnknown: the job may have been taken.
	SubmitUnknown
)

// storeDownAfter is how long the store's calls must have failed for new jobs to
// be refused without a try.
const storeDownAfter = 150 * time.Millisecond

// Submit hands in a job; the result is told once, maybe before Submit returns.
func (o *Owner) Submit(s job.Submission, result func(SubmitResult)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	o.heardFromOutside(now)
	if _, ok := o.ended[s.ID]; ok {
		result(SubmitAccepted)
		return
	}
	if j := o.jobs[s.ID]; j != nil {
		if j.phase == jobInserting {
			j.accepted = append(j.accepted, result)
			return
		}
		result(SubmitAccepted)
		return
	}
	if !o.mayTake(now, &s) {
		o.stats.Refused++
		result(SubmitRefused)
		return
	}
	j := newLiveJob(job.Record{
		Submission: s, Owner: o.options.Incarnation, Sequence: 1,
		AcceptedMS: o.options.WallClock().UnixMilli(),
	}, now)
	j.setUrgency()
	j.accepted = append(j.accepted, result)
	o.jobs[s.ID] = j
	o.insert(j)
}

// mayTake says whether a job is let in.
func (o *Owner) mayTake(now Time, s *job.Submission) bool {
	if !o.active(now) {
		return false
	}
	if o.writer.FailingFor(o.part(s.ID)) > storeDownAfter {
		return false
	}
	return o.admitsSubmission(now, s)
}

// insert writes the row of a new job on the condition that it is not there.
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

// inserted takes in the outcome of the insert of a new job.
func (o *Owner) inserted(j *liveJob, out rowstore.Outcome, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Now()
	if o.jobs[j.record.ID] != j {
		// The job was there already, and has been taken over meanwhile.
		j.tellAccepted(SubmitAccepted)
		return
	}
	if err != nil {
		delete(o.jobs, j.record.ID)
	}
	switch {
	case err == nil:
		j.phase = jobLive
		j.version = out.Version
		o.stats.Accepted++
		j.tellAccepted(SubmitAccepted)
		o.makeReady(now, j)
		o.place(now)
	case errors.Is(err, rowstore.ErrConflict):
		// The job was handed in at another daemon, or earlier at this one.
		j.tellAccepted(SubmitAccepted)
	default:
		o.stats.Refused++
		j.tellAccepted(SubmitRefused)
	}
}

func (j *liveJob) tellAccepted(r SubmitResult) {
	for _, f := range j.accepted {
		f(r)
	}
	j.accepted = nil
}

// GiveUp ends the wait for a submission's result: it tells SubmitRefused if the
// job was surely not handed to the store and takes it back, else SubmitUnknown.
func (o *Owner) GiveUp(id job.ID) SubmitResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.jobs[id]
	switch {
	case j == nil:
		return SubmitUnknown
	case j.phase != jobInserting:
		return SubmitAccepted
	case len(j.accepted) <= 1 && o.writer.Withdraw(o.part(id), j.insert):
		delete(o.jobs, id)
		o.stats.Refused++
		return SubmitRefused
	}
	return SubmitUnknown
}

// makeReady puts the tasks that may start into the queue. While a job is being
// taken over any of its tasks may turn out to run.
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

// enqueue makes a task wait for a gate, unless its job is to end.
func (o *Owner) enqueue(now Time, t *task) {
	if t.job.final != "" {
		t.phase = taskBlocked
		return
	}
	if t.job.closed {
		t.phase = taskBlocked
		o.dropLive(t.job)
		return
	}
	t.phase = taskWaiting
	t.gate = ""
	t.since = now
	o.order++
	t.order = o.order
	o.waiting.push(t)
}
