package config

import (
	"context"
	"sync"

	"rackspur/wire"
)

// Accepted is a numbered configuration in force.
type Accepted struct {
	Version  uint64
	ChangeID string
	Document *Document
	encoded  *wire.Config
}

// Wire returns the form sent to other processes. It is shared; don't change it.
func (a *Accepted) Wire() *wire.Config {
	return a.encoded
}

// Holder keeps the configuration in force in one process. It never goes back.
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

// Current returns the configuration in force, or nil before the first one.
func (h *Holder) Current() *Accepted {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Version returns the version in force, 0 before the first one.
func (h *Holder) Version() uint64 {
	if a := h.Current(); a != nil {
		return a.Version
	}
	return 0
}

// OnChange registers f to be called, in order, with each configuration that
// comes into force from now on, and with the present one.
func (h *Holder) OnChange(f func(*Accepted)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hooks = append(h.hooks, f)
	if h.current != nil {
		f(h.current)
	}
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Await returns the configuration in force once there is one.
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

// Offer takes a configuration into force if it is newer. It reports an
// ErrInvalid for a document that can't be read and keeps what it has.
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

// For returns what to attach to a message for a peer that has the given
// version: the present configuration if the peer is behind, else nil.
func (h *Holder) For(peer uint64) *wire.Config {
	a := h.Current()
	if a == nil || a.Version <= peer {
		return nil
	}
	return a.Wire()
}
