package claim

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evWriteAbandoned = event.Define(5001, "claim_write_abandoned", plog.WarnLevel,
		"The outcome of a reservation, or the release of its record, could not be written in time. Repeats of the reservation get the outcome unknown; none of them runs it again.",
		"Check the platform. \"show claim ID\" prints the target and the attempt; check on the target whether the attempt ran.", "reservation", "cause")
	evRecordTaken = event.Define(5002, "claim_record_taken", plog.ErrorLevel,
		"The outcome of a reservation could not be written because its record names another attempt. Either a target reported an attempt as not run and ran it later, or the record was modified by something other than a host.",
		"Search the logs of the targets for both attempts: the reservation may have run twice.", "reservation", "attempt", "found_attempt", "found_phase")
	evRecordsRemoved = event.Define(5003, "claim_records_removed", plog.InfoLevel,
		"Records of reservations that are past the removal age were removed.", "none", "removed", "slice")
	evSweepFailed = event.Define(5004, "claim_sweep_failed", plog.WarnLevel,
		"A sweep of old records failed. The next round continues at the same position.",
		"Check the platform if the event repeats.", "error")
	evEraNotRead = event.Define(5005, "platform_era_not_read", plog.WarnLevel,
		"The time of first use of the platform's current era could not be read or written. The host retries; until it succeeds, reservations that need it are refused as not run.",
		"Check the platform if the event repeats.", "era", "error")
)
