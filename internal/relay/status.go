package relay

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// TargetState is what a relay makes of a target.
type TargetState string

// States of a target, the first that holds.
const (
	TargetDrained TargetState = "drained" // by an operator
	TargetLeaving TargetState = "leaving" // showed a sign of leaving
	TargetSuspect TargetState = "suspect" // set aside; gets probing work only
	TargetCold    TargetState = "cold"    // its share of work still rises
	TargetReady   TargetState = "ready"
)

// TargetStatus tells operators how this relay sees one target.
type TargetStatus struct {
	ID            string        `json:"id"`
	Service       string        `json:"service"`
	FailureDomain string        `json:"failure_domain"`
	State         TargetState   `json:"state"`
	Reason        string        `json:"reason,omitempty"` // the sign of leaving, or the newest failure of a suspect
	Relayed       bool          `json:"relayed"`          // this host is one of its relays
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
			State: state, Reason: reason, Relayed: p.own, Incarnation: t.health.incarnation,
			InFlight: t.rep.Limiter.InFlight(), Limit: t.rep.Limiter.Limit(), Connections: t.open.Load(),
			Attempts: t.stats.attempts, Shed: t.stats.sheds, Errors: t.stats.errors,
			FailureRatio: t.rep.Outlier.FailureRatio(), P50: p50, P99: p99,
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
	case t.rep.Outlier.Ejected(now):
		return TargetSuspect, string(t.stats.last)
	case t.rep.Ramp.Share(now) < 1:
		return TargetCold, ""
	}
	return TargetReady, ""
}

// Load returns the work of a service on this host over what its targets take
// from it at once: 0 is idle, above 1 work waits.
func (r *Relay) Load(service string) float64 {
	p := r.pool(service)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	places := p.places()
	work := float64(p.running + p.held + p.queue.Len())
	if places == 0 {
		return work
	}
	return work / places
}

const (
	latencySpan   = 30 * time.Second // of one of the two windows kept
	latencyMax    = 60_000_000       // microseconds
	latencyDigits = 1
)

// latencies keeps the latency of a target's valid answers over one to two
// windows.
type latencies struct {
	now, old *hdrhistogram.Histogram
	since    time.Time
}

func newLatencies() *latencies {
	return &latencies{
		now: hdrhistogram.New(1, latencyMax, latencyDigits),
		old: hdrhistogram.New(1, latencyMax, latencyDigits),
	}
}

func (l *latencies) record(now time.Time, d time.Duration) {
	l.turn(now)
	_ = l.now.RecordValue(min(max(d.Microseconds(), 1), latencyMax)) // in range by construction
}

func (l *latencies) turn(now time.Time) {
	switch past := now.Sub(l.since); {
	case past >= 2*latencySpan:
		l.now.Reset()
		l.old.Reset()
	case past >= latencySpan:
		l.now, l.old = l.old, l.now
		l.now.Reset()
	default:
		return
	}
	l.since = now
}

func (l *latencies) quantiles(now time.Time) (p50, p99 time.Duration) {
	l.turn(now)
	both := hdrhistogram.Import(l.old.Export())
	both.Merge(l.now)
	at := func(q float64) time.Duration { return time.Duration(both.ValueAtQuantile(q)) * time.Microsecond }
	return at(50), at(99)
}
