// Package evacuation tracks which failure domains the operator has evacuated. Nothing is
// started on targets in an evacuated failure domain; active runs there continue to their end.
//
// Entry boxes follow the store and distribute the news to the gates over existing links. News
// carries the store version that it covers and the time as of which it held, so that a gate can
// pick the newest of several messages and detect that its news is outdated.
package evacuation

import (
	"slices"
	"sync"
	"time"
)

// News is the set of evacuated failure domains as of a version of the store.
type News struct {
	// Domains lists the evacuated failure domains in sorted order.
	Domains []string
	// Version is the newest version of the store that is covered; 0 if nothing is known.
	Version uint64
	// AsOf is a time, on the monotonic clock of the process that holds the news, up to which no
	// later evacuation was acknowledged. It may be too early but never too late.
	AsOf time.Duration
}

// Known reports whether n contains any information.
func (n News) Known() bool { return n.Version != 0 }

// Includes reports whether the failure domain is evacuated.
func (n News) Includes(domain string) bool {
	_, found := slices.BinarySearch(n.Domains, domain)
	return found
}

// Join returns the newer of n and other, with the later AsOf of the two: the newer one covers
// everything that the older one does. Both must be of the same store.
func (n News) Join(other News) News {
	newer, older := n, other
	if other.Version > n.Version || (other.Version == n.Version && other.AsOf > n.AsOf) {
		newer, older = other, n
	}
	newer.AsOf = max(newer.AsOf, older.AsOf)
	return newer
}

// Holder keeps the newest news of a process. It is safe for concurrent use.
type Holder struct {
	mu       sync.Mutex
	news     News
	onChange func(News)
}

// OnNews sets a function that is called with the newest news after each call of Take, one call
// at a time. It must not call the holder.
func (h *Holder) OnNews(f func(News)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = f
}

// Take merges n into the newest news.
func (h *Holder) Take(n News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.news = h.news.Join(n)
	if h.onChange != nil {
		h.onChange(h.news)
	}
}

// News returns the newest news.
func (h *Holder) News() News {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.news
}
