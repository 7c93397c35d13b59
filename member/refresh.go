package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"rackspur/internal/wait"
	"rackspur/rowstore"
)

// Each box refreshes its row regularly, and a Sweeper deletes rows that were not refreshed
// for long. Otherwise the rows of lost boxes would accumulate.

// Times of refreshes.
const (
	// refreshInterval is the time between two refreshes of a box: 984 boxes together make
	// 3.3 writes a second.
	refreshInterval = 5 * time.Minute
	// refreshRetryDelay is the time between a failed refresh and the next.
	refreshRetryDelay = 10 * time.Second
)

// tableRefreshed has a row for each box that is written with each refresh. It is separate
// from the table of boxes, whose changes go to every entry box.
const tableRefreshed = "refreshed"

// refreshedKey returns the key of the row that is written to refresh a box's row. It is in
// the same part.
func refreshedKey(k rowstore.Key) rowstore.Key {
	k.Table = tableRefreshed
	return k
}

// KeepRegistered registers a box and refreshes its row until the context ends. If the row was
// deleted or belongs to another process, it is written again.
func KeepRegistered(ctx context.Context, s rowstore.Store, d Box, log logr.Logger) {
	Register(ctx, s, d, log)
	pause := jitter(refreshInterval)
	for {
		wait.For(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		pause = jitter(refreshInterval)
		if err := refresh(ctx, s, d, log); err != nil {
			log.V(1).Info("Row not refreshed.", "node", d.Node, "error", err.Error())
			pause = refreshRetryDelay
		}
	}
}

// jitter returns a random duration around d, so that boxes that were started together do not
// write at the same time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// refresh refreshes a box's row once.
func refresh(ctx context.Context, s rowstore.Store, d Box, log logr.Logger) error {
	key := keyOf(d.Role, d.Node)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, ok, err := rowstore.ReadOne(callCtx, s, key)
	if err != nil {
		return err
	}
	if current, err := decodeBox(row); !ok || err != nil || current != d {
		log.Info("Row of this process is not there; registering again.", "node", d.Node, "there", ok)
		Register(ctx, s, d, log)
		return nil
	}
	_, err = s.Transact(callCtx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key, Version: row.Version}},
		Puts:       []rowstore.Put{{Key: refreshedKey(key), Value: []byte(d.Incarnation)}},
	})
	return err
}
