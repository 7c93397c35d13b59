package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/owner"
	"rackspur/peer/peerpb"
	"rackspur/rowstore"
)

// Bounds of cancellations.
const (
	// cancelTimeout is how long a cancellation is attempted. It exceeds the time that it takes to
	// take over the jobs of a lost entry box.
	cancelTimeout = 30 * time.Second
	// cancelPause is the time between two attempts.
	cancelPause = 200 * time.Millisecond
	// maxCancellations bounds the cancellations in progress.
	maxCancellations = 1000
)

// cancellations holds the cancellations in progress, by job. Each goes on after its callers have
// left: they may take an answer that the outcome is unknown for good.
type cancellations struct {
	mu      sync.Mutex
	running map[job.ID]*cancellation
}

// cancellation is one in progress.
type cancellation struct {
	// done is closed at the end, when err is nil, ErrUnknownJob or ErrStateUnknown.
	done chan struct{}
	err  error
}

// start returns the cancellation of a job and begins it if there is none; nil if there are too
// many.
func (c *cancellations) start(id job.ID, run func() error) *cancellation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.running[id]; r != nil {
		return r
	}
	if len(c.running) >= maxCancellations {
		return nil
	}
	if c.running == nil {
		c.running = map[job.ID]*cancellation{}
	}
	r := &cancellation{done: make(chan struct{})}
	c.running[id] = r
	go func() {
		r.err = run()
		c.mu.Lock()
		delete(c.running, id)
		c.mu.Unlock()
		close(r.done)
	}()
	return r
}

// CancelJob cancels a job owned by any entry box. It returns nil once the cancellation is
// durable or the job has ended, ErrUnknownJob once it is certain that there is no such job and
// that a submission under way won't be accepted, and ErrStateUnknown if the context ends first.
func (e *Entry) CancelJob(ctx context.Context, id job.ID) error {
	c := e.cancellations.start(id, func() error { return e.cancelUntilDecided(id) })
	if c == nil {
		return ErrStateUnknown
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ErrStateUnknown
	}
}

// cancelUntilDecided attempts to cancel a job until the outcome is known.
func (e *Entry) cancelUntilDecided(id job.ID) error {
	ctx, cancel := context.WithTimeout(e.lifetime, cancelTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		err := e.cancelOnce(ctx, id)
		if !errors.Is(err, ErrStateUnknown) {
			return err
		}
		if attempt == 1 {
			e.log.Info("Cancellation not decided yet.", "job", id)
		}
		wait.For(ctx, cancelPause)
		if ctx.Err() != nil {
			e.log.Info("Cancellation given up.", "job", id, "attempts", attempt)
			return ErrStateUnknown
		}
	}
}

// cancelOnce attempts to cancel a job at its owner. An id without a job is closed, because an
// insert of the job may be under way, here or elsewhere.
func (e *Entry) cancelOnce(ctx context.Context, id job.ID) error {
	if e.cancelHere(ctx, id) {
		return nil
	}
	if known, err := e.cancelAnnounced(ctx, id); known || err != nil {
		return err
	}
	record, err := e.readRecord(ctx, id)
	switch {
	case err != nil:
		return ErrStateUnknown
	case record != nil:
		known, err := e.cancelAt(ctx, record.Owner, id)
		if err == nil && !known {
			return ErrStateUnknown
		}
		return err
	}
	final, err := e.readFinal(ctx, id)
	switch {
	case err != nil:
		return ErrStateUnknown
	case final == nil:
		return e.closeID(ctx, id)
	case final.NeverAccepted:
		return ErrUnknownJob
	}
	return nil
}

// cancelHere cancels a job of this box and reports whether its end is durable.
func (e *Entry) cancelHere(ctx context.Context, id job.ID) bool {
	result := make(chan bool, 1)
	if !e.Cancel(id, func(ok bool) { result <- ok }) {
		return false
	}
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
		return false
	}
}

// cancelAnnounced cancels a best-effort job at the owner that has announced it; known is false if
// there is none, or if it no longer has the job.
func (e *Entry) cancelAnnounced(ctx context.Context, id job.ID) (known bool, err error) {
	incarnation, ok := e.elsewhere.find(time.Now(), id)
	if !ok || incarnation == e.Incarnation() {
		return false, nil
	}
	return e.cancelAt(ctx, incarnation, id)
}

// cancelAt asks an owner to cancel a job; known is false if the job is not the owner's.
func (e *Entry) cancelAt(ctx context.Context, incarnation string, id job.ID) (known bool, err error) {
	a, err := e.ask(ctx, incarnation, &peerpb.Question{Kind: peerpb.Question_CANCEL, Job: string(id)})
	if err != nil || a.GetFailed() {
		return false, ErrStateUnknown
	}
	return a.GetKnown(), nil
}

// closeID writes a final record for an id without a job, so that no insert of the job takes effect
// any more. It returns ErrUnknownJob if it did.
func (e *Entry) closeID(ctx context.Context, id job.ID) error {
	if e.closed.full() {
		return ErrStateUnknown
	}
	live, finished := owner.RowKey(owner.TableJobs, id, e.options.Parts), owner.RowKey(owner.TableFinished, id, e.options.Parts)
	final := &job.Final{State: job.StateCancelled, EndedMS: time.Now().UnixMilli(), Owner: e.Incarnation(), NeverAccepted: true}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	out, err := e.store.Transact(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: live}, {Key: finished}},
		Puts:       []rowstore.Put{{Key: finished, Value: final.Encode()}},
		Merge:      true,
	})
	if err != nil {
		return ErrStateUnknown
	}
	e.log.Info("Closed the id of an unknown job.", "job", id)
	e.closed.add(rowstore.Condition{Key: finished, Version: out.Version}, time.Now())
	return ErrUnknownJob
}
