package peer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rackspur/observe"
	"rackspur/peer/peerpb"
	"rackspur/rowstore"
)

// Peers provides connections to other processes.
type Peers interface {
	// Sample returns at most n clients of other processes in random order.
	Sample(n int) []peerpb.PeerClient
}

// Limits of calls through peers.
const (
	// relayMargin is reserved of a caller's time for the answer's way back from a peer.
	relayMargin = 50 * time.Millisecond
	// relayPeers is the largest number of peers that are tried.
	relayPeers = 2
	// maxDirectRead is the timeout of a direct read if as much time is left for peers. A
	// slow store answers within 250 ms.
	maxDirectRead = 500 * time.Millisecond
	// defaultRelayTimeout applies to calls through a peer without a deadline.
	defaultRelayTimeout = 2 * time.Second
	// maxHubRead is the timeout of a read through a hub. It leaves half of a read's
	// usual timeout of 0.7 s to ask the store.
	maxHubRead = 350 * time.Millisecond
	// minRelayTimeout is the shortest remaining time with which a peer is tried.
	minRelayTimeout = 30 * time.Millisecond
)

// Metrics of store calls by path, and of those without an answer.
const (
	metricDirect       = "store.calls.direct"
	metricDirectFailed = "store.calls.direct_failed"
	metricRelayed      = "store.calls.relayed"
	metricRelayFailed  = "store.calls.relay_failed"
	metricHub          = "store.calls.hub"
	metricHubFailed    = "store.calls.hub_failed"
)

// RelayedStore calls the store directly, or through peers while that fails. Since
// transactions carry their conditions, it does not matter which process makes them.
type RelayedStore struct {
	direct rowstore.Store
	// hubs may be nil.
	hubs    Hubs
	path    directPath
	peers   Peers
	metrics *observe.Metrics
	log     logr.Logger
}

// NewRelayedStore returns a store that falls back from direct to peers.
func NewRelayedStore(direct rowstore.Store, peers Peers, m *observe.Metrics, log logr.Logger) *RelayedStore {
	return &RelayedStore{direct: direct, path: directPath{log: log}, peers: peers, metrics: m, log: log}
}

// noteDirect records the outcome of a direct call.
func (r *RelayedStore) noteDirect(kind string, sent time.Time, err error) {
	r.metrics.Count(metricDirect, 1)
	if !unanswered(err) {
		r.path.noteSuccess()
		return
	}
	r.metrics.Count(metricDirectFailed, 1)
	r.path.noteFailure(kind, sent, err)
}

// unanswered reports whether a call failed because the store was not reached or has not
// answered.
func unanswered(err error) bool {
	return errors.Is(err, rowstore.ErrNotDone) || errors.Is(err, rowstore.ErrUncertain)
}

// noteRelay records the outcome of a call through a peer. Only failed calls for changes
// are logged, since they are few.
func (r *RelayedStore) noteRelay(kind string, err error) {
	r.metrics.Count(metricRelayed, 1)
	if !unanswered(err) {
		return
	}
	r.metrics.Count(metricRelayFailed, 1)
	if kind == callChanges {
		r.log.Info("No answer through a peer.", "call", kind, "error", err.Error())
	}
}

// Transact implements rowstore.Store.Transact.
func (r *RelayedStore) Transact(ctx context.Context, t rowstore.Transaction) (rowstore.Outcome, error) {
	if t.Merge {
		out, err := r.transactViaWriter(ctx, t)
		if !errors.Is(err, errNoHub) && !errors.Is(err, errHubFailed) {
			return out, err
		}
		// Only the part's writer merges transactions.
		t.Merge = r.isWriter(t.Part())
	}
	return callWithFallback(ctx, r, callTransact, t, func(ctx context.Context) (rowstore.Outcome, error) {
		return r.direct.Transact(ctx, t)
	})
}

