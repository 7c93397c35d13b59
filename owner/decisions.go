package owner

import "time"

// Decisions selects how an owner decides under load. The zero value selects the simplest way
// of each decision.
type Decisions struct {
	// PlaceBySpeed places tasks by when they are expected to end, rather than by free room.
	PlaceBySpeed bool
	// SharedLoad admits jobs by the work that waits at all owners, rather than at this one.
	SharedLoad bool
	// FairShares keeps the queues and wide jobs from losing their share of the room.
	FairShares bool
	// MaxRetryAfter is the longest time after which refused callers are told to return.
	MaxRetryAfter time.Duration
}
