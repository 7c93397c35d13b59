// Package member keeps in the store which daemons there are and which of them
// own jobs: a row for each daemon, and a life with a lease for each owner.
package member

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"rackspur/internal/wait"
	"rackspur/observe"
	"rackspur/rowstore"
)

// Tables of this package.
const (
	tableMembers = "members"
	tableLives   = "lives"
	tableFences  = "fences"
)

// membersPart is the part that the rows of the daemons stand in.
const membersPart = "members"

// ErrFenced says that a life is over: others may have taken its jobs.
var ErrFenced = eris.New("member: life is fenced")

// Role is what a daemon does.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Daemon is a process of ours.
type Daemon struct {
	Node        string `json:"node"`
	Role        Role   `json:"role"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// Times of this package.
const (
	callTimeout = 700 * time.Millisecond
	retryPause  = 100 * time.Millisecond
	mostPause   = time.Second
	// followWait is how long a call for changes of the membership is held back.
	// Links that fail tell sooner that a daemon is gone; a new one is known 2.5 s
	// late where the call's connection has died.
	followWait = 2 * time.Second
	// followGather is how long changes of the membership are gathered: when all
	// daemons start, each change would be a call of each entry box otherwise, 16,000
	// at 55 entry boxes and 240 agents.
	followGather = 250 * time.Millisecond
)

// Register writes a daemon's row, and tries until it stands or the context ends.
func Register(ctx context.Context, s rowstore.Store, d Daemon, log logr.Logger) {
	value, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	key := rowstore.Key{Table: tableMembers, Part: membersPart, Name: d.Node}
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, mostPause) {
		if err := register(ctx, s, key, value); err == nil {
			log.Info("Registered.", "node", d.Node, "incarnation", d.Incarnation)
			return
		}
		wait.For(ctx, pause)
	}
}

func register(ctx context.Context, s rowstore.Store, key rowstore.Key, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, ok, err := rowstore.ReadOne(callCtx, s, key)
	if err != nil {
		return err
	}
	if ok && string(row.Value) == string(value) {
		return nil
	}
	_, err = s.Transact(callCtx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key, Version: row.Version}},
		Puts:       []rowstore.Put{{Key: key, Value: value}},
	})
	return err
}

// ReadDaemons reads the rows of all daemons; those that can't be read are noted.
func ReadDaemons(ctx context.Context, s rowstore.Store, unreadable *observe.Unreadable) ([]Daemon, uint64, error) {
	rows, version, err := rowstore.ReadAll(ctx, s, rowstore.Query{Table: tableMembers, Part: membersPart})
	if err != nil {
		return nil, 0, err
	}
	var all []Daemon
	for _, row := range rows {
		d, err := decodeDaemon(row)
		if err != nil {
			unreadable.Note(tableMembers, row.Name, err.Error())
			continue
		}
		all = append(all, d)
	}
	return all, version, nil
}

// ErrUnknown says that no daemon of a name is registered.
var ErrUnknown = eris.New("member: unknown daemon")

// ReadDaemon reads the row of one daemon.
func ReadDaemon(ctx context.Context, s rowstore.Store, node string) (Daemon, error) {
	row, ok, err := rowstore.ReadOne(ctx, s, rowstore.Key{Table: tableMembers, Part: membersPart, Name: node})
	if err != nil {
		return Daemon{}, err
	}
	if !ok {
		return Daemon{}, ErrUnknown
	}
	d, err := decodeDaemon(row)
	if err != nil {
		return Daemon{}, eris.Wrap(ErrUnknown, err.Error())
	}
	return d, nil
}

// ErrRow says that a row of this package's tables can't be read.
var ErrRow = eris.New("member: row")

// decodeDaemon reads the row of a daemon.
func decodeDaemon(row rowstore.Row) (Daemon, error) {
	var d Daemon
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return Daemon{}, eris.Wrap(ErrRow, err.Error())
	}
	if d.Node == "" || d.Node != row.Name {
		return Daemon{}, eris.Wrapf(ErrRow, "node %.40q under another name", d.Node)
	}
	if d.Role != RoleEntry && d.Role != RoleAgent {
		return Daemon{}, eris.Wrapf(ErrRow, "role %.40q is not known", d.Role)
	}
	if _, _, err := net.SplitHostPort(d.Address); err != nil {
		return Daemon{}, eris.Wrapf(ErrRow, "address %.40q", d.Address)
	}
	if d.Incarnation == "" {
		return Daemon{}, eris.Wrap(ErrRow, "no incarnation")
	}
	return d, nil
}

// Follow calls found with each daemon that stands in the store or comes later,
// until the context ends.
func Follow(ctx context.Context, s rowstore.Store, found func(Daemon), unreadable *observe.Unreadable, log logr.Logger) {
	f := rowstore.Follower{
		Store: s, Table: tableMembers, Log: log, Wait: followWait, Gather: followGather,
		ReadAll: func(ctx context.Context) (uint64, error) {
			all, version, err := ReadDaemons(ctx, s, unreadable)
			for _, d := range all {
				found(d)
			}
			return version, err
		},
		Change: func(row rowstore.Row) {
			if row.Gone {
				return
			}
			d, err := decodeDaemon(row)
			if err != nil {
				unreadable.Note(tableMembers, row.Name, err.Error())
				return
			}
			found(d)
		},
	}
	f.Run(ctx)
}

func withTimeout[A any](ctx context.Context, d time.Duration, f func(context.Context) (A, error)) (A, error) {
	callCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return f(callCtx)
}
