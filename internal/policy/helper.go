package policy

import (
	"math"
	"time"
)

const (
	// handOverFraction is the part of an objective that the parts of a query may
	// occupy the own link before another host gathers the query: below it the
	// parts cost no more than the extra hop.
	handOverFraction = 0.05
	// minLinkRatio is how many times faster the link of a helper must be. The
	// merged answer still crosses the own link, and a helper serves other hosts
	// too.
	minLinkRatio = 4

	// A helper that has not acknowledged a query is given up after
	// ackTimeoutFactor times the usual acknowledgement time. initialAckTime is
	// the initial estimate of that: a round trip between failure domains and a
	// busy processor.
	ackTimeoutFactor = 2
	initialAckTime   = 6 * time.Millisecond
	minAckTime       = 2 * time.Millisecond
	maxAckFraction   = 0.2 // maximum, as a part of what is left of the objective

	// initialReturnLag is the initial estimate of the delay between the time a
	// helper's answer was due and its arrival: a hop between failure domains and
	// two hosts with narrow links. A host in a large fleet gathers one query
	// every few seconds, so the initial value applies for long. Too high a value
	// costs nothing, as parts that arrive later are sent one by one; too low a
	// value makes answers late while targets of many shards are slow or gone.
	initialReturnLag = 6 * time.Millisecond
	minReturnLag     = time.Millisecond

	// A helper that did not answer or broke off gets no queries for a time that
	// doubles with each failure in a row.
	minHelperBackOff = time.Second
	maxHelperBackOff = 16 * time.Second
)

// HandsOver reports whether a host should leave gathering the parts of a query,
// of so many bytes, to a helper. own and helper are link rates in Mbit/s, 0:
// unknown.
//
// It serves the load pattern of many parts on a narrow link: 36 parts of 1.3 KB
// occupy a link of 14 Mbit/s for 27 ms, and an urgent query waits behind them.
func HandsOver(own, helper float64, bytes int, objective time.Duration) bool {
	if !IsNarrow(own, helper) || objective <= 0 {
		return false
	}
	return linkTime(own, bytes) > time.Duration(handOverFraction*float64(objective))
}

// IsNarrow reports whether a link is so much slower than another, in Mbit/s,
// that the host at the other link should gather for the host at this one. A
// rate of 0 is unknown.
func IsNarrow(link, other float64) bool { return link > 0 && other >= minLinkRatio*link }

// linkTime returns how long bytes occupy a link with a rate in Mbit/s, which
// must be above 0.
func linkTime(rate float64, bytes int) time.Duration {
	const bitsPerByte, perMega = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / (rate * perMega) * float64(time.Second))
}

// Helper is the state that a host keeps of another host that may gather for it.
// The zero value is a helper without observations.
type Helper struct {
	inFlight     int       // queries that this host sent and that have not ended
	reportedLoad int       // queries in progress at the helper, by its latest report
	backOffUntil time.Time // no queries are sent before
	backOff      time.Duration
	silent       bool // a query in flight was not acknowledged in time
}

// Sent records a query sent to the helper. Ended must follow.
func (h *Helper) Sent() { h.inFlight++ }

// SetReportedLoad sets the number of queries that the helper reports to be gathering.
func (h *Helper) SetReportedLoad(load int) { h.reportedLoad = load }

// Ended records the end of a query. Without ok, because the helper did not
// answer or broke off, the helper gets no queries for a while. A result ends
// the back-off.
func (h *Helper) Ended(now time.Time, ok bool) {
	h.inFlight--
	if ok {
		h.backOff, h.backOffUntil, h.silent = 0, time.Time{}, false
		return
	}
	if h.silent { // backed off already
		h.silent = false
		return
	}
	h.backOff = min(max(2*h.backOff, minHelperBackOff), maxHelperBackOff)
	h.backOffUntil = now.Add(h.backOff)
}

// Silent records that the helper has not acknowledged a query in time. It gets no queries for a
// while, unless it acknowledges that one after all; Ended must still follow.
func (h *Helper) Silent(now time.Time) {
	h.backOff = min(max(2*h.backOff, minHelperBackOff), maxHelperBackOff)
	h.backOffUntil = now.Add(h.backOff)
	h.silent = true
}

// Barred reports whether the helper is backed off after a failure.
func (h *Helper) Barred(now time.Time) bool { return now.Before(h.backOffUntil) }

// Option returns the helper as a candidate for Choose.
func (h *Helper) Option(local bool) Option {
	return Option{Cost: float64(1 + h.inFlight + h.reportedLoad), Local: local}
}

// HelperTimings estimates the response times of all helpers of a host.
type HelperTimings struct {
	ackTime   TailEstimate // until a helper acknowledges a query
	returnLag TailEstimate // between the time an answer was due and its arrival
}

// NewHelperTimings returns the estimates before the first query.
func NewHelperTimings() HelperTimings {
	return HelperTimings{ackTime: NewTailEstimate(initialAckTime, minAckTime), returnLag: NewTailEstimate(initialReturnLag, minReturnLag)}
}

// ObserveAck records the time until a helper acknowledged a query.
func (h *HelperTimings) ObserveAck(after time.Duration) { h.ackTime.Observe(after) }

// ObserveReturnLag records the delay between the time an answer that lacks parts was
// due and its arrival.
func (h *HelperTimings) ObserveReturnLag(lag time.Duration) { h.returnLag.Observe(lag) }

// Timeouts returns how long to wait for a helper's acknowledgement, if left of
// the objective remains, and how much time to reserve for the return of its
// answer.
func (h *HelperTimings) Timeouts(left time.Duration) (ackTimeout, returnLag time.Duration) {
	maxWait := time.Duration(math.Max(maxAckFraction*float64(left), 0))
	return min(ackTimeoutFactor*h.ackTime.Estimate(), maxWait), h.returnLag.Estimate()
}
