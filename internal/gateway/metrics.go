package gateway

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/time/rate"
)

type metrics struct {
	requests            *prometheus.CounterVec
	duration            *prometheus.HistogramVec
	attempts            *prometheus.CounterVec
	partialAnswers      prometheus.Counter
	brokenAttempts      prometheus.Counter
	panics              prometheus.Counter
	largeResponses      *prometheus.CounterVec
	limitedResponses    *prometheus.CounterVec
	unreadableReports   prometheus.Counter
	loadQueries         *prometheus.CounterVec
	targetsEnded        prometheus.Counter
	quarantinedRequests prometheus.Counter
	rolloutAttempts     *prometheus.CounterVec
	rolloutFailures     *prometheus.CounterVec
	rolloutDuration     *prometheus.HistogramVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_requests_total",
			Help: "Forwarded requests by status; 0 if the caller left.",
		}, []string{"status"}),
		duration: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "rhubarbwood_gateway_request_duration_seconds",
			Help:    "Time to the answer of forwarded requests by route.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
		}, []string{"route"}),
		attempts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_attempts_total",
			Help: "Attempts at targets by outcome.",
		}, []string{"outcome"}),
		partialAnswers: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_partial_answers_total",
			Help: "Answers that lack parts.",
		}),
		targetsEnded: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_targets_ended_total",
			Help: "Attempts under which their target ended.",
		}),
		quarantinedRequests: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_quarantined_requests_total",
			Help: "Requests refused as targets end under them.",
		}),
		loadQueries: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_load_questions_total",
			Help: "Questions to targets for their load before a single request, by what came of them.",
		}, []string{"answer"}),
		unreadableReports: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_spoilt_states_total",
			Help: "Answers whose target said of its load or warm-up what can't be read; it is passed over.",
		}),
		brokenAttempts: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_broken_attempts_total",
			Help: "Attempts whose connection ended while the target had the request.",
		}),
		largeResponses: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_large_responses_total",
			Help: "Responses of targets of which a part, head or body, reached 1 MB while it was read.",
		}, []string{"part"}),
		limitedResponses: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_responses_over_limit_total",
			Help: "Responses of targets that were given up as they exceeded a limit, by limit.",
		}, []string{"limit"}),
		panics: f.NewCounter(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_panics_total",
			Help: "Requests whose processing panicked.",
		}),
		rolloutAttempts: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_rollout_attempts_total",
			Help: "Attempts that may have reached a target while a rollout order runs, by service and side: the ordered version (new) or another (old).",
		}, []string{"service", "side"}),
		rolloutFailures: f.NewCounterVec(prometheus.CounterOpts{
			Name: "rhubarbwood_gateway_rollout_failures_total",
			Help: "Those of the attempts that failed, or whose connection was lost.",
		}, []string{"service", "side"}),
		rolloutDuration: f.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "rhubarbwood_gateway_rollout_attempt_duration_seconds",
			Help:    "Time to the answer of the successful attempts, or until they were given up.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
		}, []string{"service", "side"}),
	}
}

// observeRollout counts an attempt at a target of the ordered version (isNew) or of another.
func (m *metrics) observeRollout(service string, isNew bool, shown versionEvidence, took time.Duration) {
	side := "old"
	if isNew {
		side = "new"
	}
	m.rolloutAttempts.WithLabelValues(service, side).Inc()
	switch shown {
	case evidenceFailed:
		m.rolloutFailures.WithLabelValues(service, side).Inc()
	case evidenceLatency:
		m.rolloutDuration.WithLabelValues(service, side).Observe(took.Seconds())
	}
}

// Limits on the log lines about requests. Failures have a limit of their own, so that many late or
// partial answers do not crowd them out.
const (
	failureLinesPerSecond  = 100
	otherLinesPerSecond    = 20
	lineBurstSeconds       = 5  // burst, as seconds of the sustained rate
	completeSampleInterval = 50 // one of this many complete answers in time is logged
)

// logLimits rate-limits the log lines about requests.
type logLimits struct {
	failures        *rate.Limiter
	others          *rate.Limiter
	attempts        *rate.Limiter // lines about single attempts
	suppressed      atomic.Uint64 // lines dropped since the last suppression notice
	completeAnswers atomic.Uint64
}

func newLogLimits() *logLimits {
	return &logLimits{
		failures: rate.NewLimiter(failureLinesPerSecond, lineBurstSeconds*failureLinesPerSecond),
		others:   rate.NewLimiter(otherLinesPerSecond, lineBurstSeconds*otherLinesPerSecond),
		attempts: rate.NewLimiter(otherLinesPerSecond, lineBurstSeconds*otherLinesPerSecond),
	}
}

// shouldLog reports whether an answer is logged.
func (l *logLimits) shouldLog(w *reply) bool {
	limit := l.others
	switch {
	case w.status < 200 || w.status >= 300:
		limit = l.failures
	case w.missingParts == 0 && !w.late() && l.completeAnswers.Add(1)%completeSampleInterval != 0:
		return false
	}
	if limit.Allow() {
		return true
	}
	l.suppressed.Add(1)
	return false
}

// record updates the metrics and the delivery records by an answer, and logs it unless it is a
// complete answer in time; those are sampled.
func (g *Gateway) record(w *reply) {
	took := time.Since(w.request.arrived)
	g.metrics.requests.WithLabelValues(strconv.Itoa(w.status)).Inc()
	if w.route != "" {
		g.metrics.duration.WithLabelValues(w.route).Observe(took.Seconds())
	}
	if w.missingParts > 0 {
		g.metrics.partialAnswers.Inc()
	}
	g.recorder.Record(w.delivery(took))
	if !g.logLimits.shouldLog(w) {
		return
	}
	r := w.request
	if n := g.logLimits.suppressed.Swap(0); n > 0 {
		g.log.Event(evSuppressed).Uint64("lines", n).Msg("")
	}
	g.log.Event(evAnswer).Str("request", r.call.RequestID).Str("route", w.route).Int("status", w.status).
		Str("outcome", w.outcome.String()).Int("missing", w.missingParts).Dur("took", took).
		Uint64("version", w.configVersion).Str("reason", w.reason).Msg("")
	if after := g.afterStop(r.arrived); after > 0 {
		g.log.Event(evDuringStop).Str("request", r.call.RequestID).Dur("after", after).Msg("")
	}
	if w.triedTargets == "" {
		return
	}
	g.log.Event(evAttempts).Str("request", r.call.RequestID).Int("attempts", int(r.attempts.Load())).
		Str("asked", w.triedTargets).Dur("budget", r.deadline.Sub(r.arrived)).Dur("age", w.configAge).
		Str("helper", w.helper).Str("content", r.quarantineKeys().Content()).Str("caller", addressOf(r.caller)).Msg("")
}
