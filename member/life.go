package member

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rackspur/internal/wait"
	"rackspur/rowstore"
)

// Times of leases.
const (
	// Lease is how long an owner may give orders after it has renewed its lease.
	Lease = 1500 * time.Millisecond
	// RenewInterval is the time between two renewals.
	RenewInterval = 350 * time.Millisecond
	// expiryMargin is added to the lease before others consider a life ended.
	expiryMargin = 100 * time.Millisecond
)

// lifeRow is the stored form of a life.
type lifeRow struct {
	Box
	// Count changes with each renewal, so that no two rows of a life are equal.
	Count uint64 `json:"count"`
	// FencedBy is the incarnation that has taken over the life's jobs.
	FencedBy string `json:"fenced_by,omitempty"`
	// Released is set if the life has ended by itself.
	Released bool `json:"released,omitempty"`
	// Pending is the number of waiting jobs by queue, as of the last renewal.
	Pending map[string]int `json:"pending,omitempty"`
}

func (r *lifeRow) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

// decodeLife decodes the row of a life and checks that its name matches its content.
func decodeLife(row rowstore.Row) (lifeRow, error) {
	var l lifeRow
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return lifeRow{}, eris.Wrap(ErrRow, err.Error())
	}
	if l.Node == "" || l.Node != NodeOf(l.Incarnation) || hashPrefix(hashOf(l.Node))+l.Incarnation != row.Name {
		return lifeRow{}, eris.Wrapf(ErrRow, "life %.40q under another name", l.Incarnation)
	}
	return l, nil
}

// Life is the registration of an owner's process in the store: a row with its lease, and a
// fence row in each part. Every write of the owner is conditional on a fence row.
type Life struct {
	store   rowstore.Store
	ring    ring
	parts   []string
	box     Box
	count   uint64
	version uint64
	fences  []rowstore.Condition
	// pending is the newest published number of waiting jobs by queue.
	pending map[string]int
}

// NewLife returns a life that is not in the store yet.
func NewLife(s rowstore.Store, parts []string, d Box) *Life {
	return &Life{store: s, ring: ring{parts: len(parts)}, parts: parts, box: d}
}

// key returns the key of the life's row.
func (l *Life) key() rowstore.Key { return l.ring.key(l.box.Incarnation) }

func fenceKey(part, incarnation string) rowstore.Key {
	return rowstore.Key{Table: tableFences, Part: part, Name: incarnation}
}

// Begin writes the rows of the life; it retries until they are written or the context ends.
// It returns the time at which the lease starts.
func (l *Life) Begin(ctx context.Context) (time.Time, error) {
	if err := l.putFences(ctx); err != nil {
		return time.Time{}, err
	}
	row := lifeRow{Box: l.box}
	sent := time.Now()
	c, err := l.insert(ctx, l.key(), row.encode())
	if err != nil {
		return time.Time{}, err
	}
	l.version = c.Version
	return sent, nil
}

// putFences writes the fence rows of all parts in parallel, since the first stored job waits
// for them.
func (l *Life) putFences(ctx context.Context) error {
	parts := append([]string{l.ring.partOf(l.box.Node)}, l.parts...)
	l.fences = make([]rowstore.Condition, len(parts))
	errs := make([]error, len(parts))
	var wait sync.WaitGroup
	for i, part := range parts {
		wait.Go(func() { l.fences[i], errs[i] = l.insert(ctx, fenceKey(part, l.box.Incarnation), []byte("{}")) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// insert writes a row that does not exist; it retries until that succeeds or the context
// ends.
func (l *Life) insert(ctx context.Context, key rowstore.Key, value []byte) (rowstore.Condition, error) {
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		out, err := withTimeout(ctx, callTimeout, func(ctx context.Context) (rowstore.Outcome, error) {
			return l.store.Transact(ctx, rowstore.Transaction{
				Conditions: []rowstore.Condition{{Key: key}},
				Puts:       []rowstore.Put{{Key: key, Value: value}},
			})
		})
		if err == nil {
			return rowstore.Condition{Key: key, Version: out.Version}, nil
		}
		if errors.Is(err, rowstore.ErrConflict) && len(out.Current) == 1 {
			// An earlier try took effect: names of lives are unique.
			return rowstore.Condition{Key: key, Version: out.Current[0].Version}, nil
		}
		wait.For(ctx, pause)
	}
	return rowstore.Condition{}, ctx.Err()
}

// Fence returns the condition that every write of the life to a part must have.
func (l *Life) Fence(part int) rowstore.Condition { return l.fences[part+1] }

// Renew renews the lease once and publishes the number of waiting jobs by queue. It returns
// the time at which the new lease starts, or ErrFenced once the life has ended.
func (l *Life) Renew(ctx context.Context, pending map[string]int) (time.Time, error) {
	l.count++
	l.pending = pending
	row := lifeRow{Box: l.box, Count: l.count, Pending: pending}
	return l.updateRow(ctx, row)
}

// Release ends the life: no write of it takes effect any more, and others take over its jobs
// at once. Its waiting jobs count until they have been taken over.
func (l *Life) Release(ctx context.Context) error {
	for i, part := range l.parts {
		if err := l.deleteFence(ctx, part, l.fences[i+1]); err != nil {
			return err
		}
	}
	l.count++
	_, err := l.updateRow(ctx, lifeRow{Box: l.box, Count: l.count, Pending: l.pending, Released: true})
	return err
}

func (l *Life) deleteFence(ctx context.Context, part string, fence rowstore.Condition) error {
	_, err := withTimeout(ctx, callTimeout, func(ctx context.Context) (rowstore.Outcome, error) {
		return l.store.Transact(ctx, rowstore.Transaction{
			Conditions: []rowstore.Condition{fence},
			Deletes:    []rowstore.Key{fenceKey(part, l.box.Incarnation)},
		})
	})
	return err
}

func (l *Life) updateRow(ctx context.Context, row lifeRow) (time.Time, error) {
	sent := time.Now()
	key := l.key()
	out, err := withTimeout(ctx, callTimeout, func(ctx context.Context) (rowstore.Outcome, error) {
		return l.store.Transact(ctx, rowstore.Transaction{
			Conditions: []rowstore.Condition{l.fences[0], {Key: key, Version: l.version}},
			Puts:       []rowstore.Put{{Key: key, Value: row.encode()}},
		})
	})
	switch {
	case err == nil:
		l.version = out.Version
		return sent, nil
	case errors.Is(err, rowstore.ErrConflict):
		return l.resolveConflict(out)
	}
	return time.Time{}, err
}

// resolveConflict handles a conflict, which may be caused by an earlier renewal of this life
// that took effect without an answer.
func (l *Life) resolveConflict(out rowstore.Outcome) (time.Time, error) {
	fenced := true
	for _, current := range out.Current {
		if current.Key == l.fences[0].Key && current.Version == l.fences[0].Version {
			fenced = false
		}
		if current.Key == l.key() {
			l.version = current.Version
		}
	}
	if fenced {
		return time.Time{}, ErrFenced
	}
	return time.Time{}, rowstore.ErrConflict
}
