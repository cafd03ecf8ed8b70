package gateway

import "rhubarbwood.example/rhubarbwood/internal/targetconn"

// noteLargeResponse counts and logs a response of which a part has become large.
func (g *Gateway) noteLargeResponse(t *target, r *request, part targetconn.Part, received int64) {
	g.metrics.largeResponses.WithLabelValues(string(part)).Inc()
	if g.logLimits.attempts.Allow() {
		g.log.Event(evLargeResponse).Str("request", r.call.RequestID).Str("target", t.info.ID).Str("service", t.info.Service).
			Str("part", string(part)).Int64("received", received).Msg("")
	}
}
