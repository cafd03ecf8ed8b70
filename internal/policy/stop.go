package policy

import "time"

// While a host stops, the load balancer sends it new connections until it has noticed. A request that is still running
// when the host ends gets no result, and a caller whose request may run only once can't repeat it. Such a request is
// better refused at once as not run: another host can serve it.
//
// The load pattern is a rolling stop of all hosts of a failure domain, in which the balancer falls back to stopping
// hosts, with requests that take a large part of the time that a stop may take.

const (
	// stopReserveShare is the share of the time of a stop that is reserved at its end for requests that take longer than
	// their route usually does: a paused or overloaded target, or a retry.
	stopReserveShare = 0.4
	// stopLatencyFactor is how many times as long as a slow answer of its route a request is expected to take at most.
	stopLatencyFactor = 1.5
)

// HostStop is the time that a stopping host has for requests.
type HostStop struct {
	Began time.Time // when the stop began
	Ends  time.Time // when requests still in flight are answered without a result
}

// Admits reports whether a request that arrives now is expected to end before the host does. limit is its time limit and slow
// the latency of a slow answer of its route, 0 if none was observed.
func (s HostStop) Admits(now time.Time, limit, slow time.Duration) bool {
	reserve := time.Duration(stopReserveShare * float64(s.Ends.Sub(s.Began)))
	expected := time.Duration(stopLatencyFactor * float64(slow))
	return s.Ends.Sub(now) >= min(limit, max(reserve, expected))
}
