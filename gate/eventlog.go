package gate

// This file writes events to the log.

// eventMessages maps the kinds of events to their log messages.
var eventMessages = map[EventKind]string{
	EventStop:    "Stopping a run.",
	EventFound:   "Found a run of an earlier process.",
	EventClaimed: "Run of an earlier process was claimed.",

	EventEvacuated: "Failure domain was evacuated; no more runs are started.",
	EventRevoked:   "Evacuation was revoked.",

	EventLost:             "Run counted as lost.",
	EventListsSkipped:     "Skipped outdated lists of the target.",
	EventHeartbeatSkipped: "Skipped a heartbeat.",
	EventRestart:          "Target has restarted.",
	EventLeaving:          "Target is leaving.",
	EventSecondOwner:      "Another owner's run of the task is active.",
}

// logEvents writes a log line for each event.
func (d *Driver) logEvents(events []Event) {
	for _, e := range events {
		d.logEvent(e)
	}
}

func (d *Driver) logEvent(e Event) {
	message := eventMessages[e.Kind]
	switch e.Kind {
	case EventEvacuated, EventRevoked:
		d.log.Info(message, "newsAgeMS", e.NewsAge.Milliseconds())
	case EventListsSkipped:
		d.log.Info(message, "clockMS", e.Skipped.Got, "newestMS", e.Skipped.Newest, "times", e.Skipped.Times, "leaseLeftMS", e.LeaseLeft.Milliseconds())
	case EventHeartbeatSkipped:
		d.log.Info(message, "sequence", e.Skipped.Got, "newest", e.Skipped.Newest, "draining", e.Skipped.Draining, "times", e.Skipped.Times)
	case EventRestart:
		d.log.Info(message, "id", e.Incarnation.ID, "born", e.Incarnation.Born, "formerBorn", e.Former.Born, "atWork", e.ActiveRuns)
	case EventLeaving:
		d.log.Info(message, "id", e.Incarnation.ID, "born", e.Incarnation.Born, "timeLeftMS", e.TimeLeft.Milliseconds(), "atWork", e.ActiveRuns, "moves", e.Moves)
	case EventLost:
		d.log.Info(message, "job", e.Run.Job, "step", e.Run.Step, "index", e.Run.Index, "run", e.Run.Run, "owner", e.Owner,
			"cause", e.Cause, "leaseLeftMS", e.LeaseLeft.Milliseconds())
	default:
		d.log.Info(message, "job", e.Run.Job, "step", e.Run.Step, "index", e.Run.Index, "run", e.Run.Run, "owner", e.Owner,
			"reason", string(e.Reason), "contactAgeMS", e.ContactAge.Milliseconds(), "endsInMS", e.EndsIn.Milliseconds(), "leaseLeftMS", e.LeaseLeft.Milliseconds())
	}
}
