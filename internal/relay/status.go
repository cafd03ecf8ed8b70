package relay

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// TargetState is the state of a target as one relay sees it.
type TargetState string

// States of a target. If several apply, the first in this order is reported.
const (
	TargetDrained TargetState = "drained" // by an operator
	TargetLeaving TargetState = "leaving" // a sign of leaving was observed
	TargetSuspect TargetState = "suspect" // ejected; gets probe attempts only
	TargetCold    TargetState = "cold"    // its share of work still rises after a start
	TargetReady   TargetState = "ready"
)

// TargetStatus is the state of one target as this relay sees it, for
// operators.
type TargetStatus struct {
	ID            string        `json:"id"`
	Service       string        `json:"service"`
	FailureDomain string        `json:"failure_domain"`
	State         TargetState   `json:"state"`
	Reason        string        `json:"reason,omitempty"` // the sign of leaving, or the last failure of a suspect
	Relayed       bool          `json:"relayed"`          // this host is a relay of the service
	Incarnation   uint64        `json:"incarnation"`
	InFlight      int           `json:"in_flight"`
	Limit         float64       `json:"limit"`
	Connections   int64         `json:"connections"`
	Attempts      int64         `json:"attempts"`
	Shed          int64         `json:"shed"`
	Errors        int64         `json:"errors"`
	FailureRatio  float64       `json:"failure_ratio"`
	P50           time.Duration `json:"p50"`
	P99           time.Duration `json:"p99"`
}

// Targets returns the state of every target of every service, sorted by
// service and id.
func (r *Relay) Targets() []TargetStatus {
	var out []TargetStatus
	now := time.Now()
	for _, p := range r.current().pools {
		out = p.appendStatus(out, now)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].ID < out[j].ID
	})
	return out
}

func (p *pool) appendStatus(out []TargetStatus, now time.Time) []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		state, reason := t.state(now)
		p50, p99 := t.stats.latency.quantiles(now)
		out = append(out, TargetStatus{
			ID: t.conf.ID, Service: p.name, FailureDomain: t.conf.FailureDomain,
			State: state, Reason: reason, Relayed: p.assigned, Incarnation: t.health.incarnation,
			InFlight: t.replica.Limiter.InFlight(), Limit: t.replica.Limiter.Limit(), Connections: t.openConns.Load(),
			Attempts: t.stats.attempts, Shed: t.stats.sheds, Errors: t.stats.errors,
			FailureRatio: t.replica.Outlier.FailureRatio(), P50: p50, P99: p99,
		})
	}
	return out
}

func (t *target) state(now time.Time) (TargetState, string) {
	switch {
	case t.health.drained:
		return TargetDrained, "operator"
	case t.health.leaving != signNone:
		return TargetLeaving, string(t.health.leaving)
	case t.replica.Outlier.Ejected(now):
		return TargetSuspect, string(t.stats.lastFailure)
	case t.replica.Ramp.Share(now) < 1:
		return TargetCold, ""
	}
	return TargetReady, ""
}

// Load returns the running and waiting work of a service on this host divided
// by the capacity of its targets: 0 is idle, above 1 work is queued.
func (r *Relay) Load(service string) float64 {
	p := r.pool(service)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	capacity := p.capacity()
	load := float64(p.running + p.unsubmitted + p.queue.Len())
	if capacity == 0 {
		return load
	}
	return load / capacity
}

const (
	latencyWindow          = 30 * time.Second // length of each of the two windows
	maxLatencyMicros       = 60_000_000
	latencyPrecisionDigits = 1 // significant decimal digits
)

// latencyWindows records the latency of the valid answers of a target.
// Quantiles cover the current and the previous window.
type latencyWindows struct {
	current, previous *hdrhistogram.Histogram
	windowStart       time.Time
}

func newLatencyWindows() *latencyWindows {
	return &latencyWindows{
		current:  hdrhistogram.New(1, maxLatencyMicros, latencyPrecisionDigits),
		previous: hdrhistogram.New(1, maxLatencyMicros, latencyPrecisionDigits),
	}
}

func (l *latencyWindows) record(now time.Time, d time.Duration) {
	l.rotate(now)
	_ = l.current.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros)) // the value is always in range
}

func (l *latencyWindows) rotate(now time.Time) {
	switch age := now.Sub(l.windowStart); {
	case age >= 2*latencyWindow:
		l.current.Reset()
		l.previous.Reset()
	case age >= latencyWindow:
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
	default:
		return
	}
	l.windowStart = now
}

func (l *latencyWindows) quantiles(now time.Time) (p50, p99 time.Duration) {
	l.rotate(now)
	merged := hdrhistogram.Import(l.previous.Export())
	merged.Merge(l.current)
	at := func(q float64) time.Duration { return time.Duration(merged.ValueAtQuantile(q)) * time.Microsecond }
	return at(50), at(99)
}
