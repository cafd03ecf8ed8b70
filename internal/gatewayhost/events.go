package gatewayhost

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evStarted = event.Define(12001, "gateway_host_started", plog.InfoLevel,
		"The host listens on its addresses. It becomes ready once it has a configuration.", "none",
		"failure_domain", "callers", "readiness", "platform")
	evLeaving = event.Define(12002, "gateway_host_leaving", plog.InfoLevel,
		"The host received a stop signal. It reports not ready, and until the load balancer stops sending requests it serves those that it can complete before its end and refuses the others.", "none",
		"balancer_lag", "grace")
	evStopped = event.Define(12003, "gateway_host_stopped", plog.InfoLevel,
		"The host has stopped; every request in flight was completed.", "none", "took")
	evStopCutOff = event.Define(12004, "gateway_host_cut", plog.ErrorLevel,
		"Requests were still in flight at the end of the grace period; they were cut off.",
		"Compare the grace (stop.grace) with the longest timeout of the routes.", "took", "error")
	evReloaded = event.Define(12005, "gateway_settings_reloaded", plog.InfoLevel,
		"The settings were reloaded; the log level was applied.", "Restart the host if restart_needed is true.", "level", "restart_needed")
	evReloadRefused = event.Define(12006, "gateway_settings_refused", plog.WarnLevel,
		"The settings could not be reloaded; the previous settings stay in force.", "Correct the settings file.", "error")
	evListenerFailed = event.Define(12007, "gateway_listener_failed", plog.ErrorLevel,
		"A listener failed and accepts no more connections.", "Restart the host.", "listener", "error")
	evLogDropped = event.Define(12009, "gateway_log_dropped", plog.WarnLevel,
		"Log lines were dropped because they were produced faster than they could be written.",
		"Use the counters on the metrics address, which count every request.", "lines", "total")
	evServerMessage = event.Define(12008, "gateway_server_message", plog.DebugLevel,
		"The HTTP server reported a problem with a connection.", "none", "listener", "message")
)
