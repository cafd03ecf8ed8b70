package kernel

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evModuleStarted = event.Define(8000, "module_started", plog.DebugLevel,
		"A module of the host has started.", "none", "module", "took")
	evModuleStopped = event.Define(8001, "module_stopped", plog.DebugLevel,
		"A module of the host has stopped.", "none", "module", "took")
	evModuleStartFailed = event.Define(8002, "module_start_failed", plog.ErrorLevel,
		"A module failed to start; the modules started before it are stopped and the host exits.",
		"Read the error; the usual causes are an address in use and a wrong setting.", "module", "error")
	evModuleStopFailed = event.Define(8003, "module_stop_failed", plog.ErrorLevel,
		"A module returned an error from its stop or did not stop before its deadline; the remaining modules are still stopped.",
		"Read the error: data that the module had not yet written may be lost. If the module did not stop in time, raise stop.module_timeout.", "module", "error", "took")
	evStateChanged = event.Define(8004, "state_changed", plog.InfoLevel,
		"The lifecycle state of the host changed; the states are starting, ready, leaving and stopped.", "none", "state")
)
