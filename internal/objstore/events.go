package objstore

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evUnreachable = event.Define(1001, "platform_unreachable", plog.WarnLevel,
		"A call to the platform failed after earlier ones had succeeded.",
		"Check the platform. Searches go on with the configuration that the hosts hold; reservations are refused.",
		"verb", "error")
	evReachable = event.Define(1002, "platform_reachable", plog.InfoLevel,
		"The platform answers, at first or again.", "none", "verb")
	evUnreadable = event.Define(1003, "record_unreadable", plog.WarnLevel,
		"A record in the store can't be read; the others hold. Of many some lines are left out; the counter has them all.",
		"Find who wrote it, by its kind and name, and remove it.", "kind", "record", "error")
	evRestored = event.Define(1004, "platform_restored", plog.WarnLevel,
		"The platform came back from an older copy: its era has risen. What it acknowledged since that copy is lost, and its revisions are given out again.",
		"Look at what operators wrote shortly before; follow the page on a store that came back from an older copy.", "before", "era", "verb")
	evEraKnown = event.Define(1005, "platform_era", plog.InfoLevel,
		"The platform has answered for the first time since this host started: the era that it tells, 0 if none.", "none", "era")
)
