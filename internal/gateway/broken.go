package gateway

// noteConnectionLost counts and logs an attempt whose connection broke while the target had the
// request.
func (g *Gateway) noteConnectionLost(t *target, r *request, res result) {
	g.metrics.brokenAttempts.Inc()
	if !g.logLimits.attempts.Allow() {
		return
	}
	g.log.Event(evConnectionLost).Str("request", r.call.RequestID).Str("content", r.quarantineKeys().Content()).
		Str("target", t.info.ID).Str("service", t.info.Service).Dur("after", res.latency).Err(res.err).Msg("")
}

// noteReachable updates whether the target accepts connections, and logs when it begins to refuse
// them. The caller holds the lock of the target's service.
func (g *Gateway) noteReachable(t *target, res result) {
	switch {
	case res.unreachable && !t.unreachable:
		t.noteUnreachable()
		g.log.Event(evUnreachable).Str("target", t.info.ID).Str("service", t.info.Service).
			Str("address", t.info.Address).Err(res.err).Msg("")
	case !res.unreachable && !res.abandoned:
		t.unreachable = false
	}
}

// noteUnreachable records that the target refuses connections, which may mean a restart. The caller
// holds the lock of the target's service.
func (t *target) noteUnreachable() {
	t.unreachable = true
	t.cold.restartSigns++
}
