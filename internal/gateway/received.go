package gateway

import (
	"errors"

	"rhubarbwood.example/rhubarbwood/internal/targetconn"
)

// noteLargeResponse counts and logs a response of which a part has become large.
func (g *Gateway) noteLargeResponse(t *target, r *request, part targetconn.Part, received int64) {
	g.metrics.largeResponses.WithLabelValues(string(part)).Inc()
	if g.logLimits.attempts.Allow() {
		g.log.Event(evLargeResponse).Str("request", r.call.RequestID).Str("target", t.info.ID).Str("service", t.info.Service).
			Str("part", string(part)).Int64("received", received).Msg("")
	}
}

// noteLimitExceeded counts and logs an attempt that failed because the response exceeded a limit.
func (g *Gateway) noteLimitExceeded(t *target, r *request, err error) {
	var exceeded *targetconn.LimitError
	if !errors.As(err, &exceeded) {
		return
	}
	g.metrics.limitedResponses.WithLabelValues(string(exceeded.Limit)).Inc()
	if g.logLimits.attempts.Allow() {
		g.log.Event(evLimitExceeded).Str("request", r.call.RequestID).Str("target", t.info.ID).Str("service", t.info.Service).
			Str("limit", string(exceeded.Limit)).Int64("received", exceeded.Received).Int64("max", exceeded.Max).Msg("")
	}
}
