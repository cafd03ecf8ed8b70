package rollouts

import (
	"time"

	"rhubarbwood.example/rhubarbwood/internal/rollout"
)

const (
	// tickInterval is the time between two updates of the plans while orders run.
	tickInterval = 100 * time.Millisecond
	// idleInterval is the time between two checks whether the orders are still current, while none
	// runs.
	idleInterval = time.Second
	// ordersValidityFraction is the part of the time for a rollback for which the orders count as current
	// after their last confirmation. Without current orders the new version gets nothing, as the order may
	// have been rolled back or withdrawn. Hosts confirm their state at six tenths of the time for changes.
	ordersValidityFraction = 0.7
	// directiveValidity is how long the share of a directive applies. After it the share is the
	// default, which keeps the bound without knowledge of other hosts.
	directiveValidity = 1500 * time.Millisecond
)

// ordersValidity is how long after their last confirmation the orders count as current.
func ordersValidity(cfg rollout.Config) time.Duration {
	return time.Duration(ordersValidityFraction * float64(cfg.RollbackWithin.Std()))
}

const (
	// minReportInterval and maxReportInterval bound the time between two reports to one coordinator.
	// The greater one is below directiveValidity, so that the share does not lapse between two replies.
	minReportInterval = 250 * time.Millisecond
	maxReportInterval = time.Second
	// reportTimeout bounds a report. It is below silentAfter, so that one lost call does not make a
	// coordinator silent.
	reportTimeout = 750 * time.Millisecond
	// silentAfter is the time without an answer after which a coordinator counts as silent: another
	// one takes its place.
	silentAfter = time.Second
	// recipients is the number of coordinators that get the evidence on an order: the first and its
	// standby.
	recipients = 2
	// candidates is the number of hosts that may be a coordinator of an order. With more than recipients
	// of them, the loss of both coordinators at once costs silentAfter instead of the time until the
	// membership has found it.
	candidates = 4
	// maxBytesPerSecond bounds the reports and replies of one host while many orders run at once, when
	// maxReportInterval allows. All control traffic of a host is to stay within 26 KB/s.
	maxBytesPerSecond = 10 << 10
	// minCountsBytes is the size of the counts that a report may always hold, so that evidence gets
	// through when the orders alone use up maxBytesPerSecond.
	minCountsBytes = 256
	// callOverheadBytes is the size of the headers and acknowledgements of a call.
	callOverheadBytes = 150
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the time between two attempts at the same call. Final
	// states are written within seconds of the end of an order, so the greater one is short.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// ageReadDelay is how long a host waits for a peer that knows the age of an order before it reads the
	// store.
	ageReadDelay = 500 * time.Millisecond
	// ageMargin is added to ages read from the store, whose clock may have a resolution of a second. An
	// order must not seem younger than it is, as its time would be exceeded.
	ageMargin = time.Second
	// sweepDelay is the time from a change of the set of orders to the removal of the ages of withdrawn
	// ones. It collects the changes that come together.
	sweepDelay = 5 * time.Second
)

const (
	// maxRemembered bounds the verdicts of orders that are no longer in the store.
	maxRemembered = 1024
	// maxUnknownOrders bounds the orders on which a host keeps evidence of others though its own state
	// does not have them (yet).
	maxUnknownOrders = 256
	// unknownRetention is how long that evidence is kept after the last report.
	unknownRetention = time.Minute
)
