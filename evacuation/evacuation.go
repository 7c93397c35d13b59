// Package evacuation holds which failure domains the operator has evacuated: nothing
// starts at their targets until that is taken back. What runs there ends by itself.
//
// The news of it has few sources, the entry boxes that follow the store, and many
// readers, the gates. It travels on the links that exist, with the version of the store
// that it covers and the time as of which it held, so that a gate goes by the newest of
// several words and knows when it has heard nothing for too long.
package evacuation

import (
	"slices"
	"sync"
	"time"
)

// News is which failure domains were evacuated as of a version of the store.
type News struct {
	// Domains are the evacuated failure domains, sorted.
	Domains []string
	// Version is the newest version of the store that is covered; 0 says that nothing
	// is known.
	Version uint64
	// AsOf is a time, on the steady clock of the process that holds the news, up to
	// which no later evacuation was acknowledged. It may be too early, never too late.
	AsOf time.Duration
}

// Known says whether anything is known at all.
func (n News) Known() bool { return n.Version != 0 }

// Includes says whether a failure domain is evacuated.
func (n News) Includes(domain string) bool {
	_, found := slices.BinarySearch(n.Domains, domain)
	return found
}

// Join returns the newer of two words about the same store, with the later of the times
// as of which they hold: the newer covers all that the older does.
func (n News) Join(other News) News {
	newer, older := n, other
	if other.Version > n.Version || (other.Version == n.Version && other.AsOf > n.AsOf) {
		newer, older = other, n
	}
	newer.AsOf = max(newer.AsOf, older.AsOf)
	return newer
}

// Holder keeps the newest news of a process and tells of each.
type Holder struct {
	mu       sync.Mutex
	news     News
	onChange func(News)
}

// OnNews sets what is called with the newest news after each that was taken in, one
// call after the other. It must not call the holder.
func (h *Holder) OnNews(f func(News)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = f
}

// Take takes news in.
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
