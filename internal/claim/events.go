package claim

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evWriteAbandoned = event.Define(5001, "claim_write_abandoned", plog.WarnLevel,
		"An outcome or a release of a reservation's record could not be written in time. Repeats of the reservation will read unknown; none will run it again.",
		"Check the platform. \"show claim ID\" names the target and the attempt: ask the target whether it ran.", "reservation", "cause")
	evRecordTaken = event.Define(5002, "claim_record_taken", plog.ErrorLevel,
		"The outcome of a reservation met a record that names another attempt. Either a target said of an attempt that it had not run and then ran it, or a record was changed from outside.",
		"Look for both attempts in the logs of the targets: the reservation may have run twice.", "reservation", "attempt", "found_attempt", "found_phase")
	evSwept = event.Define(5003, "claim_records_removed", plog.InfoLevel,
		"Records of reservations well past the horizon were removed.", "none", "removed", "slice")
	evSweepFailed = event.Define(5004, "claim_sweep_failed", plog.WarnLevel,
		"A round of removal of old records ended early; the next round continues from there.",
		"Check the platform if it repeats.", "error")
	evEraNotRead = event.Define(5005, "platform_era_not_read", plog.WarnLevel,
		"Since when the platform's era is used could not be read or written. It is tried again; reservations that need it are refused as not run meanwhile.",
		"Check the platform if it repeats.", "era", "error")
)
