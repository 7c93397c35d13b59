// Package store is a client of the platform's service: a table service with transactions, an
// object store, and a list of boxes that may lag.
//
// The Service interface is implemented by the HTTP client and, for tests and trials, by the
// store of the stand-in platform. The same contract test runs against both.
package store

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrUnavailable is returned if the service gave no answer; a read had no effect.
	ErrUnavailable = eris.New("store: unavailable")
	// ErrUncertain is returned if a write was not answered and may have taken effect.
	ErrUncertain = eris.New("store: outcome of the write unknown")
	// ErrConflict is returned if a condition of a commit did not hold; nothing was written.
	ErrConflict = eris.New("store: conflict")
	// ErrNotFound is returned if the key does not exist.
	ErrNotFound = eris.New("store: not found")
	// ErrRefused is returned if the service rejected the request as invalid.
	ErrRefused = eris.New("store: request refused")
)

// Row is a row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version starts at 1 and increases with each write of the row.
	Version uint64 `json:"version"`
}

// Condition holds if the row has the version; version 0 means that it does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Commit is a transaction: all puts happen if all conditions hold, otherwise none.
type Commit struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row, ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys have the prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit returns ErrConflict, ErrUncertain or nil.
	Commit(ctx context.Context, c Commit) error
}

// Objects is the object store.
type Objects interface {
	// GetObject returns an object, ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// PutObject replaces an object. It returns ErrUncertain or nil.
	PutObject(ctx context.Context, key string, value []byte) error
}

// BoxState is a box's state according to the platform.
type BoxState string

// The states of a box.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Role is what runs on a box.
type Role string

// The roles of a box.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Box is an entry of the platform's list of boxes.
type Box struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Address is where the rackspur process on the box serves others.
	Address string   `json:"address"`
	Domain  string   `json:"domain"`
	State   BoxState `json:"state"`
}

// Boxes is the platform's list of boxes.
type Boxes interface {
	// ListBoxes returns the list, which may lag, or ErrUnavailable.
	ListBoxes(ctx context.Context) ([]Box, error)
}

// Service is everything that rackspur uses of the platform.
type Service interface {
	Table
	Objects
	Boxes
}
