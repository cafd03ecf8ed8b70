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
)
