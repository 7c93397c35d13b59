package peer

import (
	"context"
	"errors"
	"time"

	"rackspur/peer/peerpb"
	"rackspur/rowstore"
)

// Hubs selects the processes that make store calls on behalf of others.
type Hubs interface {
	// Hub returns the hub to use and its node; ok is false if there is none.
	Hub() (hub peerpb.PeerClient, node string, ok bool)
	// Writer returns the hub that merges the transactions of a part, and its node; the
	// client is nil if that is this process. ok is false if there is none.
	Writer(part string) (hub peerpb.PeerClient, node string, ok bool)
	// HubAnswered and HubFailed report the outcome of a call to a hub.
	HubAnswered(node string)
	HubFailed(node string)
}

// SetHubs sends calls for changes, reads that may be old and transactions that may be merged
// to hubs first. It must be called before the store is used.
func (r *RelayedStore) SetHubs(h Hubs) { r.hubs = h }

// callHub makes a call through a hub with the timeout left. It returns errNoHub if there is
// no hub and errHubFailed if it has not answered; the caller then asks the store.
func (r *RelayedStore) callHub(ctx context.Context, left time.Duration, kind string, call any) (rowstore.Page, error) {
	if r.hubs == nil {
		return rowstore.Page{}, errNoHub
	}
	hub, node, ok := r.hubs.Hub()
	if !ok {
		return rowstore.Page{}, errNoHub
	}
	r.metrics.Count(metricHub, 1)
	hubCtx, cancel := context.WithTimeout(ctx, left+relayMargin)
	defer cancel()
	page, err := callPeer[rowstore.Page](hubCtx, hub, left, kind, call)
	if !unanswered(err) {
		r.hubs.HubAnswered(node)
		return page, err
	}
	r.metrics.Count(metricHubFailed, 1)
	r.hubs.HubFailed(node)
	r.log.Info("No answer from a hub; the store is asked.", "hub", node, "call", kind, "error", err.Error())
	return rowstore.Page{}, errHubFailed
}

// transactViaWriter makes a transaction through the hub that merges those of its part. It
// returns errNoHub if there is none or it is this process, and errHubFailed if the hub has
// certainly not made the transaction.
func (r *RelayedStore) transactViaWriter(ctx context.Context, t rowstore.Transaction) (rowstore.Outcome, error) {
	if r.hubs == nil {
		return rowstore.Outcome{}, errNoHub
	}
	hub, node, ok := r.hubs.Writer(t.Part())
	if !ok || hub == nil {
		return rowstore.Outcome{}, errNoHub
	}
	r.metrics.Count(metricHub, 1)
	out, err := callPeer[rowstore.Outcome](ctx, hub, relayTimeout(ctx), callTransact, t)
	if !unanswered(err) {
		r.hubs.HubAnswered(node)
		return out, err
	}
	r.metrics.Count(metricHubFailed, 1)
	r.hubs.HubFailed(node)
	r.log.Info("Transaction not made by a hub.", "hub", node, "part", t.Part(), "error", err.Error())
	if errors.Is(err, rowstore.ErrUncertain) {
		return rowstore.Outcome{}, err
	}
	return rowstore.Outcome{}, errHubFailed
}

// isWriter reports whether this process merges the transactions of a part.
func (r *RelayedStore) isWriter(part string) bool {
	if r.hubs == nil {
		return false
	}
	hub, _, ok := r.hubs.Writer(part)
	return ok && hub == nil
}

// Errors of calls through hubs.
var (
	errNoHub     = errors.New("peer: no hub")
	errHubFailed = errors.New("peer: no answer from the hub")
)
