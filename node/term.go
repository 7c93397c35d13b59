package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/member"
	"rackspur/owner"
	"rackspur/peer"
	"rackspur/rowstore"
)

// term is one incarnation of an entry box's owner.
type term struct {
	entry *Entry
	box   member.Box
	lease *member.Life
	owner *owner.Owner
	links *peer.Links
	fleet *peer.Fleet
	// writers has a committer for each part; nil until the lease is acquired.
	writers atomic.Pointer[[]*rowstore.Committer]
	watcher *member.Watcher
	log     logr.Logger
	ctx     context.Context
	// end cancels ctx.
	end     context.CancelFunc
	endOnce sync.Once

	// leaseRequested is signalled when the incarnation needs its lease; leaseAcquired is
	// closed once it holds it.
	leaseRequested chan struct{}
	leaseAcquired  chan struct{}

	renewMu  sync.Mutex
	released bool
	adopting map[string]bool
}

func (e *Entry) newTerm(ctx context.Context, incarnation string) *term {
	box := member.Box{Node: e.options.Node, Role: member.RoleEntry, Zone: e.options.Domain, Address: e.options.Advertise, Incarnation: incarnation, Wide: e.options.HubCapable}
	var parts []string
	for i := range e.options.Parts {
		parts = append(parts, owner.PartName(i))
	}
	t := &term{
		entry: e, box: box, log: e.log, adopting: map[string]bool{},
		leaseRequested: make(chan struct{}, 1), leaseAcquired: make(chan struct{}),
		lease:   member.NewLife(e.store, parts, box),
		watcher: member.NewWatcher(e.store, parts, box, e.started, e.options.Unreadable),
	}
	t.ctx, t.end = context.WithCancel(ctx)
	t.owner = owner.New(e.ownerOptions(incarnation), t)
	t.links = peer.NewLinks(incarnation, t.owner, e.options.Metrics, e.log)
	t.fleet = peer.NewFleet(box, t.links, t.owner, e.log)
	return t
}

// Add implements owner.Writer.Add. The owner writes nothing before the lease is acquired.
func (t *term) Add(part int, w *rowstore.Write) { (*t.writers.Load())[part].Add(w) }

// Withdraw implements owner.Writer.Withdraw.
func (t *term) Withdraw(part int, w *rowstore.Write) bool {
	return (*t.writers.Load())[part].Withdraw(w)
}

// FailingFor implements owner.Writer.FailingFor.
func (t *term) FailingFor(part int) time.Duration {
	return (*t.writers.Load())[part].FailingFor(time.Now())
}

// acquireLease stores the incarnation with its lease. From then on durable jobs are
// accepted.
func (t *term) acquireLease() bool {
	sent, err := t.lease.Begin(t.ctx)
	if err != nil {
		return false
	}
	var writers []*rowstore.Committer
	for i := range t.entry.options.Parts {
		w := rowstore.NewCommitter(t.entry.store, t.lease.Fence(i), commitDelay, t.fenced)
		writers = append(writers, w)
		go w.Run(t.ctx)
	}
	t.writers.Store(&writers)
	t.renewed(sent)
	close(t.leaseAcquired)
	t.log.Info("Lease acquired.", "incarnation", t.box.Incarnation)
	return true
}

// found handles a new or changed box of the membership.
func (t *term) found(b member.Box) {
	if b.Role == member.RoleAgent {
		t.owner.AddGate(b.Node, b.Zone)
	}
	t.fleet.AddBox(b)
	t.owner.SetOwners(t.fleet.Entries())
}

// fenced ends the incarnation: another box may have taken over its jobs.
func (t *term) fenced() {
	t.endOnce.Do(func() {
		t.log.Info("Incarnation fenced by another box.", "incarnation", t.box.Incarnation)
		t.owner.Stop()
		t.end()
	})
}

func (t *term) renewed(sent time.Time) {
	t.owner.RenewLease(sent.Add(member.Lease).Sub(t.entry.started))
}

// run runs the incarnation until it ends.
func (t *term) run(ctx context.Context) {
	defer t.end()
	go t.serveDurable()
	go t.fleet.Run(t.ctx)
	go t.resolveForeign()
	go newAnnouncer(t).run()
	for ctx.Err() == nil && t.ctx.Err() == nil {
		pause := calmPause
		if t.owner.Waiting() {
			pause = tickPause
		}
		wait.For(t.ctx, pause)
		t.owner.Tick()
	}
}

// serveDurable does the work that durable jobs require: it acquires and renews the lease
// and takes over the jobs of ended incarnations.
func (t *term) serveDurable() {
	if !t.awaitLeaseRequest() || !t.acquireLease() {
		return
	}
	go t.renew()
	t.watch()
}

// renew renews the lease until the incarnation ends.
func (t *term) renew() {
	for {
		wait.For(t.ctx, member.RenewInterval)
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
	sent, err := t.lease.Renew(t.ctx, t.owner.PendingByQueue())
	switch {
	case err == nil:
		t.renewed(sent)
	case errors.Is(err, member.ErrFenced):
		t.fenced()
	default:
		t.log.Info("Lease not renewed.", "error", err.Error())
	}
}

// insertTimeout is how long the end of an incarnation waits for the inserts under way: their callers
// are answered before the process ends.
const insertTimeout = 300 * time.Millisecond

// finishInserts waits for the inserts under way, which need the lease, and answers the callers of
// those that are not decided by then.
func (t *term) finishInserts() {
	ctx, cancel := context.WithTimeout(context.Background(), insertTimeout)
	defer cancel()
	for ctx.Err() == nil && t.owner.Inserts() > 0 {
		wait.For(ctx, tickPause)
	}
	t.owner.AbandonInserts()
}

// release ends the incarnation and releases its lease, so that other boxes take over
// without waiting for it to expire.
func (t *term) release() {
	t.renewMu.Lock()
	defer t.renewMu.Unlock()
	t.released = true
	t.owner.Stop()
	if t.writers.Load() == nil {
		t.end()
		return
	}
	t.finishInserts()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := t.lease.Release(ctx); err != nil {
		t.log.Info("Lease not released.", "error", err.Error())
	}
	t.end()
}
