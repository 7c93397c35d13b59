// Package store speaks to the platform's service: a table service with
// transactions, an object store, and a lagging list of boxes.
//
// The interfaces are met by Client over HTTP and, in this repository's tests
// and trials, by the stand-in's store. One contract test runs against both.
package store

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrUnavailable says that the service gave no answer; a read had no effect.
	ErrUnavailable = eris.New("store: unavailable")
	// ErrUncertain says that a write may have taken effect though no answer came.
	ErrUncertain = eris.New("store: outcome of the write unknown")
	// ErrConflict says that a condition of a commit did not hold; nothing was written.
	ErrConflict = eris.New("store: conflict")
	// ErrNotFound says that the key does not exist.
	ErrNotFound = eris.New("store: not found")
	// ErrRefused says that the service took the request for wrong.
	ErrRefused = eris.New("store: request refused")
)

// Row is a row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with each write of the row, from 1.
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

// Commit is a transaction: all puts happen if all conditions hold, else none.
type Commit struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row, ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys have the prefix, in the order of the keys.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit returns ErrConflict, ErrUncertain or nil.
	Commit(ctx context.Context, c Commit) error
}

// Objects is the object store.
type Objects interface {
	// GetObject returns an object, ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// PutObject writes an object whole. It returns ErrUncertain or nil.
	PutObject(ctx context.Context, key string, value []byte) error
}

// BoxState is what the platform says of a box.
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
	// Address is where the box's process of ours serves the others.
	Address string   `json:"address"`
	Domain  string   `json:"domain"`
	State   BoxState `json:"state"`
}

// Boxes is the platform's lagging list.
type Boxes interface {
	// ListBoxes returns the list, which may lag behind the truth, or ErrUnavailable.
	ListBoxes(ctx context.Context) ([]Box, error)
}

// Service is all that rackspur uses of the platform.
type Service interface {
	Table
	Objects
	Boxes
}
