package warmup

import (
	plog "github.com/phuslu/log"

	"rhubarbwood.example/rhubarbwood/internal/event"
)

var (
	evPermit = event.Define(13101, "cold_target_permitted", plog.InfoLevel,
		"The permit of a cold target is in the store: while the target is cold, each of the hosts may send it the given number of requests in any second, other hosts none.",
		"none", "target", "hosts", "each")
	evNotWritten = event.Define(13102, "permit_not_written", plog.WarnLevel,
		"The permit of a cold target could not be written or read. This is retried; the target gets no requests until it succeeds or the target is warm.",
		"Check the store and the network path to it.", "target", "error")
	evNotListed = event.Define(13103, "permits_not_listed", plog.WarnLevel,
		"The permits in the store could not be listed, so those of targets that were unregistered long ago are not removed. This is retried.",
		"Check the store if the event repeats.", "error")
	evNotRemoved = event.Define(13104, "permit_not_removed", plog.WarnLevel,
		"The permit of a target that was unregistered long ago could not be removed. This is retried.",
		"Check the store if the event repeats.", "target", "error")
)
