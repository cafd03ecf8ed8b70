package load

import (
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

// Names of the relay's metrics that the runs read.
const (
	metricAttempts = "rhubarbwood_relay_attempts_total"
	metricHedges   = "rhubarbwood_relay_hedges_total"
	metricRetries  = "rhubarbwood_relay_retries_total"
)

// tally is what hosts and targets of a site counted so far.
type tally struct {
	attempts, first  float64
	sheds            int
	connectionsMost  int // at one target
	connectionsOpen  int // ever opened, all targets
	connectionsSpurn int // over a target's limit
}

func (s *site) tally() tally {
	var t tally
	for _, h := range s.hosts {
		t.addHost(h)
	}
	for _, x := range s.targets {
		c := x.Counters()
		t.sheds += int(c.Count(target.ResultShed))
		t.connectionsMost = max(t.connectionsMost, c.ConnectionsMax)
		t.connectionsOpen += int(c.ConnectionsOpened)
		t.connectionsSpurn += int(c.ConnectionsRefused)
	}
	return t
}

func (t *tally) addHost(h *siteHost) {
	if h.direct != nil {
		t.attempts += float64(h.direct.attempts.Load())
		t.first += float64(h.direct.first.Load())
		return
	}
	attempts := counterOf(h.metrics, metricAttempts)
	t.attempts += attempts
	t.first += attempts - counterOf(h.metrics, metricHedges) - counterOf(h.metrics, metricRetries)
}

// since returns what was counted after an earlier tally. The most connections
// are those ever held.
func (t tally) since(before tally) tally {
	t.attempts -= before.attempts
	t.first -= before.first
	t.sheds -= before.sheds
	t.connectionsOpen -= before.connectionsOpen
	t.connectionsSpurn -= before.connectionsSpurn
	return t
}

// into fills the fields of a report that only the site knows. Its extra load
// also counts the attempts of requests that were refused in the end.
func (t tally) into(r *Report) {
	r.Sheds = t.sheds
	r.Connections = t.connectionsMost
	r.Dials = t.connectionsOpen
	r.Spurned = t.connectionsSpurn
	if t.first > 0 {
		r.Extra = t.attempts/t.first - 1
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
