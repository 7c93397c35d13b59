package gate

// This file holds the log lines of what a gate has done or found.

// eventMessages are the log lines of events.
var eventMessages = map[EventKind]string{
	EventStop:    "Run is stopped.",
	EventFound:   "Found a run of an earlier process.",
	EventClaimed: "Run of an earlier process is claimed.",

	EventEvacuated: "Failure domain is evacuated; nothing more starts.",
	EventTakenBack: "Evacuation is taken back.",

	EventLost:                "Run counts as over.",
	EventListsPassedOver:     "Lists of the target passed over.",
	EventHeartbeatPassedOver: "Heartbeat passed over.",
	EventRestart:             "Target has started again.",
}

// tellEvents writes a line for each event.
func (d *Driver) tellEvents(events []Event) {
	for _, e := range events {
		d.tellEvent(e)
	}
}

func (d *Driver) tellEvent(e Event) {
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
