package gate

import "rackspur/job"

// QueueShare is how much of a target's capacity, in thousandths, may be queued at its gate
// beyond what is free, so that a run starts without a round trip when another ends. Longer
// queues bind runs that could start earlier on another target. A tenth is about one task of
// three cores on a target with 32.
const QueueShare = 100

// trimQueue returns the last runs of the queue to their owners while it exceeds its limit,
// since owners place runs by reports that may be outdated.
func (g *Gate) trimQueue() {
	for g.queue.len() > 1 && g.queueRoom().CPU < 0 {
		g.rejectQueued(g.queue.last(), ReasonFull)
	}
}

// queueRoom returns how much more may be queued.
func (g *Gate) queueRoom() job.Resources {
	room := g.capacity.Minus(g.used).Plus(job.Resources{CPU: g.capacity.CPU * QueueShare / 1000})
	return room.Minus(g.queued())
}

// ReasonFull is the reason given when a run is returned because the queue is full.
const ReasonFull = "full"

// queued returns the total need of the queued runs.
func (g *Gate) queued() job.Resources {
	var total job.Resources
	for _, r := range g.queue.items {
		total = total.Plus(r.need)
	}
	return total
}
