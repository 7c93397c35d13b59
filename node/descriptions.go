package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rackspur/gate"
	"rackspur/internal/wait"
	"rackspur/member"
	"rackspur/observe"
	"rackspur/rowstore"
)

// tableTargets has a row for each agent with the description of its target, so that a
// restarted agent can open its gate without waiting for the target's next heartbeat.
const tableTargets = "executors"

// Timeout of reading or writing a description, and the pause before a write is retried.
const (
	descriptionTimeout = 700 * time.Millisecond
	descriptionPause   = 200 * time.Millisecond
)

// descriptions stores the description of an agent's target.
type descriptions struct {
	store  rowstore.Store
	node   string
	driver *gate.Driver
	// version is the newest known version of the stored row; 0 if it is unknown or there is none.
	version atomic.Uint64
	// unreadable records a description that can't be decoded.
	unreadable *observe.UnreadableLog
	log        logr.Logger
}

func (s *descriptions) key() rowstore.Key {
	return rowstore.Key{Table: tableTargets, Part: member.AgentPart(s.node), Name: s.node}
}

// run restores the stored description and stores each new one until the context ends.
func (s *descriptions) run(ctx context.Context) {
	go s.restore(ctx)
	for {
		select {
		case d := <-s.driver.Described():
			s.keep(ctx, d)
		case <-ctx.Done():
			return
		}
	}
}

// restore reads the stored description, if any, and passes it to the gate. A failure is
// not retried, since the target's next heartbeat describes it too.
func (s *descriptions) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, descriptionTimeout)
	defer cancel()
	row, ok, err := rowstore.ReadOne(ctx, s.store, s.key())
	if err != nil {
		s.log.Info("Target description not read.", "error", err.Error())
		return
	}
	if !ok {
		return
	}
	s.version.CompareAndSwap(0, row.Version)
	s.restoreRow(row)
}

func (s *descriptions) restoreRow(row rowstore.Row) {
	var d gate.Description
	if err := json.Unmarshal(row.Value, &d); err != nil {
		s.unreadable.Note(tableTargets, row.Name, err.Error())
		return
	}
	s.driver.RestoreDescription(d)
}

// keep writes a description, with retries until it is stored, a newer one is available,
// or the context ends.
func (s *descriptions) keep(ctx context.Context, d gate.Description) {
	value, err := json.Marshal(d)
	if err != nil {
		s.log.Error(err, "Target description not encoded.")
		return
	}
	for ctx.Err() == nil {
		err := s.write(ctx, value)
		if err == nil {
			return
		}
		s.log.V(1).Info("Target description not stored; retrying.", "error", err.Error())
		if !s.outdated() {
			wait.For(ctx, descriptionPause)
		}
		if s.outdated() {
			return
		}
	}
}

// outdated reports whether a newer description is available.
func (s *descriptions) outdated() bool { return len(s.driver.Described()) > 0 }

// write stores a description unless the row has changed since its known version: the store may
// carry out an unanswered write late, after a newer one. If the row has changed, by an earlier
// process or an unanswered write, a second try replaces it.
func (s *descriptions) write(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, descriptionTimeout)
	defer cancel()
	err := s.replace(ctx, value)
	if errors.Is(err, rowstore.ErrConflict) && !s.outdated() {
		err = s.replace(ctx, value)
	}
	return err
}

// replace writes the row if it still has the known version. Otherwise it returns ErrConflict and
// the known version is the current one.
func (s *descriptions) replace(ctx context.Context, value []byte) error {
	key := s.key()
	out, err := s.store.Transact(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key, Version: s.version.Load()}},
		Puts:       []rowstore.Put{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		s.version.Store(out.Version)
	case errors.Is(err, rowstore.ErrConflict):
		return s.noteConflict(out, value)
	}
	return err
}

// noteConflict takes over the current version and restores the current description. It returns nil
// if the row has the value already, by a write that was not answered.
func (s *descriptions) noteConflict(out rowstore.Outcome, value []byte) error {
	s.version.Store(0)
	for _, row := range out.Current {
		s.version.Store(row.Version)
		if bytes.Equal(row.Value, value) {
			return nil
		}
		s.restoreRow(row)
	}
	return rowstore.ErrConflict
}
