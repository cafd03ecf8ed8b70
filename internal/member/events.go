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
		"A host answered neither directly nor through others; it may still refute.", "none", "peer")
	evHostDead = event.Define(3004, "host_dead", plog.WarnLevel,
		"A suspect did not refute in time and is given no more work.",
		"Check the host; if it runs, check the network between it and the host that logs this.", "peer", "incarnation")
	evRefuted = event.Define(3005, "death_refuted", plog.WarnLevel,
		"Others held this host suspect or dead, and it refuted that.",
		"Look for a pause of the process, an overloaded host or a cut network.", "state", "version")
	evPaused = event.Define(3006, "host_paused", plog.WarnLevel,
		"This process did not run for a while; suspicions it holds are postponed by that time.",
		"Look for a stopped process, memory pressure or an overloaded machine.", "pause")
	evIncarnationRaised = event.Define(3007, "incarnation_raised", plog.WarnLevel,
		"A record of this host id has a higher incarnation: an earlier start with a faster clock, or a second host with the same id.",
		"If this repeats, look for two hosts with the same id in their settings.", "incarnation", "peer_address")
	evRecordFailed = event.Define(3008, "member_record_failed", plog.WarnLevel,
		"The member records could not be read or written in the platform; the host goes on with its peers and tries again.",
		"Check the platform; docs/OPERATIONS.md tells what works while it is away.", "call", "error")
)
