package rollouts

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evAccepted = event.Define(13201, "rollout_accepted", plog.InfoLevel,
		"A rollout order is in this host's state. age is the time since any host first saw it, in milliseconds, -1 if unknown; state is its status in the store.",
		"none", "service", "version", "duration", "created", "age", "state")
	evPhase = event.Define(13202, "rollout_phase", plog.InfoLevel,
		"This host treats the versions of a service differently from now on. age is that of the order in milliseconds; share is the mean probability that a first attempt goes to the new version. 13210 follows with the evidence.",
		"For rolled_back the reason names what was found. See OPERATIONS.md, Rollouts.",
		"service", "version", "from", "to", "age", "reason", "share")
	evStatusWritten = event.Define(13203, "rollout_status_written", plog.InfoLevel,
		"The status of a rollout order is in the store. succeeded: the targets of other versions end now; rolled_back: those of the new version do.",
		"none", "service", "version", "state", "revision", "reason")
	evStatusNotWritten = event.Define(13204, "rollout_status_not_written", plog.WarnLevel,
		"The status of a rollout order could not be written, or the answer was lost. This is retried; hosts act on the decision meanwhile, but the targets of both versions keep running.",
		"Check the store if the event repeats. A conflict means that the order was changed at the same time.", "service", "version", "state", "error")
	evNotSent = event.Define(13205, "rollout_evidence_not_sent", plog.WarnLevel,
		"This host has had no answer from a coordinator of rollouts for a second. Its evidence goes to the next coordinator; without directives it uses the default share.",
		"Look for the coordinator's last lines and for 3004 (host dead).", "coordinator", "orders", "error")
	evOtherVerdict = event.Define(13206, "rollout_other_verdict", plog.WarnLevel,
		"The store holds another verdict on a rollout order than this host acted on. The store's applies.",
		"Look for 13203 on all hosts: two coordinators decided differently, or someone else wrote the status.", "service", "version", "had", "state", "reason")
	evCoordinates = event.Define(13207, "rollout_coordinator", plog.InfoLevel,
		"This host coordinates a rollout order now. rank is its place among the hosts that may; above 0 it has taken over from those before it, for the reason given.",
		"none", "service", "version", "rank", "reason")
	evAgeNotStored = event.Define(13208, "rollout_age_not_stored", plog.WarnLevel,
		"The age of a rollout order could not be read from or written to the store. This is retried; until the age is known, the new version gets nothing from this host.",
		"Check the store if the event repeats.", "service", "version", "error")
	evAgesNotSwept = event.Define(13209, "rollout_ages_not_removed", plog.WarnLevel,
		"The stored ages of withdrawn rollout orders could not be removed. This is retried after the next change of an order.",
		"none", "error")
	evEvidence = event.Define(13210, "rollout_evidence", plog.InfoLevel,
		"The evidence on both versions at a change of phase (13202): requests of all hosts if this host coordinates the order (counted_by fleet), else its own. The rates are those of failures; slow responses are not among them, the reason of 13202 tells of those.",
		"none", "service", "version", "counted_by", "old_requests", "old_rate", "new_requests", "new_bad", "new_rate")
)
