package quarantine

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evQuarantined = event.Define(13001, "request_quarantined", plog.WarnLevel,
		"Requests with one content, from one caller or (of_anyone) from any, are not sent to targets, because targets end while they run them. hold is how long that lasts; from tells whether this host or other hosts detected it.",
		"Look for event 11010 with this content on all hosts: it names the requests and the targets. \"rhubarbwood quarantine\" lists the quarantined requests, and clears them once the targets are repaired.",
		"content", "of_anyone", "strikes", "hold", "from")
	evStored = event.Define(13002, "quarantine_stored", plog.InfoLevel,
		"The quarantine record of one content is in the store, where hosts read it that start while no other host runs.", "none", "content", "strikes")
	evNotStored = event.Define(13003, "quarantine_not_stored", plog.WarnLevel,
		"The quarantine record of one content could not be written to the store. The write is retried; hosts exchange the record directly meanwhile.",
		"Check the store if the event repeats.", "content", "error")
	evUnreadable = event.Define(13004, "quarantine_unreadable", plog.WarnLevel,
		"A quarantine record in the store is invalid and is ignored; the other records apply.", "Remove the record unless a newer release wrote it.", "name", "error")
)
