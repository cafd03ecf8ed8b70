package catalog

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evApplied = event.Define(2001, "configuration_applied", plog.InfoLevel,
		"Changes of the configuration are in force on this host.", "none",
		"source", "objects", "revision")
	evUnreadable = event.Define(2002, "configuration_unreadable", plog.ErrorLevel,
		"An object of the configuration can't be read. It is kept out, and the last version that could be read stays in force.",
		"Write the object again with a valid value. A host that started since then has no version of it in force.",
		"kind", "object", "version", "revision", "error")
	evStale = event.Define(2003, "configuration_stale", plog.ErrorLevel,
		"This host has heard neither the platform nor a peer that has; it refuses callers and is not ready.",
		"Check the host's network. If all hosts say so, check the platform.", "last_heard")
	evFresh = event.Define(2004, "configuration_fresh", plog.InfoLevel,
		"This host has heard the platform or its peers, at first or again.", "none", "revision")
	evWatching = event.Define(2005, "configuration_watching", plog.InfoLevel,
		"This host began to watch the platform for its failure domain.", "none", "rank")
	evNotWatching = event.Define(2006, "configuration_not_watching", plog.InfoLevel,
		"This host left the watching of the platform to others of its failure domain.", "none")
	evPlatformBehind = event.Define(2007, "platform_behind", plog.ErrorLevel,
		"The platform tells an older revision than the one in force, and no later era. Hosts never go back.",
		"Compare the platform's objects with those in force; write the right ones again, then restart the hosts.",
		"revision", "platform_revision")
	evChangeAccepted = event.Define(2008, "change_accepted", plog.InfoLevel,
		"An operator's change was accepted.", "none",
		"kind", "object", "change", "operator", "reason", "version", "revision")
	evChangeRefused = event.Define(2009, "change_refused", plog.InfoLevel,
		"An operator's change was refused; it was not made.", "none",
		"kind", "object", "change", "operator", "error")
	evWrittenAgain = event.Define(2011, "change_written_again", plog.WarnLevel,
		"The platform came back from an older copy that lacks an accepted change; this host writes it again. It is settled without an error, or tried again; superseded: another write came first and stands.",
		"None, unless the error stays. For a superseded change compare the object with what the operator wanted.",
		"kind", "object", "change", "revision", "superseded", "error")
	evChangeUnknown = event.Define(2010, "change_unknown", plog.WarnLevel,
		"The platform did not tell whether an operator's change was made.",
		"Show the object's configuration once the platform answers; its change id tells.",
		"kind", "object", "change", "operator", "error")
)
