package relay

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evTargetLeaving = event.Define(4001, "target_leaving", plog.InfoLevel,
		"A target was first observed to be leaving; it gets no new work until its incarnation increases.",
		"None, if the target was meant to stop.", "service", "target", "sign")
	evTargetStarted = event.Define(4002, "target_started", plog.InfoLevel,
		"A target has started or is starting; its share of work rises gradually.",
		"none", "service", "target", "incarnation")
	evTargetDrained = event.Define(4003, "target_drained", plog.InfoLevel,
		"An operator drained a target or undid the drain.",
		"none", "service", "target", "drained")
	evTargetSuspect = event.Define(4004, "target_suspect", plog.WarnLevel,
		"A target fails or is many times slower than its peers; it gets probe attempts only.",
		"Check the target; `show targets` prints the reason.", "service", "target", "reason", "failure_ratio")
	evBadAnswer = event.Define(4005, "target_bad_answer", plog.WarnLevel,
		"A target returned an answer that is malformed or belongs to another attempt; the answer was discarded.",
		"Check the target; its answers are not reliable.", "service", "target", "cause")
	evSignsUndelivered = event.Define(4007, "target_signs_untold", plog.WarnLevel,
		"Signs of leaving targets could not be delivered to another relay in time; it detects them by answers and status only.",
		"Check the host and the network path to it, if it is still a member.", "to", "signs", "cause")
	evHostListUnread = event.Define(4006, "host_list_unread", plog.WarnLevel,
		"The host list of the platform could not be read; leaving targets are detected by answers and status only.",
		"Check the platform.", "cause")
)
