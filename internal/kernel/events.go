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
		"A module did not start; the modules started before it are stopped and the host exits.",
		"Read the error; it is most often an address in use or a wrong setting.", "module", "error")
	evModuleStopFailed = event.Define(8003, "module_stop_failed", plog.ErrorLevel,
		"A module stopped with an error or not within its deadline; the stop goes on.",
		"Read the error: what the module had still to write may be lost. If it ran out of time, raise stop.module_timeout.", "module", "error", "took")
	evStateChanged = event.Define(8004, "state_changed", plog.InfoLevel,
		"The host changed its state: starting, ready, leaving, stopped.", "none", "state")
)
