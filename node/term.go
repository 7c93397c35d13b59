package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rackspur/job"
	"rackspur/member"
	"rackspur/owner"
	"rackspur/peer"
	"rackspur/rowstore"
)

// term is one life of an entry daemon's owner.
type term struct {
	entry  *Entry
	daemon member.Daemon
	life   *member.Life
	owner  *owner.Owner
	links  *peer.Links
	// writers are there once the life stands in the store.
	writers atomic.Pointer[[]*rowstore.Committer]
	watcher *member.Watcher
	log     logr.Logger
	ctx     context.Context
	// end ends the life.
	end     context.CancelFunc
	endOnce sync.Once

	renewMu  sync.Mutex
	released bool
	taking   map[string]bool
}

func (e *Entry) newTerm(ctx context.Context, incarnation string) *term {
	daemon := member.Daemon{Node: e.options.Node, Role: member.RoleEntry, Zone: e.options.Zone, Address: e.options.Listen, Incarnation: incarnation}
	var parts []string
	for i := range e.options.Parts {
		parts = append(parts, owner.PartName(i))
	}
	t := &term{
		entry: e, daemon: daemon, log: e.log, taking: map[string]bool{},
		life:    member.NewLife(e.store, parts, daemon),
		watcher: member.NewWatcher(e.store, parts, daemon, e.started),
	}
	t.ctx, t.end = context.WithCancel(ctx)
	t.owner = owner.New(owner.Options{
		Incarnation: incarnation, Parts: e.options.Parts, Contact: contact, MaxHold: e.options.MaxHold,
		KeepFinished: e.options.KeepFinished, Log: e.log,
		Now:       func() time.Duration { return time.Since(e.started) },
		WallClock: time.Now,
		Ended:     func(took time.Duration) { e.options.Metrics.Time(metricJobTime, took.Microseconds()) },
	}, t)
	t.links = peer.NewLinks(incarnation, t.owner, e.options.Metrics, e.log)
	return t
}

// Add implements owner.Writer.Add. Nothing is written before the life stands in
// the store, since its lease does not hold before.
func (t *term) Add(part int, w *rowstore.Write) { (*t.writers.Load())[part].Add(w) }

// Withdraw implements owner.Writer.Withdraw.
func (t *term) Withdraw(part int, w *rowstore.Write) bool {
	return (*t.writers.Load())[part].Withdraw(w)
}

// FailingFor implements owner.Writer.FailingFor.
func (t *term) FailingFor(part int) time.Duration {
	return (*t.writers.Load())[part].FailingFor(time.Now())
}

// begin writes the life into the store; jobs that are kept are taken from then on.
func (t *term) begin() bool {
	sent, err := t.life.Begin(t.ctx)
	if err != nil {
		return false
	}
	var writers []*rowstore.Committer
	for i := range t.entry.options.Parts {
		w := rowstore.NewCommitter(t.entry.store, t.life.Fence(i), commitDelay, t.fenced)
		writers = append(writers, w)
		go w.Run(t.ctx)
	}
	t.writers.Store(&writers)
	t.renewed(sent)
	t.log.Info("Life begun.", "incarnation", t.daemon.Incarnation)
	return true
}

// keep keeps a link to a daemon if it has a gate.
func (t *term) keep(d member.Daemon) {
	if d.Role != member.RoleAgent {
		return
	}
	t.owner.AddGate(d.Node, d.Zone)
	t.links.Keep(t.ctx, d)
}

// fenced ends the life: another daemon may have taken its jobs.
func (t *term) fenced() {
	t.endOnce.Do(func() {
		t.log.Info("Life fenced by another daemon.", "incarnation", t.daemon.Incarnation)
		t.owner.End()
		t.end()
	})
}

func (t *term) renewed(sent time.Time) {
	t.owner.Renewed(sent.Add(member.Lease).Sub(t.entry.started))
}

// run serves the life until it ends.
func (t *term) run(ctx context.Context) {
	defer t.end()
	go t.serveKept()
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.ctx.Done():
			return
		case <-ticker.C:
			t.owner.Tick()
		}
	}
}

// serveKept does what jobs that are kept need: the life in the store, its lease,
// the take-over of the jobs of other lives.
func (t *term) serveKept() {
	if !t.begin() {
		return
	}
	go t.renew()
	go t.watch()
	t.answerForeign()
}

// renew renews the lease until the life ends.
func (t *term) renew() {
	for {
		sleep(t.ctx, member.RenewPause)
		if t.ctx.Err() != nil {
			return
		}
		t.renewOnce()
	}
}

func (t *term) renewOnce() {
	t.renewMu.Lock()
	defer t.renewMu.Unlock()
	if t.released {
		return
	}
	sent, err := t.life.Renew(t.ctx)
	switch {
	case err == nil:
		t.renewed(sent)
	case errors.Is(err, member.ErrFenced):
		t.fenced()
	default:
		t.log.Info("Lease not renewed.", "error", err.Error())
	}
}

