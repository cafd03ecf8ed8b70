package delivery

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evWriteFailed = event.Define(6001, "delivery_window_write_failed", plog.WarnLevel,
		"A delivery window could not be written. It is kept and tried again.",
		"Check the platform if it goes on. Nothing is lost while the host lives.", "window", "pending", "error")
	evRecovered = event.Define(6002, "delivery_windows_written_again", plog.InfoLevel,
		"Delivery windows are written again after failures.", "none", "window", "failures")
	evFinalLost = event.Define(6003, "delivery_final_window_lost", plog.ErrorLevel,
		"The host stopped before its last delivery windows were written. Reports will name the host.",
		"Raise delivery.stop_timeout if the platform was only slow.", "pending", "answers", "error")
	evNameTaken = event.Define(6004, "delivery_window_name_taken", plog.ErrorLevel,
		"Another process writes delivery windows under this host's id and incarnation. The window gets the next number.",
		"Give each host an id of its own.", "window")
	evCompacted = event.Define(6005, "delivery_slot_compacted", plog.DebugLevel,
		"Delivery windows of a time slot were summed up.", "none", "slot", "windows", "objects")
	evCompactFailed = event.Define(6006, "delivery_compaction_failed", plog.WarnLevel,
		"Delivery windows could not be summed up. The next round continues from there.",
		"Check the platform if it goes on. Nothing is lost; reports read more objects meanwhile.", "error")
	evUnreadable = event.Define(6007, "delivery_object_unreadable", plog.ErrorLevel,
		"A delivery object can't be read. Reports name it.",
		"Check whether hosts of different releases run. The object's windows are missing in reports until it can be read.",
		"object", "error")
	evRewritten = event.Define(6009, "delivery_window_restored", plog.InfoLevel,
		"The platform came back from an older copy; this host has written one of its last delivery windows again, or found it there.", "none",
		"window", "before", "era")
	evRewriteFailed = event.Define(6010, "delivery_window_not_restored", plog.WarnLevel,
		"The platform came back from an older copy, and a delivery window that this may lack could not be written again. It is tried again for half a minute.",
		"Check the platform if it goes on; reports name the windows that are missing.", "window", "era", "error")
	evBurnFailed = event.Define(6008, "delivery_burn_failed", plog.WarnLevel,
		"The burn of the objectives could not be computed. Its metrics keep their last values, if this host has any, until a later try succeeds.",
		"Check the platform if it goes on. \"show burn\" computes the same.", "error")
)
