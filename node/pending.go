package node

import (
	"context"
	"sync"
	"time"

	"rackspur/member"
)

// pendingAge is how old the count of jobs waiting elsewhere may be. Other boxes write their
// counts with each lease renewal, so that answers to callers are at most 2 s old in all.
const pendingAge = time.Second

// pendingElsewhere caches the number of jobs per queue that wait at other entry boxes. It
// is read from their rows in the store at most once per pendingAge; asking all other boxes
// for each caller would overload small ones: 183 connections for it blocked a box with a
// fifth of a core for 1.6 s.
type pendingElsewhere struct {
	mu sync.Mutex
	// read is when the counts were read.
	read   time.Time
	counts map[string]int
}

// PendingJobs counts the accepted jobs of a queue that have no started task, at all entry
// boxes.
func (e *Entry) PendingJobs(ctx context.Context, queue string) int {
	t := e.current.Load()
	if t == nil || t.writers.Load() == nil {
		// This deployment has no durable jobs.
		return 0
	}
	return t.owner.Pending(queue) + e.pending.count(ctx, e, t.box.Incarnation)[queue]
}

// count returns the counts, after reading them again if they are too old. If the store is
// unavailable it returns the last ones.
func (p *pendingElsewhere) count(ctx context.Context, e *Entry, own string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.read) < pendingAge {
		return p.counts
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	counts, err := member.ReadPending(ctx, e.store, e.options.Parts, own, e.options.Unreadable)
	if err != nil {
		e.log.V(1).Info("Pending jobs at other entry boxes not read.", "ageMS", time.Since(p.read).Milliseconds(), "error", err.Error())
		return p.counts
	}
	p.read = time.Now()
	p.counts = counts
	return counts
}
