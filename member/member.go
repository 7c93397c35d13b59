// Package member keeps the membership of a deployment in the store: a row for each box, and a
// life with a lease for each owner of jobs.
package member

import (
	"context"
	"encoding/json"
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

// ErrFenced is returned when a life has ended: others may have taken over its jobs.
var ErrFenced = eris.New("member: life is fenced")

// Role is what a box does.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Box is a registered process of a deployment.
type Box struct {
	Node        string `json:"node"`
	Role        Role   `json:"role"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Wide is set if the box has enough bandwidth to serve as a hub.
	Wide bool `json:"wide,omitempty"`
}

// Times of this package.
const (
	callTimeout   = 700 * time.Millisecond
	retryPause    = 100 * time.Millisecond
	maxRetryPause = time.Second
	// followWait is how long the store holds a call for changes of the membership. Broken
	// links reveal a lost box sooner. A new box becomes known up to 2.5 s late if the
	// connection of the call has died.
	followWait = 2 * time.Second
	// followGather is how long changes of the membership are batched. When all boxes start at
	// once, each change would otherwise cost a call of each entry box: 16,000 calls with 55
	// entry boxes and 240 agents.
	followGather = 250 * time.Millisecond
)

// Register writes a box's row; it retries until that succeeds or the context ends.
func Register(ctx context.Context, s rowstore.Store, d Box, log logr.Logger) {
	value, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	key := keyOf(d.Role, d.Node)
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
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

// Follow calls found for each box in the store, now or later, and lost with the node of each
// box whose row was deleted, until the context ends.
func Follow(ctx context.Context, s rowstore.Store, found func(Box), lost func(node string), unreadable *observe.UnreadableLog, log logr.Logger) {
	t := newTracker(found, lost, unreadable)
	f := rowstore.Follower{
		Store: s, Table: tableMembers, Parts: allParts(), Log: log, Wait: followWait, BatchDelay: followGather,
		OnReread: t.restart, Change: t.change, Confirmed: t.confirmed,
	}
	f.Run(ctx)
}

// tracker derives found and lost boxes from changes of rows.
type tracker struct {
	found      func(Box)
	lost       func(node string)
	unreadable *observe.UnreadableLog
	// known maps the nodes that were found and not lost to the versions of their rows.
	known map[string]uint64
	// seen holds the nodes found since rereading the table began; nil while it is not reread.
	seen map[string]bool
}

func newTracker(found func(Box), lost func(node string), unreadable *observe.UnreadableLog) *tracker {
	return &tracker{found: found, lost: lost, known: map[string]uint64{}, unreadable: unreadable}
}

// restart is called before the table is reread: deletions made meanwhile will not be reported
// as changes.
func (t *tracker) restart() { t.seen = map[string]bool{} }

// change handles a row. Rereading may yield an older row than the known one; the later
// changes follow.
func (t *tracker) change(row rowstore.Row) {
	if row.Gone {
		t.remove(nodeOf(row.Name))
		return
	}
	d, err := decodeBox(row)
	if err != nil {
		t.unreadable.Note(tableMembers, row.Name, err.Error())
		return
	}
	if t.seen != nil {
		t.seen[d.Node] = true
	}
	if row.Version < t.known[d.Node] {
		return
	}
	t.known[d.Node] = row.Version
	t.found(d)
}

// confirmed is called once all rows have been read.
func (t *tracker) confirmed(time.Time, uint64) {
	if t.seen == nil {
		return
	}
	for node := range t.known {
		if !t.seen[node] {
			t.remove(node)
		}
	}
	t.seen = nil
}

func (t *tracker) remove(node string) {
	if _, known := t.known[node]; !known {
		return
	}
	delete(t.known, node)
	delete(t.seen, node)
	t.lost(node)
}

// ReadBoxes reads the rows of all boxes; it retries until that succeeds or the context ends.
func ReadBoxes(ctx context.Context, s rowstore.Store, unreadable *observe.UnreadableLog) ([]Box, error) {
	rows, err := rowstore.ScanAll(ctx, s, tableMembers, allParts())
	if err != nil {
		return nil, err
	}
	return decodeBoxes(rows, unreadable), nil
}

func withTimeout[A any](ctx context.Context, d time.Duration, f func(context.Context) (A, error)) (A, error) {
	callCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return f(callCtx)
}
