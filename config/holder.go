package config

import (
	"context"
	"sync"

	"rackspur/wire"
)

// Accepted is a configuration that was accepted under a version number.
type Accepted struct {
	Version  uint64
	ChangeID string
	Document *Document
	encoded  *wire.Config
}

// Wire returns the message sent to other processes. It is shared and must not be modified.
func (a *Accepted) Wire() *wire.Config {
	return a.encoded
}

// Holder holds the current configuration of a process. Its version never decreases.
type Holder struct {
	mu      sync.Mutex
	current *Accepted
	changed chan struct{}
	hooks   []func(*Accepted)
}

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current returns the current configuration, or nil before the first one.
func (h *Holder) Current() *Accepted {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Version returns the current version, or 0 before the first one.
func (h *Holder) Version() uint64 {
	if a := h.Current(); a != nil {
		return a.Version
	}
	return 0
}

// OnChange registers f to be called with the current configuration, if there is
// one, and with each later one in order.
func (h *Holder) OnChange(f func(*Accepted)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hooks = append(h.hooks, f)
	if h.current != nil {
		f(h.current)
	}
}

// Changed returns a channel that is closed when the configuration next changes.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Await waits for the first configuration and returns the current one.
func (h *Holder) Await(ctx context.Context) (*Accepted, error) {
	for {
		changed := h.Changed()
		if a := h.Current(); a != nil {
			return a, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Offer replaces the current configuration if c is newer. It returns an ErrInvalid
// and keeps the current one if the document can't be decoded.
func (h *Holder) Offer(c *wire.Config) error {
	if c == nil || c.GetVersion() <= h.Version() {
		return nil
	}
	doc, err := Decode(c.GetDocument())
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && c.GetVersion() <= h.current.Version {
		return nil
	}
	h.current = &Accepted{Version: c.GetVersion(), ChangeID: c.GetChangeId(), Document: doc, encoded: c}
	for _, f := range h.hooks {
		f(h.current)
	}
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}

// UpdateFor returns the configuration to attach to a message for a peer that has the
// given version: the current one if the peer's is older, otherwise nil.
func (h *Holder) UpdateFor(peer uint64) *wire.Config {
	a := h.Current()
	if a == nil || a.Version <= peer {
		return nil
	}
	return a.Wire()
}
