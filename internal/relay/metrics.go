package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"rhubarbwood.example/rhubarbwood/internal/outcome"
)

// metrics holds the metrics of a relay. The counters of the shard results are
// resolved once, by outcome.
type metrics struct {
	shardResults    [outcome.Done + 1]prometheus.Counter
	attempts        prometheus.Counter
	retries         prometheus.Counter
	hedges          prometheus.Counter
	foreignRequests *prometheus.CounterVec
	shed            *prometheus.CounterVec
	leavingTargets  *prometheus.CounterVec
	badAnswers      *prometheus.CounterVec
	polls           *prometheus.CounterVec
	signs           *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "rhubarbwood", Subsystem: "relay", Name: name, Help: help,
		})
	}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "rhubarbwood", Subsystem: "relay", Name: name, Help: help,
		}, labels)
	}
	results := vec("shard_results_total", "Final results of shards, by outcome.", "outcome")
	m := &metrics{
		attempts:        counter("attempts_total", "Attempts given to targets."),
		retries:         counter("retries_total", "Attempts after a failed one."),
		hedges:          counter("hedges_total", "Attempts beside one that took long."),
		foreignRequests: vec("foreign_requests_total", "Batches and reservations for services of which this host is no relay.", "service"),
		shed:            vec("sheds_total", "Shard requests refused at once because they would wait too long.", "service"),
		leavingTargets:  vec("leaving_targets_total", "Targets seen leaving, by the first sign.", "service", "sign"),
		badAnswers:      vec("bad_answers_total", "Answers dropped as truncated, crossed or malformed.", "service"),
		polls:           vec("polls_total", "Polls of target status and host list, by result.", "what", "result"),
		signs: vec("signs_total", "Signs of leaving told to other relays (told, untold) or heard from them "+
			"(applied, known, late, unknown), by result.", "result"),
	}
	for o := range m.shardResults {
		m.shardResults[o] = results.WithLabelValues(outcome.Outcome(o).String())
	}
	if reg != nil {
		reg.MustRegister(results, m.attempts, m.retries, m.hedges, m.foreignRequests, m.shed, m.leavingTargets, m.badAnswers, m.polls, m.signs)
	}
	return m
}
