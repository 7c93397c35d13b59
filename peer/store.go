package peer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rackspur/peer/peerpb"
	"rackspur/rowstore"
)

// Kinds of store calls.
const (
	callTransact = "transact"
	callRead     = "read"
	callChanges  = "changes"
)

// storeErrors maps names on the wire to errors of the store.
var storeErrors = map[string]error{
	"not-done":     rowstore.ErrNotDone,
	"uncertain":    rowstore.ErrUncertain,
	"conflict":     rowstore.ErrConflict,
	"history-gone": rowstore.ErrHistoryGone,
	"invalid":      rowstore.ErrInvalid,
}

func errorName(err error) string {
	for name, e := range storeErrors {
		if errors.Is(err, e) {
			return name
		}
	}
	return "uncertain"
}

// changesCall is the body of a call for changes.
type changesCall struct {
	Table  string `json:"table"`
	After  uint64 `json:"after"`
	WaitMS int64  `json:"wait_ms"`
}

// wait returns how long the store may wait for changes.
func (c changesCall) wait() time.Duration { return time.Duration(c.WaitMS) * time.Millisecond }

// Store implements peerpb.PeerServer.Store.
func (s *Server) Store(ctx context.Context, c *peerpb.StoreCall) (*peerpb.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	var answer any
	var err error
	switch c.GetKind() {
	case callTransact:
		var t rowstore.Transaction
		if json.Unmarshal(c.GetBody(), &t) != nil {
			return nil, status.Error(codes.InvalidArgument, "unreadable transaction")
		}
		answer, err = s.Direct.Transact(ctx, t)
	case callRead:
		var q rowstore.Query
		if json.Unmarshal(c.GetBody(), &q) != nil {
			return nil, status.Error(codes.InvalidArgument, "unreadable query")
		}
		answer, err = s.Direct.Read(ctx, q)
	case callChanges:
		var q changesCall
		if json.Unmarshal(c.GetBody(), &q) != nil {
			return nil, status.Error(codes.InvalidArgument, "unreadable call")
		}
		answer, err = s.Direct.Changes(ctx, q.Table, q.After, q.wait())
	default:
		return nil, status.Error(codes.InvalidArgument, "unknown call")
	}
	return storeAnswer(answer, err)
}

func storeAnswer(answer any, err error) (*peerpb.StoreAnswer, error) {
	out := &peerpb.StoreAnswer{}
	if err != nil {
		out.Error = errorName(err)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	out.Body = body
	return out, nil
}
