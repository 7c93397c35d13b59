package entry

import (
	"math"
	"sync"

	"golang.org/x/time/rate"

	"rackspur/config"
)

// quotas holds the members to their shares at this entry box. Each declared
// quota is divided over the entry boxes that the platform lists.
type quotas struct {
	mu      sync.Mutex
	members map[string]*memberQuota
}

type memberQuota struct {
	limiter  *rate.Limiter
	inFlight int
	most     int
}

func newQuotas() *quotas {
	return &quotas{members: map[string]*memberQuota{}}
}

// configure sets the quotas for the given number of entry boxes.
func (q *quotas) configure(d *config.Document, entries int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range d.Members {
		mq := q.members[m.Name]
		if mq == nil {
			mq = &memberQuota{limiter: rate.NewLimiter(rate.Inf, 0)}
			q.members[m.Name] = mq
		}
		mq.set(m, float64(entries))
	}
}

func (mq *memberQuota) set(m config.Member, entries float64) {
	limit, burst := rate.Inf, 0
	if m.Rate > 0 {
		limit = rate.Limit(m.Rate / entries)
		burst = max(1, int(math.Ceil(m.Rate/entries)))
	}
	switch {
	case mq.limiter.Limit() == limit:
	case mq.limiter.Limit() == rate.Inf:
		mq.limiter = rate.NewLimiter(limit, burst) // starts with a full burst
	default:
		mq.limiter.SetLimit(limit)
		mq.limiter.SetBurst(burst)
	}
	mq.most = 0
	if m.Concurrency > 0 {
		mq.most = max(1, int(math.Ceil(float64(m.Concurrency)/entries)))
	}
}

// Reasons of refusals by quota.
const (
	reasonRate        = "quota-rate"
	reasonConcurrency = "quota-concurrency"
)

// enter counts a submission of a member. It returns the reason if the quota is
// used up; leave must be called in either case.
func (q *quotas) enter(member string) (refusal string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	mq := q.members[member]
	mq.inFlight++
	if mq.most > 0 && mq.inFlight > mq.most {
		return reasonConcurrency
	}
	if !mq.limiter.Allow() {
		return reasonRate
	}
	return ""
}

// leave ends what enter began.
func (q *quotas) leave(member string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.members[member].inFlight--
}
