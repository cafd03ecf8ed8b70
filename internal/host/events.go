package host

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evHostStarted = event.Define(8100, "host_started", plog.InfoLevel,
		"Every module has started and the host is listening. /readyz reports whether it accepts callers.", "none", "callers", "operators", "peers", "failure_domain")
	evHostLeaving = event.Define(8101, "host_leaving", plog.InfoLevel,
		"A stop was requested: readiness fails from now on, and callers are served until stop.balancer_lag has passed.",
		"none", "balancer_lag", "hard_limit")
	evHostStopped = event.Define(8102, "host_stopped", plog.InfoLevel,
		"The host has stopped without cutting off any request.", "none", "took")
	evHostCut = event.Define(8103, "host_cut", plog.ErrorLevel,
		"The stop reached its hard limit, or a module failed to stop or exceeded its stop timeout; the error names the modules and what they cut off.",
		"If calls were cut off, raise stop.hard_limit, and stop.module_timeout with it; if a module failed, its own error states what to fix.", "error", "took")
	evStopRepeated = event.Define(8104, "stop_repeated", plog.InfoLevel,
		"A stop was requested while one was already running; the running stop continues unchanged.", "none")
	evReloaded = event.Define(8105, "settings_reloaded", plog.InfoLevel,
		"The settings file was reloaded and its log level was applied; no other field is applied without a restart.",
		"Restart the host if restart_needed names a field.", "level", "restart_needed")
	evReloadRefused = event.Define(8106, "settings_reload_refused", plog.ErrorLevel,
		"The settings file was reloaded but is not valid; the host keeps running with its previous settings.",
		"Fix the file, validate it with rhubarbwood check, and send SIGHUP again.", "error")
)
