package relay

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evTargetLeaving = event.Define(4001, "target_leaving", plog.InfoLevel,
		"A target showed the first sign of leaving; it gets no new work until its incarnation grows.",
		"none, if the target was meant to stop", "service", "target", "sign")
	evTargetStarted = event.Define(4002, "target_started", plog.InfoLevel,
		"A target started or starts; its share of work rises gradually.",
		"none", "service", "target", "incarnation")
	evTargetDrained = event.Define(4003, "target_drained", plog.InfoLevel,
		"An operator's drain of a target began or was undone.",
		"none", "service", "target", "drained")
	evTargetSuspect = event.Define(4004, "target_suspect", plog.WarnLevel,
		"A target fails or is many times slower than its peers and gets probing work only.",
		"look at the target; `show targets` tells the reason", "service", "target", "reason", "failure_ratio")
	evBadAnswer = event.Define(4005, "target_bad_answer", plog.WarnLevel,
		"An answer was truncated, crossed or otherwise not that of the attempt; it was dropped.",
		"look at the target; its answers can't be trusted", "service", "target", "cause")
	evSignsUntold = event.Define(4007, "target_signs_untold", plog.WarnLevel,
		"Another relay could not be told in time that targets are leaving; it sees it by their answers and status alone.",
		"look at that host and the way to it, if it is still a member", "to", "signs", "cause")
	evHostList = event.Define(4006, "host_list_unread", plog.WarnLevel,
		"The platform's list of hosts could not be read; targets that leave are seen by their answers and status alone.",
		"look at the platform", "cause")
)
