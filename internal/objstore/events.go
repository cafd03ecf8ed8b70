package objstore

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evUnreachable = event.Define(1001, "platform_unreachable", plog.WarnLevel,
		"A call to the platform failed after earlier ones had succeeded.",
		"Check the platform. Until it responds, searches use the configuration that each host has; reservations are refused.",
		"verb", "error")
	evReachable = event.Define(1002, "platform_reachable", plog.InfoLevel,
		"The platform responded, for the first time or again after an outage.", "none", "verb")
	evUnreadable = event.Define(1003, "record_unreadable", plog.WarnLevel,
		"A record in the store can't be decoded; other records are not affected. Lines of this event are rate-limited; rhubarbwood_platform_unreadable_records_total counts every occurrence.",
		"Find out by kind and name which program wrote the record, and remove it.", "kind", "record", "error")
	evResponseLimit = event.Define(1006, "platform_response_over_limit", plog.WarnLevel,
		"A response of the platform was given up because it exceeded a limit: bytes or items of one response; memory, that of all responses together; or list, that of all pages of a list. received is what came of it, or was announced, in the unit of the limit. The call counts as unanswered, a list as unavailable. Lines are rate-limited; rhubarbwood_platform_responses_over_limit_total counts every case.",
		"Check what objects of this kind the platform holds. After a watch the host reads everything (10015); if lists recur, what it has of this kind stays old.",
		"verb", "kind", "limit", "received", "max")
	evRestored = event.Define(1004, "platform_restored", plog.WarnLevel,
		"The platform was restored from an older copy: its era has increased. Writes that it acknowledged after that copy was made are lost, and their revisions are assigned again.",
		"Check the changes that operators made shortly before; follow the page on a store that came back from an older copy.", "before", "era", "verb")
	evEra = event.Define(1005, "platform_era", plog.InfoLevel,
		"The platform responded for the first time since this host started; era is the one that it reports, 0 if it reports none.", "none", "era")
)
