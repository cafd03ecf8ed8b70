package delivery

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evWriteFailed = event.Define(6001, "delivery_window_write_failed", plog.WarnLevel,
		"A delivery window could not be written. The host keeps it in memory and retries.",
		"Check the platform if the event repeats. No data is lost while the host is running.", "window", "pending", "error")
	evRecovered = event.Define(6002, "delivery_windows_written_again", plog.InfoLevel,
		"Delivery windows are being written again after failed writes.", "none", "window", "failures")
	evFinalLost = event.Define(6003, "delivery_final_window_lost", plog.ErrorLevel,
		"The host stopped before its last delivery windows were written. Reports will list the host as incomplete.",
		"Increase delivery.stop_timeout if the platform was available but slow.", "pending", "answers", "error")
	evNameTaken = event.Define(6004, "delivery_window_name_taken", plog.ErrorLevel,
		"Another process writes delivery windows with this host's id and incarnation. The window is written with the next number.",
		"Configure a unique id for each host.", "window")
	evCompacted = event.Define(6005, "delivery_slot_compacted", plog.DebugLevel,
		"The delivery windows of a time slot were aggregated and removed.", "none", "slot", "windows", "objects")
	evCompactFailed = event.Define(6006, "delivery_compaction_failed", plog.WarnLevel,
		"A compaction round of delivery windows failed. The next round continues at the same position.",
		"Check the platform if the event repeats. No data is lost; reports read more objects until a round succeeds.", "error")
	evUnreadable = event.Define(6007, "delivery_object_unreadable", plog.ErrorLevel,
		"A delivery object could not be decoded. Reports list it as unreadable.",
		"Check whether hosts of different releases are running. The object's windows are missing from reports until it can be decoded.",
		"object", "error")
	evRewritten = event.Define(6009, "delivery_window_restored", plog.InfoLevel,
		"The platform was restored from an older copy. This host has rewritten one of its recent delivery windows, or found that the copy contains it.", "none",
		"window", "before", "era")
	evRewriteFailed = event.Define(6010, "delivery_window_not_restored", plog.WarnLevel,
		"The platform was restored from an older copy, and a recent delivery window that the copy may lack could not be rewritten. The host retries until 30 seconds after the window was first written.",
		"Check the platform if the event repeats. Reports list the windows that are missing.", "window", "era", "error")
	evBurnFailed = event.Define(6008, "delivery_burn_failed", plog.WarnLevel,
		"The burn rates of the objectives could not be computed. If this host exports burn metrics, they keep their last values until a later attempt succeeds.",
		"Check the platform if the event repeats. \"show burn\" runs the same computation.", "error")
)
