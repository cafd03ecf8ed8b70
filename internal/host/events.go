package host

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evHostReady = event.Define(8100, "host_ready", plog.InfoLevel,
		"The host takes callers.", "none", "callers", "operators", "peers", "failure_domain")
	evHostLeaving = event.Define(8101, "host_leaving", plog.InfoLevel,
		"A stop was asked for: readiness fails from now on, and callers are served until the balancer's lag has passed.",
		"none", "balancer_lag", "hard_limit")
	evHostStopped = event.Define(8102, "host_stopped", plog.InfoLevel,
		"The host has stopped and cut nothing off.", "none", "took")
	evHostCut = event.Define(8103, "host_cut", plog.ErrorLevel,
		"The stop reached its hard limit or a module failed to stop; the error names what was cut off.",
		"Compare the hard limit with the longest budget of requests; look up what the error names.", "error", "took")
	evStopRepeated = event.Define(8104, "stop_repeated", plog.InfoLevel,
		"A stop was asked for again; the first one goes on and isn't shortened.", "none")
)
