package gatewayhost

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evStarted = event.Define(12001, "gateway_host_started", plog.InfoLevel,
		"The host listens. It is ready once it knows a configuration.", "none",
		"failure_domain", "callers", "readiness", "platform")
	evLeaving = event.Define(12002, "gateway_host_leaving", plog.InfoLevel,
		"The host was told to stop; it is not ready any more and serves on until the balancer has noticed.", "none",
		"balancer_lag", "grace")
	evStopped = event.Define(12003, "gateway_host_stopped", plog.InfoLevel,
		"The host has stopped; every request had its answer.", "none", "took")
	evCut = event.Define(12004, "gateway_host_cut", plog.ErrorLevel,
		"The grace ended with requests in flight; they were cut off.",
		"Compare the grace with the longest time that routes allow.", "took", "error")
	evReloaded = event.Define(12005, "gateway_settings_reloaded", plog.InfoLevel,
		"The settings were read again; the log level is in force.", "Restart the host if it needs one.", "level", "restart_needed")
	evReloadRefused = event.Define(12006, "gateway_settings_refused", plog.WarnLevel,
		"The settings could not be read again; nothing changed.", "Mend the settings file.", "error")
	evListenerFailed = event.Define(12007, "gateway_listener_failed", plog.ErrorLevel,
		"A listener ended by itself.", "Restart the host.", "listener", "error")
	evDropped = event.Define(12009, "gateway_log_dropped", plog.WarnLevel,
		"Log lines were dropped, as they came faster than they could be written.",
		"The counters on the metrics address count every request all the same.", "lines", "total")
	evServerMessage = event.Define(12008, "gateway_server_message", plog.DebugLevel,
		"The HTTP server found something wrong with a connection.", "none", "listener", "message")
)