// Read implements rowstore.Store.Read.
func (r *RelayedStore) Read(ctx context.Context, q rowstore.Query) (rowstore.Page, error) {
	if q.MayBeOld > 0 {
		page, err := r.callHub(ctx, min(relayTimeout(ctx), maxHubRead), callRead, q)
		if !errors.Is(err, errNoHub) && !errors.Is(err, errHubFailed) {
			return page, err
		}
	}
	return callWithFallback(ctx, r, callRead, q, func(ctx context.Context) (rowstore.Page, error) {
		ctx, cancel := limitDirectRead(ctx)
		defer cancel()
		return r.direct.Read(ctx, q)
	})
}

// Changes implements rowstore.Store.Changes.
func (r *RelayedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	call := changesCall{Table: table, After: after, WaitMS: wait.Milliseconds()}
	page, err := r.callHub(ctx, relayTimeout(ctx), callChanges, call)
	switch {
	case errors.Is(err, errNoHub):
	case !errors.Is(err, errHubFailed):
		return page, err
	case relayTimeout(ctx) < wait:
		// Too little time is left for the store to answer; the next call goes to it.
		return rowstore.Page{}, rowstore.ErrNotDone
	}
	return callWithFallback(ctx, r, callChanges, call, func(ctx context.Context) (rowstore.Page, error) {
		return r.direct.Changes(ctx, table, after, wait)
	})
}

// limitDirectRead bounds a direct read if enough time is left to try peers afterwards.
// A shorter read keeps all of its time, since a store that recovers may still answer it.
func limitDirectRead(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) < 2*maxDirectRead {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, maxDirectRead)
}

// callWithFallback makes a call directly, then through peers as long as it has certainly
// had no effect. A call that may have had one is not repeated; that is up to the caller.
func callWithFallback[A any](ctx context.Context, r *RelayedStore, kind string, body any, direct func(context.Context) (A, error)) (A, error) {
	var answer A
	err := rowstore.ErrNotDone
	tried := false
	if r.path.preferred() {
		tried = true
		sent := time.Now()
		answer, err = direct(ctx)
		r.noteDirect(kind, sent, err)
	}
	if !errors.Is(err, rowstore.ErrNotDone) {
		return answer, err
	}
	for _, p := range r.peers.Sample(relayPeers) {
		left := relayTimeout(ctx)
		if left < minRelayTimeout {
			break
		}
		a, peerErr := callPeer[A](ctx, p, left, kind, body)
		r.noteRelay(kind, peerErr)
		if !errors.Is(peerErr, rowstore.ErrNotDone) {
			return a, peerErr
		}
	}
	if !tried && ctx.Err() == nil {
		sent := time.Now()
		answer, err = direct(ctx)
		r.noteDirect(kind, sent, err)
	}
	return answer, err
}

// relayTimeout returns how long a call through a peer may take.
func relayTimeout(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline) - relayMargin
	}
	return defaultRelayTimeout
}

// callPeer makes a call through a peer with the timeout left.
func callPeer[A any](ctx context.Context, p peerpb.PeerClient, left time.Duration, kind string, body any) (A, error) {
	var answer A
	encoded, err := json.Marshal(body)
	if err != nil {
		return answer, rowstore.ErrInvalid
	}
	out, err := p.Store(ctx, &peerpb.StoreCall{Kind: kind, Body: encoded, TimeoutMs: uint32(left.Milliseconds())})
	if err != nil {
		if status.Code(err) == codes.Unavailable || status.Code(err) == codes.InvalidArgument {
			return answer, toStoreError(err)
		}
		return answer, rowstore.ErrUncertain
	}
	if json.Unmarshal(out.GetBody(), &answer) != nil {
		return answer, rowstore.ErrUncertain
	}
	if name := out.GetError(); name != "" {
		if e, ok := storeErrors[name]; ok {
			return answer, e
		}
		return answer, rowstore.ErrUncertain
	}
	return answer, nil
}

// toStoreError maps the gRPC error of a call to an error of the store. A call over a broken
// connection may have reached the peer, so its outcome is uncertain.
func toStoreError(err error) error {
	if status.Code(err) == codes.InvalidArgument {
		return rowstore.ErrInvalid
	}
	return rowstore.ErrUncertain
}

// shuffled returns at most n of the items in random order.
func shuffled[T any](items []T, n int) []T {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	return items[:min(n, len(items))]
}
