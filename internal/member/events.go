package member

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evStarted = event.Define(3001, "member_started", plog.InfoLevel,
		"The host joined the membership.", "none", "incarnation", "hosts")
	evLeaving = event.Define(3002, "member_leaving", plog.InfoLevel,
		"The host announced its stop to its peers.", "none", "told")
	evHostSuspect = event.Define(3003, "host_suspect", plog.InfoLevel,
		"A host answered neither direct nor indirect probes; it may still refute the suspicion.", "none", "peer")
	evHostDead = event.Define(3004, "host_dead", plog.WarnLevel,
		"A host did not refute the suspicion of its failure in time; it gets no new work.",
		"Check the host; if it is running, check the network between it and the host that logged this event.", "peer", "incarnation")
	evRefuted = event.Define(3005, "death_refuted", plog.WarnLevel,
		"Other hosts listed this host as suspect or dead, and it refuted that.",
		"Look for a pause of the process, an overloaded host or a network partition.", "state", "version")
	evPaused = event.Define(3006, "host_paused", plog.WarnLevel,
		"This process did not run for a while; it extended the timeouts of its suspicions by that time.",
		"Look for a stopped process, memory pressure or an overloaded machine.", "pause")
	evIncarnationRaised = event.Define(3007, "incarnation_raised", plog.WarnLevel,
		"A record with this host id and at least the same incarnation exists, from an earlier start with a faster clock or from a second host with the same id; this host raised its own incarnation.",
		"If this repeats, look for two hosts that are configured with the same id.", "incarnation", "peer_address")
	evRecordFailed = event.Define(3008, "member_record_failed", plog.WarnLevel,
		"Reading, writing or removing member records in the platform failed; the membership continues through the peers, and the host retries at the next refresh.",
		"Check the platform; docs/OPERATIONS.md describes what works during its outage.", "call", "error")
)
