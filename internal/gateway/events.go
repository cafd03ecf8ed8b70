package gateway

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evAnswer = event.Define(11001, "request_answered", plog.InfoLevel,
		"A request was answered. Logged for each failed, refused, late or partial answer and for one in 50 of the others. Lines are rate-limited; 11005 has the number of those left out.",
		"Read the reason; docs/OPERATIONS.md describes how to find the cause.",
		"request", "route", "status", "outcome", "missing", "took", "version", "reason")
	evPanicked = event.Define(11016, "request_panicked", plog.ErrorLevel,
		"The processing of a request panicked, which is a fault of this program. The request was answered 502, as possibly run. Lines are rate-limited; the metric counts every case.",
		"Report the stack. If it is the same for every request of a route, restart the host.", "request", "route", "panic", "stack")
	evLargeResponse = event.Define(11017, "response_large", plog.WarnLevel,
		"A part of a target's response, head or body, reached 1 MB while it was read; received is its size so far, in bytes. Lines are rate-limited; the metric counts every case.",
		"Compare the size with the memory of the host. Heads are a few hundred bytes: a large one is no response, and the target is faulty.",
		"request", "target", "service", "part", "received")
	evLimitExceeded = event.Define(11018, "response_over_limit", plog.WarnLevel,
		"The response of a target was given up because it exceeded a limit: head_bytes, head_lines, body_bytes, or memory, that of the responses of all targets together. received is what came of the response, or was announced, in the unit of the limit. The connection was closed; the request may have run. Lines are rate-limited; the metric counts every case.",
		"Check that target: heads are a few hundred bytes. If its bodies are meant to be this long, raise gateway.max_answer; at the limit memory, find by these lines which targets send most.",
		"request", "target", "service", "limit", "received", "max")
	evRejected = event.Define(11015, "attempt_rejected", plog.DebugLevel,
		"A target answered that it did not run an attempt; after is the time since it was sent, in ms, and connection the number of the connection to this target.",
		"If a request that may run once ran twice, its lines show whether a rejection came sooner than the target can answer, over a connection that had carried an earlier attempt of it.",
		"request", "target", "service", "status", "connection", "after")
	evDuringStop = event.Define(11014, "request_during_stop", plog.InfoLevel,
		"The request of the preceding 11001 line arrived after the host's stop signal; after is the time between them, in ms.",
		"Compare it with stop.balancer_lag and stop.grace.", "request", "after")
	evAttempts = event.Define(11004, "request_attempts", plog.InfoLevel,
		"The attempts made for the request of the preceding 11001 line: the targets tried (of a query over shards, those of some missing shards) and the age of the configuration.",
		"Look for log lines about these targets, on the helper host if one is named.", "request", "attempts", "asked", "budget", "age", "helper", "content", "caller")
	evMechanismsOff = event.Define(11007, "mechanisms_off", plog.WarnLevel,
		"Mechanisms of the gateway are disabled in the settings.", "Enable them again after the incident.", "mechanisms")
	evHelperLost = event.Define(11006, "helper_lost", plog.WarnLevel,
		"A host that was to gather a part of a query did not take it in time, or the connection to it broke. It gets no queries for a while. Unless it had taken the part, another host, or this one, gathers it.",
		"Check that host if the event recurs.", "request", "host", "after", "error")
	evSuppressed = event.Define(11005, "request_lines_suppressed", plog.WarnLevel,
		"Log lines about requests were left out because their rate exceeded the limit.",
		"Use the metrics, which count every request.", "lines")
	evWrongTarget = event.Define(11002, "target_replaced", plog.WarnLevel,
		"Another target answered at the address of this one, which gets no more requests.", "none", "target", "service", "address")
	evConnectionLost = event.Define(11008, "attempt_broke_off", plog.InfoLevel,
		"The connection to a target broke while the target had a request. Lines are rate-limited; the metric counts every case.",
		"Look for more lines with this content, of other requests and on other hosts, and for 11009 of the targets: the request may make targets end that run it.",
		"request", "content", "target", "service", "after", "error")
	evUnreachable = event.Define(11009, "target_unreachable", plog.InfoLevel,
		"A target that accepted connections refuses them now.", "Look for 11008 of this target just before: a request may have made it end.",
		"target", "service", "address", "error")
	evTargetEnded = event.Define(11010, "target_ended_under_request", plog.WarnLevel,
		"The connection to a target broke while it had a request, and the target refuses connections since. This counts as a strike against the request. Targets may end for other reasons; three strikes, two of them of attempts made alone, quarantine the request.",
		"If lines for the same target have different contents, the target ended by itself. If lines of one content name several targets, find out what the request is (11001, 11004 of its id) and why targets end under it.",
		"request", "content", "target", "service", "alone", "strikes", "quarantined")
	evCleared = event.Define(11011, "request_cleared", plog.InfoLevel,
		"A target answered a request under which others had ended; its strikes are cleared.", "none", "request", "content", "target")
	evResumed = event.Define(11012, "host_was_suspended", plog.WarnLevel,
		"The machine was suspended, and this process with it. The ages of cached state include the suspension; requests whose time limit passed meanwhile were answered.",
		"Find out why, unless a virtual machine was migrated.", "asleep", "expired")
	evEndedAtStop = event.Define(11013, "requests_ended_at_stop", plog.WarnLevel,
		"Requests were still in flight shortly before the end of the host's stop. Each was answered that it did not run, or that it may have run; the lines 11001 with \"the host is stopping\" in their reason have the ids.",
		"Compare the grace (stop.grace) with the latencies of the routes. Requests that arrived after the stop signal are in flight only if they took longer than usual.", "requests")
	evTargetHealth = event.Define(11003, "target_health", plog.InfoLevel,
		"A target was set aside because of failed or slow answers, or readmitted.", "Check the target if it stays set aside.",
		"target", "service", "set_aside", "latency", "failures", "from")
)
