package gate

import "rackspur/job"

// QueueShare is how much of an executor's room, in thousandths, may wait at its
// gate beyond what is free, so that a run starts without a message as another
// ends. A tenth is about one task of three cores on an executor of 32. Longer queues
// bind runs that could start earlier elsewhere: docs/DECISIONS.md has the rounds.
const QueueShare = 100

// trimQueue gives the runs that come last back to their owners while more waits
// than may. Owners place by reports that are older than their orders.
func (g *Gate) trimQueue() {
	for g.queue.len() > 1 && g.queueRoom().CPU < 0 {
		g.giveBack(g.queue.last(), ReasonFull)
	}
}

// queueRoom returns the room that is left for runs that wait.
func (g *Gate) queueRoom() job.Resources {
	room := g.capacity.Minus(g.used).Plus(job.Resources{CPU: g.capacity.CPU * QueueShare / 1000})
	return room.Minus(g.queued())
}

// ReasonFull is why a run was given back that others go before.
const ReasonFull = "full"

// queued returns what the runs that wait take together.
func (g *Gate) queued() job.Resources {
	var total job.Resources
	for _, r := range g.queue.items {
		total = total.Plus(r.need)
	}
	return total
}
