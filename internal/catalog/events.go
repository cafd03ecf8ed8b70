package catalog

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evApplied = event.Define(2001, "configuration_applied", plog.InfoLevel,
		"This host applied changes of the configuration; they are in force on it.", "none",
		"source", "objects", "revision")
	evUnreadable = event.Define(2002, "configuration_unreadable", plog.ErrorLevel,
		"An object of the configuration can't be decoded or is invalid. This version is not applied; the last valid version stays in force.",
		"Write the object again with a valid value. Hosts that started after the invalid version was written have no version of it in force.",
		"kind", "object", "version", "revision", "error")
	evStale = event.Define(2003, "configuration_stale", plog.ErrorLevel,
		"For longer than the setting stale_after this host received a response neither from the platform nor from a peer that is not stale; it refuses callers and is not ready.",
		"Check the host's network. If all hosts log this event, check the platform.", "last_heard")
	evFresh = event.Define(2004, "configuration_fresh", plog.InfoLevel,
		"This host received a response from the platform or its peers and is not stale, for the first time or again.", "none", "revision")
	evWatching = event.Define(2005, "configuration_watching", plog.InfoLevel,
		"This host started to watch the platform for its failure domain.", "none", "rank")
	evNotWatching = event.Define(2006, "configuration_not_watching", plog.InfoLevel,
		"This host stopped watching the platform; other hosts of its failure domain watch it.", "none")
	evPlatformBehind = event.Define(2007, "platform_behind", plog.ErrorLevel,
		"The platform reports an older revision than the one in force, and no later era. Hosts never return to an older revision.",
		"Compare the platform's objects with those in force; write the correct ones again, then restart the hosts.",
		"revision", "platform_revision")
	evChangeAccepted = event.Define(2008, "change_accepted", plog.InfoLevel,
		"An operator's change was accepted.", "none",
		"kind", "object", "change", "operator", "reason", "version", "revision")
	evChangeRefused = event.Define(2009, "change_refused", plog.InfoLevel,
		"An operator's change was refused and not applied.", "none",
		"kind", "object", "change", "operator", "error")
	evWrittenAgain = event.Define(2011, "change_written_again", plog.WarnLevel,
		"The platform was restored from an older copy that lacks an accepted change; this host writes the change again, and retries while error is set. superseded: another write came first and stays in force.",
		"None, unless the error persists. For a superseded change compare the object with the operator's change.",
		"kind", "object", "change", "revision", "superseded", "error")
	evChangeUnknown = event.Define(2010, "change_unknown", plog.WarnLevel,
		"The platform did not respond in time, so it is unknown whether an operator's change was made.",
		"Show the object's configuration once the platform responds; the change was made if the object contains its change id.",
		"kind", "object", "change", "operator", "error")
)
