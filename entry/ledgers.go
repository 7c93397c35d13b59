package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rackspur/agent"
	"rackspur/dispatch"
	"rackspur/id"
	"rackspur/store"
)

const (
	// ledgerRetention is how long a final ledger is kept after it was last used.
	ledgerRetention = 15 * time.Minute
	// absentRetention is how long the store's "no such ledger" is believed.
	absentRetention = 5 * time.Second
)

// ledgers holds the final ledgers of homes that left in order.
type ledgers struct {
	objects store.Objects
	log     logr.Logger

	mu     sync.Mutex
	open   map[id.Incarnation]*heldLedger
	absent map[id.Incarnation]time.Time
}

// heldLedger is a final ledger and whether the object store has it.
type heldLedger struct {
	final  *dispatch.FinalLedger
	raw    []byte
	stored bool
	used   time.Time
}

func newLedgers(o store.Objects, log logr.Logger) *ledgers {
	return &ledgers{objects: o, log: log, open: map[id.Incarnation]*heldLedger{}, absent: map[id.Incarnation]time.Time{}}
}

// handed takes a final ledger from an agent's link.
func (l *ledgers) handed(raw []byte) {
	final, err := dispatch.OpenFinal(raw)
	if err != nil {
		l.log.Error(err, "Final ledger is not readable.")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[final.Incarnation()] = &heldLedger{final: final, raw: raw, used: time.Now()}
	l.log.Info("Final ledger taken over.", "home", final.Incarnation().String())
}

// find returns the final ledger of a home; nil if the store has none; or
// store.ErrUnavailable if that can't be learned now.
func (l *ledgers) find(ctx context.Context, n id.Incarnation) (*dispatch.FinalLedger, error) {
	l.mu.Lock()
	if h := l.open[n]; h != nil {
		h.used = time.Now()
		l.mu.Unlock()
		return h.final, nil
	}
	seen, absent := l.absent[n]
	l.mu.Unlock()
	if absent && time.Since(seen) < absentRetention {
		return nil, nil
	}
	raw, err := l.objects.GetObject(ctx, agent.LedgerKey+n.String())
	if errors.Is(err, store.ErrNotFound) {
		l.mu.Lock()
		l.absent[n] = time.Now()
		l.mu.Unlock()
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	final, err := dispatch.OpenFinal(raw)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[n] = &heldLedger{final: final, stored: true, used: time.Now()}
	return final, nil
}

// upkeep writes the ledgers that the store lacks and forgets old ones.
func (l *ledgers) upkeep(ctx context.Context) {
	l.mu.Lock()
	var missing []*heldLedger
	for n, h := range l.open {
		if time.Since(h.used) > ledgerRetention {
			delete(l.open, n)
			continue
		}
		if !h.stored {
			missing = append(missing, h)
		}
	}
	for n, seen := range l.absent {
		if time.Since(seen) > absentRetention {
			delete(l.absent, n)
		}
	}
	l.mu.Unlock()
	for _, h := range missing {
		if err := l.objects.PutObject(ctx, agent.LedgerKey+h.final.Incarnation().String(), h.raw); err != nil {
			return
		}
		l.mu.Lock()
		h.stored = true
		h.raw = nil
		l.mu.Unlock()
	}
}
