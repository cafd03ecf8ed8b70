package gateway

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evAnswer = event.Define(11001, "request_answered", plog.InfoLevel,
		"A forwarded request ended: each that failed, was refused, late or partial, and one in 50 of the others. Of a burst some lines are left out and counted.",
		"Read the reason; docs/OPERATIONS.md leads from here to the cause.",
		"request", "route", "status", "outcome", "missing", "took", "version", "reason")
	evAttempts = event.Define(11004, "request_attempts", plog.InfoLevel,
		"What was tried for the request of the line before: the targets asked, of shards those that are missing, and the age of the configuration.",
		"Look for the lines of these targets, on the helper if there is one.", "request", "attempts", "asked", "budget", "age", "helper", "content", "caller")
	evWithout = event.Define(11007, "mechanisms_off", plog.WarnLevel,
		"The settings switch mechanisms of the gateway off.", "Switch them on again after the incident.", "mechanisms")
	evHelperLost = event.Define(11006, "helper_lost", plog.WarnLevel,
		"A host that was to gather a part of a query did not take it in time or broke off. It is set aside for a while, and another host, or this one, gathers the part.",
		"Look at that host if it stays so.", "request", "host", "after", "error")
	evSuppressed = event.Define(11005, "request_lines_suppressed", plog.WarnLevel,
		"Lines about requests were left out, as there were too many.",
		"The counters on the metrics address count every request all the same.", "lines")
	evWrongTarget = event.Define(11002, "target_replaced", plog.WarnLevel,
		"Another target answered at the address of this one, which gets no more work.", "none", "target", "service", "address")
	evConnectionLost = event.Define(11008, "attempt_broke_off", plog.InfoLevel,
		"The connection to a target broke off while the target had a request. Of a burst some lines are left out; the counter has them all.",
		"Look for more lines with this content, of other requests and on other hosts, and for 11009 of the targets: a request may end those that run it.",
		"request", "content", "target", "service", "after", "error")
	evUnreachable = event.Define(11009, "target_unreachable", plog.InfoLevel,
		"A target that took connections takes none.", "Look for 11008 of this target just before: a request may have ended it.",
		"target", "service", "address", "error")
	evTargetEnded = event.Define(11010, "target_ended_under_request", plog.WarnLevel,
		"A target that had a request broke off and takes no connection any more. Targets may end for other reasons; three strikes, two of them where the request was tried alone, put it into quarantine.",
		"One line, and others with other contents for the same target: the target ended by itself. Lines of one content for several targets: find what the request asks (11001, 11004 of its id) and why targets end under it.",
		"request", "content", "target", "service", "alone", "strikes", "quarantined")
	evCleared = event.Define(11011, "request_cleared", plog.InfoLevel,
		"A target answered a request under which others had ended; nothing is held against it any more.", "none", "request", "content", "target")
	evResumed = event.Define(11012, "host_was_suspended", plog.WarnLevel,
		"The machine was suspended for a time, and this process with it. What it believed before counts as old as it is; requests whose time was over meanwhile are answered.",
		"Find out why, if it is not a virtual machine that was moved.", "asleep", "expired")
	evTargetHealth = event.Define(11003, "target_health", plog.InfoLevel,
		"A target was set aside for its answers, or taken back.", "Look at the target if it stays set aside.",
		"target", "service", "set_aside", "latency", "failures", "from")
)
