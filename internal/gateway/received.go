package gateway

import (
	"errors"
	"sync"

	"rhubarbwood.example/rhubarbwood/internal/membudget"
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

// requestMemory is what the messages of a request hold: its body and the responses to its attempts.
type requestMemory struct {
	mu       sync.Mutex
	held     []*membudget.Message
	released bool
}

// hold releases the message when the request has ended, which may be before it is received.
func (m *requestMemory) hold(message *membudget.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		message.Release()
		return
	}
	m.held = append(m.held, message)
}

// release releases all messages, those that are received later too.
func (m *requestMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = true
	for _, message := range m.held {
		message.Release()
	}
	m.held = nil
}
