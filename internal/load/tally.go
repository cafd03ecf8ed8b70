package load

import (
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

// Names of the metrics of relays that the runs read.
const (
	metricAttempts = "rhubarbwood_relay_attempts_total"
	metricHedges   = "rhubarbwood_relay_hedges_total"
	metricRetries  = "rhubarbwood_relay_retries_total"
)

// tally is a snapshot of the counters of the hosts and targets of a site.
type tally struct {
	attempts, firstAttempts float64
	sheds                   int
	maxConnections          int // maximum at one target
	connectionsOpened       int // to all targets
	connectionsRefused      int // over a target's limit
}

func (s *site) tally() tally {
	var t tally
	for _, h := range s.hosts {
		t.addHost(h)
	}
	for _, x := range s.targets {
		c := x.Counters()
		t.sheds += int(c.Count(target.ResultShed))
		t.maxConnections = max(t.maxConnections, c.ConnectionsMax)
		t.connectionsOpened += int(c.ConnectionsOpened)
		t.connectionsRefused += int(c.ConnectionsRefused)
	}
	return t
}

func (t *tally) addHost(h *siteHost) {
	if h.direct != nil {
		t.attempts += float64(h.direct.attempts.Load())
		t.firstAttempts += float64(h.direct.firstAttempts.Load())
		return
	}
	attempts := counterOf(h.metrics, metricAttempts)
	t.attempts += attempts
	t.firstAttempts += attempts - counterOf(h.metrics, metricHedges) - counterOf(h.metrics, metricRetries)
}

// minus returns the increase since an earlier tally. maxConnections is not
// reduced: it is the maximum since the start of the site.
func (t tally) minus(before tally) tally {
	t.attempts -= before.attempts
	t.firstAttempts -= before.firstAttempts
	t.sheds -= before.sheds
	t.connectionsOpened -= before.connectionsOpened
	t.connectionsRefused -= before.connectionsRefused
	return t
}

// fillReport sets the fields of a report that come from the counters of the site.
// The extra load then includes the attempts of requests that were refused.
func (t tally) fillReport(r *Report) {
	r.Sheds = t.sheds
	r.MaxConnections = t.maxConnections
	r.Dials = t.connectionsOpened
	r.ConnectionsRefused = t.connectionsRefused
	if t.firstAttempts > 0 {
		r.ExtraLoad = t.attempts/t.firstAttempts - 1
	}
}

func counterOf(reg *prometheus.Registry, name string) float64 {
	families, err := reg.Gather()
	if err != nil {
		return 0
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return sum
}
