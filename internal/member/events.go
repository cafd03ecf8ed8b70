package member

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evStarted = event.Define(3001, "member_started", plog.InfoLevel,
		"the host joined the membership", "none", "incarnation", "hosts")
	evLeaving = event.Define(3002, "member_leaving", plog.InfoLevel,
		"the host announced its stop to its peers", "none", "told")
	evHostSuspect = event.Define(3003, "host_suspect", plog.InfoLevel,
		"a host answered neither directly nor through others; it may still refute", "none", "peer")
	evHostDead = event.Define(3004, "host_dead", plog.WarnLevel,
		"a suspect did not refute in time and is given no more work",
		"check the host; if it runs, check the network between the two", "peer", "incarnation")
	evRefuted = event.Define(3005, "death_refuted", plog.WarnLevel,
		"others held this host suspect or dead, and it told them otherwise",
		"look for a pause of the process, an overloaded host or a cut network", "state", "version")
	evPaused = event.Define(3006, "host_paused", plog.WarnLevel,
		"this process did not run for a while; suspicions it holds are postponed by that time",
		"look for a stopped process, memory pressure or an overloaded machine", "pause")
	evIncarnationRaised = event.Define(3007, "incarnation_raised", plog.WarnLevel,
		"a record of this host id has a higher incarnation: an earlier start with a faster clock, or a second host with the same id",
		"if this repeats, look for two hosts with the same id in their settings", "incarnation", "peer_address")
	evPlatform = event.Define(3008, "member_record_failed", plog.WarnLevel,
		"the platform could not be asked for, or told, the members; the host goes on with its peers and tries again",
		"see the runbook of a platform outage", "call", "error")
)
