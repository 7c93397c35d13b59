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

// Row keys in the platform's table.
const (
	keyCurrent = "config/current"
	keyHistory = "config/history/"
)

// resolveTries is how often the outcome of a commit without an answer is looked up.
const resolveTries = 10

// Record is the stored form of an accepted change.
type Record struct {
	Version  uint64          `json:"version"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Time     time.Time       `json:"time"`
	Document json.RawMessage `json:"document"`
}

// Wire returns the message sent between processes.
func (r *Record) Wire() *wire.Config {
	return &wire.Config{Version: r.Version, ChangeId: r.ChangeID, Document: r.Document}
}

// Store stores the accepted configurations in the platform's table.
type Store struct {
	table store.Table
}

// NewStore returns a Store that uses a table.
func NewStore(t store.Table) *Store {
	return &Store{table: t}
}

// Current returns the record of the current configuration, or nil if none was accepted.
func (s *Store) Current(ctx context.Context) (*Record, error) {
	r, _, err := s.read(ctx, keyCurrent)
	return r, err
}

// History returns all accepted records, ordered by version.
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

// Change is a document that an operator submits for acceptance.
type Change struct {
	// ID identifies the change, so that its outcome can be looked up after a lost answer.
	ID string
	// Base is the version that the change is based on.
	Base     uint64
	Author   string
	Document *Document
}

// Apply commits a change and returns its record. It returns an ErrConflict that names
// the other change if another one was accepted first, or ErrUnavailable if the outcome
// is unknown.
func (s *Store) Apply(ctx context.Context, c Change) (*Record, error) {
	current, rowVersion, err := s.read(ctx, keyCurrent)
	if err != nil {
		return nil, err
	}
	version := uint64(0)
	if current != nil {
		version = current.Version
	}
	if version != c.Base {
		return nil, conflict(current)
	}
	next := &Record{Version: version + 1, ChangeID: c.ID, Author: c.Author, Time: time.Now().UTC(), Document: c.Document.Encode()}
	err = s.table.Commit(ctx, commitOf(next, rowVersion))
	if err == nil {
		return next, nil
	}
	return s.resolve(ctx, next, err)
}

// resolve determines the outcome of a commit that failed, conflicted or got no answer.
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

func commitOf(r *Record, rowVersion uint64) store.Commit {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record holds only text, numbers and valid JSON
	}
	return store.Commit{
		Conditions: []store.Condition{{Key: keyCurrent, Version: rowVersion}, {Key: historyKey(r.Version)}},
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
