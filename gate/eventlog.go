package gate

// This file writes events to the log.

// eventMessages maps the kinds of events to their log messages.
var eventMessages = map[EventKind]string{
	EventStop:    "Stopping a run.",
	EventFound:   "Found a run of an earlier process.",
	EventClaimed: "Run of an earlier process was claimed.",

	EventEvacuated: "Failure domain was evacuated; no more runs are started.",
	EventTakenBack: "Evacuation was revoked.",

	EventLost:                "Run counted as lost.",
	EventListsPassedOver:     "Skipped outdated lists of the target.",
	EventHeartbeatPassedOver: "Skipped a heartbeat.",
	EventRestart:             "Target has restarted.",
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
	case EventEvacuated, EventTakenBack:
		d.log.Info(message, "newsAgeMS", e.NewsAge.Milliseconds())
	case EventListsPassedOver:
		d.log.Info(message, "clockMS", e.Passed.Got, "newestMS", e.Passed.Newest, "times", e.Passed.Times, "leaseLeftMS", e.LeaseLeft.Milliseconds())
	case EventHeartbeatPassedOver:
		d.log.Info(message, "sequence", e.Passed.Got, "newest", e.Passed.Newest, "draining", e.Passed.Draining, "times", e.Passed.Times)
	case EventRestart:
		d.log.Info(message, "id", e.Life.ID, "born", e.Life.Born, "formerBorn", e.Former.Born, "atWork", e.AtWork)
	case EventLost:
		d.log.Info(message, "job", e.Run.Job, "step", e.Run.Step, "index", e.Run.Index, "run", e.Run.Run, "owner", e.Owner,
			"cause", e.Cause, "leaseLeftMS", e.LeaseLeft.Milliseconds())
	default:
		d.log.Info(message, "job", e.Run.Job, "step", e.Run.Step, "index", e.Run.Index, "run", e.Run.Run, "owner", e.Owner,
			"reason", string(e.Reason), "contactAgeMS", e.ContactAge.Milliseconds(), "leaseLeftMS", e.LeaseLeft.Milliseconds())
	}
}
