package delivery

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evWriteFailed = event.Define(6001, "delivery_window_write_failed", plog.WarnLevel,
		"a delivery window could not be written; it is kept and tried again",
		"check the platform if it goes on; nothing is lost while the host lives", "window", "pending", "error")
	evRecovered = event.Define(6002, "delivery_windows_written_again", plog.InfoLevel,
		"delivery windows are written again after failures", "none", "window", "failures")
	evFinalLost = event.Define(6003, "delivery_final_window_lost", plog.ErrorLevel,
		"the host stopped before its last delivery windows were written; reports will name the host",
		"raise delivery.stop_timeout if the platform was only slow", "pending", "answers", "error")
	evNameTaken = event.Define(6004, "delivery_window_name_taken", plog.ErrorLevel,
		"another process writes delivery windows under this host's id and incarnation; the window gets the next number",
		"give each host an id of its own", "window")
	evCompacted = event.Define(6005, "delivery_slot_compacted", plog.DebugLevel,
		"delivery windows of a time slot were summed up", "none", "slot", "windows", "objects")
	evCompactFailed = event.Define(6006, "delivery_compaction_failed", plog.WarnLevel,
		"delivery windows could not be summed up; the next try goes on from there",
		"check the platform if it goes on", "error")
	evUnreadable = event.Define(6007, "delivery_object_unreadable", plog.ErrorLevel,
		"a delivery object can't be read; reports name it",
		"look at the object; hosts of differing versions may be running", "object", "error")
)
