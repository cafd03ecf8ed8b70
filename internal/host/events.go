package host

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evHostStarted = event.Define(8100, "host_started", plog.InfoLevel,
		"Every module has started and the host listens. Whether it takes callers is told by /readyz.", "none", "callers", "operators", "peers", "failure_domain")
	evHostLeaving = event.Define(8101, "host_leaving", plog.InfoLevel,
		"A stop was asked for: readiness fails from now on, and callers are served until the balancer's lag has passed.",
		"none", "balancer_lag", "hard_limit")
	evHostStopped = event.Define(8102, "host_stopped", plog.InfoLevel,
		"The host has stopped and cut nothing off.", "none", "took")
	evHostCut = event.Define(8103, "host_cut", plog.ErrorLevel,
		"The stop reached its hard limit, or a module failed to stop or overran its timeout; the error names the modules and what they cut off.",
		"If calls were cut off, raise stop.hard_limit, and stop.module_timeout with it; if a module failed, its own error says what to mend.", "error", "took")
	evStopRepeated = event.Define(8104, "stop_repeated", plog.InfoLevel,
		"A stop was asked for again; the first one goes on and isn't shortened.", "none")
	evReloaded = event.Define(8105, "settings_reloaded", plog.InfoLevel,
		"The settings file was read again and its log level is in force.",
		"Restart the host if restart_needed names a field.", "level", "restart_needed")
	evReloadRefused = event.Define(8106, "settings_reload_refused", plog.ErrorLevel,
		"The settings file was read again and has problems; nothing changed.",
		"Mend the file, try it with rhubarbwood check, and send SIGHUP again.", "error")
)
