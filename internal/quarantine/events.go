package quarantine

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evQuarantined = event.Define(13001, "request_quarantined", plog.WarnLevel,
		"Requests of one content are kept from targets, as targets end that run them: those of one caller, or those of anyone; hold is for how long, from who found it.",
		"Look for 11010 of this content on all hosts: they name the requests and the targets. \"rhubarbwood quarantine\" lists what is held, and clears it once the targets are mended.",
		"content", "of_anyone", "strikes", "hold", "from")
	evStored = event.Define(13002, "quarantine_stored", plog.InfoLevel,
		"The store holds what is held against requests of one content, so that hosts that start all at once know it.", "none", "content", "strikes")
	evNotStored = event.Define(13003, "quarantine_not_stored", plog.WarnLevel,
		"What is held against requests of one content could not be written to the store. It is tried again; the hosts tell it each other meanwhile.",
		"Check the store, if it goes on.", "content", "error")
	evUnreadable = event.Define(13004, "quarantine_unreadable", plog.WarnLevel,
		"A record of requests in quarantine can't be read; the others hold.", "Remove it, if no newer release wrote it.", "name", "error")
)
