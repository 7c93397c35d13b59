package node

import (
	"context"
	"sync"

	"rackspur/internal/wait"
	"rackspur/job"
	"rackspur/member"
	"rackspur/owner"
	"rackspur/rowstore"
)

// watch takes over the jobs of incarnations that have ended.
func (t *term) watch() {
	for t.ctx.Err() == nil {
		over, err := t.watcher.Poll(t.ctx)
		if err == nil && t.owner.Active() {
			t.takeOver(over)
		}
		wait.For(t.ctx, pollPause)
	}
}

// takeOver takes over the jobs of ended incarnations. It first asks the gates for the runs
// of all of them, since one may have taken over jobs from another.
func (t *term) takeOver(over []member.EndedLife) {
	var fenced []member.EndedLife
	for _, o := range over {
		if t.adopting[o.Incarnation] || !t.fence(o) {
			continue
		}
		t.adopting[o.Incarnation] = true
		t.owner.StartAdoption([]string{o.Incarnation})
		fenced = append(fenced, o)
	}
	for _, o := range fenced {
		go t.adopt(o)
	}
}

// fence prevents further writes of an incarnation; it returns false on failure.
func (t *term) fence(o member.EndedLife) bool {
	if o.Fenced {
		return true
	}
	if err := t.watcher.Fence(t.ctx, o); err != nil {
		t.log.Info("Incarnation not fenced.", "life", o.Incarnation, "error", err.Error())
		return false
	}
	return true
}

// adopt takes over the jobs of a fenced incarnation. Its row is deleted only when all
// gates have reported its runs, so that another owner can still take over from this one.
func (t *term) adopt(o member.EndedLife) {
	t.log.Info("Taking over.", "life", o.Incarnation)
	if t.watcher.FenceParts(t.ctx, o.Incarnation) != nil {
		return
	}
	if !t.readMembership() {
		return
	}
	incarnations := []string{o.Incarnation}
	from := o.At.Sub(t.entry.started)
	jobs, ok := t.claimJobs(o.Incarnation)
	if !ok {
		return
	}
	reported := t.owner.Adopt(incarnations, from, jobs)
	t.log.Info("Took over.", "life", o.Incarnation, "jobs", len(jobs))
	select {
	case <-reported:
	case <-t.ctx.Done():
		return
	}
	if err := t.watcher.Forget(t.ctx, o.Incarnation); err != nil {
		t.log.Info("Row of an ended incarnation not deleted.", "life", o.Incarnation, "error", err.Error())
	}
}

// readMembership reads the boxes from the store, so that every gate that the fenced
// incarnation may have used is asked for its runs.
func (t *term) readMembership() bool {
	boxes, err := member.ReadBoxes(t.ctx, t.entry.store, t.entry.options.Unreadable)
	if err != nil {
		return false
	}
	for _, b := range boxes {
		t.entry.found(b)
		t.found(b)
	}
	return true
}

// claimJobs makes this incarnation the owner of another one's jobs in the store.
func (t *term) claimJobs(incarnation string) ([]owner.Adopted, bool) {
	var taken []owner.Adopted
	for part := range t.entry.options.Parts {
		records, ok := t.readPart(part, incarnation)
		if !ok {
			return nil, false
		}
		adopted, ok := t.changeOwner(part, records)
		if !ok {
			return nil, false
		}
		taken = append(taken, adopted...)
	}
	return taken, true
}

// readPart reads the jobs of an incarnation from one part of the store.
func (t *term) readPart(part int, incarnation string) ([]owner.Adopted, bool) {
	rows, err := rowstore.ScanAll(t.ctx, t.entry.store, owner.TableJobs, []string{owner.PartName(part)})
	if err != nil {
		return nil, false
	}
	var found []owner.Adopted
	for _, row := range rows {
		r, err := job.DecodeRecord(row.Value)
		if err == nil && string(r.ID) != row.Name {
			err = job.ErrRecord
		}
		if err != nil {
			t.entry.options.Unreadable.Note(owner.TableJobs, row.Name, err.Error())
			continue
		}
		if r.Owner == incarnation {
			found = append(found, owner.Adopted{Record: *r, Version: row.Version})
		}
	}
	return found, true
}

// changeOwner writes this incarnation as the owner into job records. It returns the
// records that were written.
func (t *term) changeOwner(part int, records []owner.Adopted) ([]owner.Adopted, bool) {
	if len(records) == 0 {
		return nil, true
	}
	var mu sync.Mutex
	var taken []owner.Adopted
	left := len(records)
	done := make(chan struct{})
	for _, a := range records {
		a.Record.Owner = t.box.Incarnation
		a.Record.Generation++
		a.Record.Sequence++
		key := rowstore.Key{Table: owner.TableJobs, Part: owner.PartName(part), Name: string(a.Record.ID)}
		t.Add(part, &rowstore.Write{
			Transaction: rowstore.Transaction{
				Conditions: []rowstore.Condition{{Key: key, Version: a.Version}},
				Puts:       []rowstore.Put{{Key: key, Value: a.Record.Encode()}},
			},
			Done: func(out rowstore.Outcome, err error) {
				mu.Lock()
				defer mu.Unlock()
				if left--; left == 0 {
					defer close(done)
				}
				if err != nil {
					t.log.Info("Job not taken over.", "job", a.Record.ID, "error", err.Error())
					return
				}
				a.Version = out.Version
				taken = append(taken, a)
			},
		})
	}
	select {
	case <-done:
		return taken, true
	case <-t.ctx.Done():
		return nil, false
	}
}

// resolveForeign resolves the ends of runs whose jobs this owner does not know, as their
// records in the store say.
func (t *term) resolveForeign() {
	for t.ctx.Err() == nil {
		for _, id := range t.owner.UnknownJobs() {
			ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
			t.resolveForeignEnd(ctx, id)
			cancel()
		}
		wait.For(t.ctx, pollPause)
	}
}

// resolveForeignEnd resolves the ends of the runs of one unknown job. A job with a record
// has not ended: its owner resolves them.
func (t *term) resolveForeignEnd(ctx context.Context, id job.ID) {
	record, err := t.entry.readRecord(ctx, id)
	if err != nil {
		return
	}
	if record != nil {
		t.owner.AnswerUnknown(id, false, nil)
		return
	}
	final, err := t.entry.readFinal(ctx, id)
	if err == nil {
		t.owner.AnswerUnknown(id, true, final)
	}
}
