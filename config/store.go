package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"rackspur/internal/wait"
	"rackspur/store"
	"rackspur/wire"
)

// Keys of the rows in the platform's table.
const (
	keyCurrent = "config/current"
	keyHistory = "config/history/"
)

// resolveTries is how often a lost answer is resolved by reading back.
const resolveTries = 10

// Record is an accepted change as it stands in the table.
type Record struct {
	Version  uint64          `json:"version"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Time     time.Time       `json:"time"`
	Document json.RawMessage `json:"document"`
}

// Wire returns the form sent between processes.
func (r *Record) Wire() *wire.Config {
	return &wire.Config{Version: r.Version, ChangeId: r.ChangeID, Document: r.Document}
}

// Store keeps the accepted configurations in the platform's table.
type Store struct {
	table store.Table
}

// NewStore returns the store on a table.
func NewStore(t store.Table) *Store {
	return &Store{table: t}
}

// Current returns the accepted record, nil if there is none yet, or ErrUnavailable.
func (s *Store) Current(ctx context.Context) (*Record, error) {
	r, _, err := s.read(ctx, keyCurrent)
	return r, err
}

// History returns the accepted records in the order of their versions.
func (s *Store) History(ctx context.Context) ([]Record, error) {
	rows, err := s.table.List(ctx, keyHistory)
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	records := make([]Record, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &records[i]); err != nil {
			return nil, eris.Wrap(ErrInvalid, err.Error())
		}
	}
	return records, nil
}

// Change is a declaration to be accepted.
type Change struct {
	// ID names the change, so that a lost answer can be resolved.
	ID string
	// Base is the version that the operator started from.
	Base     uint64
	Author   string
	Document *Document
}

// Apply has a change accepted. It returns the accepted record, an ErrConflict
// that names the other change, or ErrUnavailable if the outcome can't be learned.
func (s *Store) Apply(ctx context.Context, c Change) (*Record, error) {
	now, row, err := s.read(ctx, keyCurrent)
	if err != nil {
		return nil, err
	}
	version := uint64(0)
	if now != nil {
		version = now.Version
	}
	if version != c.Base {
		return nil, conflict(now)
	}
	next := &Record{Version: version + 1, ChangeID: c.ID, Author: c.Author, Time: time.Now().UTC(), Document: c.Document.Encode()}
	err = s.table.Commit(ctx, commitOf(next, row))
	if err == nil {
		return next, nil
	}
	return s.resolve(ctx, next, err)
}

// resolve learns what became of a commit whose answer was lost or a conflict.
func (s *Store) resolve(ctx context.Context, next *Record, cause error) (*Record, error) {
	for try := 0; ; try++ {
		got, _, err := s.read(ctx, historyKey(next.Version))
		switch {
		case err == nil && got != nil && got.ChangeID == next.ChangeID:
			return got, nil
		case err == nil && got != nil:
			return nil, conflict(got)
		case err == nil && errors.Is(cause, store.ErrConflict):
			return nil, eris.Wrap(ErrConflict, cause.Error())
		}
		if try == resolveTries || ctx.Err() != nil {
			return nil, eris.Wrapf(ErrUnavailable, "change %s may or may not be accepted: %v", next.ChangeID, cause)
		}
		wait.For(ctx, time.Duration(try+1)*100*time.Millisecond)
	}
}

func (s *Store) read(ctx context.Context, key string) (*Record, uint64, error) {
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, eris.Wrap(ErrUnavailable, err.Error())
	}
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, 0, eris.Wrap(ErrInvalid, err.Error())
	}
	return &r, row.Version, nil
}

func commitOf(r *Record, row uint64) store.Commit {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record holds only text, numbers and valid JSON
	}
	return store.Commit{
		Conditions: []store.Condition{{Key: keyCurrent, Version: row}, {Key: historyKey(r.Version)}},
		Puts:       []store.Put{{Key: keyCurrent, Value: value}, {Key: historyKey(r.Version), Value: value}},
	}
}

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%012d", keyHistory, version)
}

func conflict(other *Record) error {
	if other == nil {
		return eris.Wrap(ErrConflict, "no configuration is accepted yet")
	}
	return eris.Wrapf(ErrConflict, "version %d is in force: change %s by %s", other.Version, other.ChangeID, other.Author)
}