// release ends the life by itself: other daemons take over at once.
func (t *term) release() {
	t.renewMu.Lock()
	defer t.renewMu.Unlock()
	t.released = true
	t.owner.End()
	if t.writers.Load() == nil {
		t.end()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := t.life.Release(ctx); err != nil {
		t.log.Info("Life not released.", "error", err.Error())
	}
	t.end()
}

// watch takes over the jobs of lives that are over.
func (t *term) watch() {
	for t.ctx.Err() == nil {
		over, err := t.watcher.Poll(t.ctx)
		if err == nil && t.owner.Active() {
			for _, o := range over {
				t.takeOver(o)
			}
		}
		sleep(t.ctx, pollPause)
	}
}

func (t *term) takeOver(o member.Over) {
	if t.taking[o.Incarnation] {
		return
	}
	if !o.Fenced {
		if err := t.watcher.Fence(t.ctx, o); err != nil {
			t.log.Info("Life not fenced.", "life", o.Incarnation, "error", err.Error())
			return
		}
	}
	t.taking[o.Incarnation] = true
	go t.adopt(o)
}

// adopt takes over the jobs of a fenced life.
func (t *term) adopt(o member.Over) {
	t.log.Info("Taking over.", "life", o.Incarnation)
	if t.watcher.FenceParts(t.ctx, o.Incarnation) != nil {
		return
	}
	if !t.knowDaemons() {
		return
	}
	lives := []string{o.Incarnation}
	from := o.At.Sub(t.entry.started)
	t.owner.StartAdoption(lives)
	jobs, ok := t.takeJobs(o.Incarnation)
	if !ok {
		return
	}
	t.owner.Adopt(lives, from, jobs)
	t.log.Info("Took over.", "life", o.Incarnation, "jobs", len(jobs))
	if err := t.watcher.Forget(t.ctx, o.Incarnation); err != nil {
		t.log.Info("Row of a life not dropped.", "life", o.Incarnation, "error", err.Error())
	}
}

// knowDaemons reads the membership, so that every gate that the fenced life may
// have used is asked for its runs.
func (t *term) knowDaemons() bool {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
		daemons, _, err := member.ReadDaemons(ctx, t.entry.store)
		cancel()
		if err == nil {
			for _, d := range daemons {
				t.entry.found(d)
				t.keep(d)
			}
			return true
		}
		sleep(t.ctx, tickPause)
	}
	return false
}

// takeJobs makes the jobs of a life this life's in the store.
func (t *term) takeJobs(incarnation string) ([]owner.Adopted, bool) {
	var taken []owner.Adopted
	for part := range t.entry.options.Parts {
		records, ok := t.readPart(part, incarnation)
		if !ok {
			return nil, false
		}
		adopted, ok := t.rewrite(part, records)
		if !ok {
			return nil, false
		}
		taken = append(taken, adopted...)
	}
	return taken, true
}

// readPart reads the jobs of a life in one part.
func (t *term) readPart(part int, incarnation string) ([]owner.Adopted, bool) {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
		rows, _, err := rowstore.ReadAll(ctx, t.entry.store, rowstore.Query{Table: owner.TableJobs, Part: owner.PartName(part)})
		cancel()
		if err != nil {
			sleep(t.ctx, 5*tickPause)
			continue
		}
		var found []owner.Adopted
		for _, row := range rows {
			r, err := job.DecodeRecord(row.Value)
			if err != nil {
				t.log.Error(err, "Unreadable record left alone.", "job", row.Name)
				continue
			}
			if r.Owner == incarnation {
				found = append(found, owner.Adopted{Record: *r, Version: row.Version})
			}
		}
		return found, true
	}
	return nil, false
}

// rewrite writes this life into the records of jobs.
func (t *term) rewrite(part int, records []owner.Adopted) ([]owner.Adopted, bool) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var taken []owner.Adopted
	for _, a := range records {
		a.Record.Owner = t.daemon.Incarnation
		a.Record.Generation++
		a.Record.Sequence++
		key := rowstore.Key{Table: owner.TableJobs, Part: owner.PartName(part), Name: string(a.Record.ID)}
		wait.Add(1)
		t.Add(part, &rowstore.Write{
			Transaction: rowstore.Transaction{
				Conditions: []rowstore.Condition{{Key: key, Version: a.Version}},
				Puts:       []rowstore.Put{{Key: key, Value: a.Record.Encode()}},
			},
			Done: func(out rowstore.Outcome, err error) {
				defer wait.Done()
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.log.Info("Job not taken over.", "job", a.Record.ID, "error", err.Error())
					return
				}
				a.Version = out.Version
				taken = append(taken, a)
			},
		})
	}
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return taken, true
	case <-t.ctx.Done():
		return nil, false
	}
}

// answerForeign answers for ends of jobs that have ended under another life.
func (t *term) answerForeign() {
	for t.ctx.Err() == nil {
		for _, id := range t.owner.TakeForeign() {
			ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
			t.judgeForeign(ctx, id)
			cancel()
		}
		sleep(t.ctx, pollPause)
	}
}

func (t *term) judgeForeign(ctx context.Context, id job.ID) {
	record, err := t.entry.readRecord(ctx, id)
	if err != nil {
		return
	}
	if record != nil {
		t.owner.JudgeForeign(id, false, nil)
		return
	}
	final, err := t.entry.readFinal(ctx, id)
	if err == nil {
		t.owner.JudgeForeign(id, true, final)
	}
}
